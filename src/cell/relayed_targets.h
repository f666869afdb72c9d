#pragma once

#include "cell/ports.h"
#include "peers/delivery.h"

#include "jobs.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace medlarhub {

struct relay_node {
    std::string id;
    std::string address;
    std::string data_centre;
    std::int64_t cpu_milli = 0; ///< what it may use of its processor

    friend bool operator==(const relay_node&, const relay_node&) = default;
};

/// Commands to targets through other nodes in their data centres (see `command_relay`), or straight where
/// there is no such node or it failed lately. Answers an owner whose processor is short while the other nodes
/// have time to spare. Safe from any thread.
class relayed_targets final : public target_port {
public:
    using sender = std::function<void(const std::string& address, const pb::relay_call& call,
                                      milliseconds timeout, peer_callback<pb::relay_answer> done)>;

    /// `name` tells the sessions of this node, in this life, from all others.
    relayed_targets(std::string name, target_port& straight, sender send);

    /// The other nodes that live. A few in each data centre are used, so that commands share messages.
    void set_relays(const std::vector<relay_node>& nodes);
    void set_targets(const std::vector<target_entry>& targets);
    /// To be called each `relay_spacing` or so.
    void tick(instant at);

    void send(const start_stop_command& order, milliseconds timeout,
              std::function<void(command_outcome)> done) override;
    void poll(const target_poll_command& order, milliseconds timeout,
              std::function<void(poll_result)> done) override;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarhub

#pragma once

#include "cell/clocks.h"
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
    std::int64_t cpu_milli = 0; ///< CPU that the node may use

    friend bool operator==(const relay_node&, const relay_node&) = default;
};

/// Sends commands to targets through relay nodes in the targets' data centres (see `command_relay`), or
/// directly if there is no such node or it failed recently. Takes load off an owner whose CPU is the
/// bottleneck while other nodes have CPU to spare. Thread-safe.
class relayed_targets final : public target_port {
public:
    using sender = std::function<void(const std::string& address, const pb::relay_call& call,
                                      milliseconds timeout, peer_callback<pb::relay_answer> done)>;

    /// `name` distinguishes the sessions of this incarnation of the node from all others; `clock` tells the
    /// time since boot.
    relayed_targets(std::string name, target_port& direct, sender send,
                    std::function<milliseconds()> clock = boot_time);

    /// Sets the other live nodes. Only a few in each data centre are used, so that commands share messages.
    void set_relays(const std::vector<relay_node>& nodes);
    void set_targets(const std::vector<target_entry>& targets);
    /// To be called about every `relay_spacing`.
    void tick(instant at);

    void send(const start_stop_command& command, milliseconds timeout,
              std::function<void(command_reply)> done) override;
    void poll(const target_poll_command& command, milliseconds timeout,
              std::function<void(poll_result)> done) override;
    void withdraw(const start_id& start) override;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarhub

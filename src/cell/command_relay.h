#pragma once

#include "cell/ports.h"

#include "jobs.pb.h"

#include <functional>
#include <memory>

namespace medlarhub {

/// How long a relay keeps a call that it has no result for.
constexpr milliseconds relay_hold{200};
/// Calls and answers of a session that come faster than this share a message.
constexpr milliseconds relay_spacing{25};

/// Carries out commands for the owners of partitions at other nodes and brings them the results, many in a
/// message: a call to a target costs an owner many times what a line in a message does, and its processor is
/// what bounds a partition. Safe from any thread.
class command_relay {
public:
    explicit command_relay(target_port& targets);

    /// Answers once, at the latest at the first tick after `relay_hold`.
    void take(instant at, const pb::relay_call& call, std::function<void(pb::relay_answer)> done);
    /// To be called each `relay_spacing` or so.
    void tick(instant at);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarhub

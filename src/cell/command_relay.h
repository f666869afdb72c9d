#pragma once

#include "cell/clocks.h"
#include "cell/ports.h"

#include "jobs.pb.h"

#include <functional>
#include <memory>

namespace medlarhub {

/// How long a relay holds a call while it has no result to return.
constexpr milliseconds relay_hold{200};
/// Minimum interval between messages of a session; what arrives in between shares the next message.
constexpr milliseconds relay_spacing{25};

/// Sends commands to targets on behalf of partition owners at other nodes and returns the results in batches.
/// A call to a target costs an owner many times as much CPU as an entry in a message, and the owner's CPU
/// limits the throughput of its partition. Thread-safe.
class command_relay {
public:
    /// `clock` tells the time since boot.
    explicit command_relay(target_port& targets, std::function<milliseconds()> clock = boot_time);

    /// Starts that arrived while this process was paused are answered as expired, since nobody knows how long
    /// they have waited.
    /// Invokes `done` exactly once, at the latest at the first tick after `relay_hold`.
    void take(instant at, const pb::relay_call& call, std::function<void(pb::relay_answer)> done);
    /// To be called about every `relay_spacing`.
    void tick(instant at);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarhub

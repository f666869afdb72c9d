#pragma once

#include "cell/clocks.h"
#include "cell/ports.h"

#include <functional>
#include <memory>

namespace medlarhub {

/// Maximum number of concurrent commands from one node to a target; further ones are queued.
constexpr int max_commands_per_target = 6;

/// Limits the number of concurrent start and stop commands to each target. Without the limit, each start in a
/// burst opens a connection that stays open, and a target at its connection limit rejects every command that
/// needs a new connection. Thread-safe.
///
/// What was decided when a command was queued may no longer hold when there is a slot for it. So stops are
/// sent before starts, a stop or its owner takes a queued start back, and a command expires once it has
/// waited for its `queue_time`; its outcome then says that it was never sent.
class target_command_limiter final : public target_port {
public:
    /// `clock` tells the time since boot, so that a suspension of the machine counts as waiting.
    explicit target_command_limiter(target_port& to, std::function<milliseconds()> clock = boot_time);

    /// To be called every few milliseconds: expires queued commands.
    void tick();

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

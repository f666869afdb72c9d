#pragma once

#include "cell/ports.h"

#include <memory>

namespace medlarhub {

/// Maximum number of concurrent commands from one node to a target; further ones are queued.
constexpr int max_commands_per_target = 6;

/// Limits the number of concurrent start and stop commands to each target. Without the limit, each start in a
/// burst opens a connection that stays open, and a target at its connection limit rejects every command that
/// needs a new connection. Thread-safe.
class target_command_limiter final : public target_port {
public:
    explicit target_command_limiter(target_port& to);

    void send(const start_stop_command& command, milliseconds timeout,
              std::function<void(command_reply)> done) override;
    void poll(const target_poll_command& command, milliseconds timeout,
              std::function<void(poll_result)> done) override;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarhub

#pragma once

#include "cell/ports.h"

#include <memory>

namespace medlarhub {

/// Orders a target gets from one node at a time; further ones wait for their turn.
constexpr int orders_at_a_time = 6;

/// Lets few orders at a time go to each target. Answers bursts of starts, each of which would open a
/// connection that stays: a target that has its most connections turns away all that need a new one.
/// Safe from any thread.
class narrow_targets final : public target_port {
public:
    explicit narrow_targets(target_port& to);

    void send(const start_stop_command& order, milliseconds timeout,
              std::function<void(command_outcome)> done) override;
    void poll(const target_poll_command& order, milliseconds timeout,
              std::function<void(poll_result)> done) override;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarhub

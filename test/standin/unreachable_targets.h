#pragma once

#include "cell/ports.h"

#include <atomic>

namespace medlarhub::standin {

/// Targets that can't be reached; counts the polls sent to them.
class unreachable_targets final : public target_port {
public:
    std::atomic<int> polls{0};

    void send(const start_stop_command& /*command*/, milliseconds /*timeout*/,
              std::function<void(command_reply)> done) override {
        done({command_outcome::not_sent, {}});
    }
    void poll(const target_poll_command& /*command*/, milliseconds /*timeout*/,
              std::function<void(poll_result)> done) override {
        ++polls;
        done({});
    }
};

} // namespace medlarhub::standin

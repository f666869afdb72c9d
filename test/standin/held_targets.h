#pragma once

#include "cell/ports.h"

#include <deque>
#include <vector>

namespace medlarhub::standin {

/// Targets whose answers are sent by the test.
class held_targets final : public target_port {
public:
    void send(const start_stop_command& command, milliseconds /*timeout*/,
              std::function<void(command_reply)> done) override {
        commands.push_back(command);
        command_answers.push_back(std::move(done));
    }
    void poll(const target_poll_command& command, milliseconds /*timeout*/,
              std::function<void(poll_result)> done) override {
        polls.push_back(command);
        poll_answers.push_back(std::move(done));
    }

    void withdraw(const start_id& start) override { withdrawn.push_back(start); }

    std::vector<start_stop_command> commands;
    std::vector<target_poll_command> polls;
    std::deque<std::function<void(command_reply)>> command_answers;
    std::deque<std::function<void(poll_result)>> poll_answers;
    std::vector<start_id> withdrawn;
};

} // namespace medlarhub::standin

#include "cell/target_command_limiter.h"
#include "standin/held_targets.h"

#include <catch2/catch.hpp>

#include <map>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

start_stop_command make_command(command_kind kind, int task, const std::string& target = "t1") {
    start_stop_command command;
    command.kind = kind;
    command.target = target;
    command.task = {"j", 0, 0, task};
    command.run = 1;
    return command;
}

/// A node with a clock that the test moves.
struct limited_node {
    void send(const start_stop_command& command) {
        limiter.send(command, 500ms, [this, task = command.task.index](const command_reply& reply) {
            replies.emplace(task, reply);
        });
    }
    void start(int first, int last) {
        for (int task = first; task <= last; ++task)
            send(make_command(command_kind::start, task));
    }
    /// Answers the commands in flight, and those that are sent for them.
    void answer_all() {
        while (answered < targets.command_answers.size()) {
            const auto answer = targets.command_answers[answered++];
            answer({command_outcome::done, {}});
        }
    }

    standin::held_targets targets;
    milliseconds at{1000};
    target_command_limiter limiter{targets, [this] { return at; }};
    std::multimap<int, command_reply> replies; ///< by task
    std::size_t answered = 0;
};

} // namespace

TEST_CASE("a burst of starts goes to a target a few at a time, in order, and stops before them",
          "[limiter][load]") {
    limited_node node;
    node.start(0, 18);
    node.send(make_command(command_kind::stop, 19));
    node.send(make_command(command_kind::start, 100, "t2"));
    CHECK(node.targets.commands.size() == max_commands_per_target + 1); // another target doesn't wait
    // Each outcome, including a lost answer, releases the next command.
    for (std::size_t i = 0; i < node.targets.command_answers.size(); ++i) {
        const auto answer = node.targets.command_answers[i];
        answer({i % 3 == 0 ? command_outcome::lost : command_outcome::done, {}});
    }
    CHECK(node.replies.size() == 21);
    REQUIRE(node.targets.commands.size() == 21);
    CHECK(node.targets.commands[max_commands_per_target + 1].task.index == 19);
    for (std::size_t i = max_commands_per_target + 2; i < 21; ++i)
        CHECK(node.targets.commands[i].task.index == static_cast<int>(i) - 2);
    node.start(7, 7);
    CHECK(node.targets.commands.size() == 22);
}

// Guards against starts that are sent long after they were decided on, behind commands without an answer.
TEST_CASE("a command that has waited for too long is never sent, and its outcome says so at once",
          "[limiter][recovery]") {
    const bool ticks = GENERATE(true, false); // a node that was paused gets answers before its next tick
    limited_node node;
    node.start(0, 7);
    node.at += max_queue_time - 1ms;
    node.limiter.tick();
    CHECK(node.replies.empty());
    node.at += 1ms;
    if (ticks)
        node.limiter.tick();
    else
        node.answer_all();
    for (const int task : {6, 7}) {
        REQUIRE(node.replies.count(task) == 1);
        CHECK(node.replies.find(task)->second.outcome == command_outcome::expired);
        CHECK(node.replies.find(task)->second.queued == max_queue_time);
    }
    node.answer_all();
    CHECK(node.targets.commands.size() == max_commands_per_target);
}

TEST_CASE("a command that has used up its time before it comes isn't sent", "[limiter][recovery]") {
    limited_node node;
    auto late = make_command(command_kind::start, 0);
    late.queue_time = GENERATE(0ms, -500ms);
    node.send(late);
    CHECK(node.targets.commands.empty());
    CHECK(node.replies.find(0)->second.outcome == command_outcome::expired);
}

TEST_CASE("a start that waits is taken back by its owner, or by a stop, and one that was sent is not",
          "[limiter][recovery]") {
    const bool by_stop = GENERATE(true, false);
    limited_node node;
    node.start(0, 8);
    node.at += 40ms;
    for (const int task : {0, 7}) {
        const auto stop = make_command(command_kind::stop, task);
        if (by_stop)
            node.send(stop);
        else
            node.limiter.withdraw(start_of(stop));
    }
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies.find(7)->second.outcome == command_outcome::withdrawn);
    CHECK(node.replies.find(7)->second.queued == 40ms);
    node.answer_all();
    for (const auto& command : node.targets.commands)
        CHECK((command.kind == command_kind::stop || command.task.index != 7));
    CHECK(node.targets.commands.size() == (by_stop ? 10 : 8));
    CHECK(node.replies.find(8)->second.queued == 40ms); // what it waited isn't the target's delay
}

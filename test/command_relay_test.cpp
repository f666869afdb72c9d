#include "cell/command_relay.h"
#include "cell/command_wire.h"
#include "cell/relayed_targets.h"
#include "cell/target_command_limiter.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

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

    std::vector<start_stop_command> commands;
    std::vector<target_poll_command> polls;
    std::deque<std::function<void(command_reply)>> command_answers;
    std::deque<std::function<void(poll_result)>> poll_answers;
};

struct relayed_call {
    std::string address;
    pb::relay_call call;
    peer_callback<pb::relay_answer> done;
};

/// An owner with a target in another data centre, where there is a relay.
struct relayed_owner {
    relayed_owner() {
        target_entry target;
        target.id = "t1";
        target.data_centre = "near";
        targets.set_targets({target});
        targets.set_relays({{"n2", "10.0.0.2:1", "near"}});
    }

    void start(int run) {
        start_stop_command command;
        command.target = "t1";
        command.task = {"j", 0, 0, run};
        command.run = run;
        command.body = "spec";
        targets.send(command, 1000ms,
                     [this, run](const command_reply& reply) { got[run].push_back(reply.outcome); });
    }

    held_targets direct;
    std::vector<relayed_call> calls;
    relayed_targets targets{"n1/1", direct,
                            [this](const std::string& address, const pb::relay_call& call,
                                   milliseconds /*timeout*/, peer_callback<pb::relay_answer> done) {
                                calls.push_back({address, call, std::move(done)});
                            }};
    std::map<int, std::vector<command_outcome>> got; ///< by the command's run
};

pb::relay_answer results_of(const pb::relay_call& call, command_outcome outcome) {
    pb::relay_answer answer;
    for (const auto& command : call.commands()) {
        auto& result = *answer.add_results();
        result = to_wire(command_reply{outcome, {}});
        result.set_number(command.number());
    }
    return answer;
}

using outcomes = std::vector<command_outcome>;

} // namespace

TEST_CASE("commands in quick succession share a call to the relay in the target's data centre",
          "[relay][load]") {
    relayed_owner owner;
    for (const int run : {1, 2, 3})
        owner.start(run);
    REQUIRE(owner.calls.size() == 1);
    CHECK(owner.calls[0].address == "10.0.0.2:1");
    CHECK(owner.calls[0].call.commands_size() == 1);
    owner.targets.tick(now() + relay_spacing);
    REQUIRE(owner.calls.size() == 2);
    CHECK(owner.calls[1].call.commands_size() == 2);
    CHECK(owner.direct.commands.empty());

    owner.calls[0].done(peer_delivery::answered, {});
    owner.calls[1].done(peer_delivery::answered, results_of(owner.calls[1].call, command_outcome::no_room));
    CHECK(owner.got ==
          std::map<int, outcomes>{{2, {command_outcome::no_room}}, {3, {command_outcome::no_room}}});
    // The first command is still open, so another call waits for its result.
    REQUIRE(owner.calls.size() == 3);
    CHECK(owner.calls[2].call.commands_size() == 0);
    owner.calls[2].done(peer_delivery::answered, results_of(owner.calls[0].call, command_outcome::done));
    CHECK(owner.got.at(1) == outcomes{command_outcome::done});
    CHECK(owner.calls.size() == 3);
}

TEST_CASE("what a failed relay had is lost, or goes straight if it never left", "[relay][recovery]") {
    const bool sent = GENERATE(true, false);
    INFO("sent " << sent);
    relayed_owner owner;
    owner.start(1);
    owner.start(2); // waits for the next call
    REQUIRE(owner.calls.size() == 1);
    const auto first = owner.calls[0];
    first.done(sent ? peer_delivery::lost : peer_delivery::not_sent, {});
    CHECK(owner.got.contains(1) == sent);
    CHECK(owner.direct.commands.size() == (sent ? 1 : 2));
    owner.start(3); // the relay is excluded for a while
    CHECK(owner.direct.commands.size() == (sent ? 2 : 3));
    // A late answer to a call from before the failure has no effect.
    first.done(peer_delivery::answered, results_of(first.call, command_outcome::done));
    for (auto& answer : owner.direct.command_answers)
        answer({command_outcome::done, {}});
    CHECK(owner.got.at(1) == outcomes{sent ? command_outcome::lost : command_outcome::done});
    CHECK(owner.got.at(2) == outcomes{command_outcome::done});
    CHECK(owner.got.at(3) == outcomes{command_outcome::done});
}

TEST_CASE("polls that a failed relay had are sent straight at once", "[relay][recovery]") {
    relayed_owner owner;
    target_poll_command command;
    command.target = "t1";
    command.acked_upto = 4;
    command.deadline_ms = 9000;
    std::vector<command_outcome> got;
    owner.targets.poll(command, 1000ms, [&](const poll_result& result) { got.push_back(result.outcome); });
    REQUIRE(owner.calls.size() == 1);
    owner.calls[0].done(peer_delivery::lost, {});
    REQUIRE(owner.direct.polls.size() == 1);
    // The relay may have carried it out, and the target may have restarted since.
    CHECK(owner.direct.polls[0].acked_upto == 0);
    CHECK_FALSE(owner.direct.polls[0].deadline_ms);
    poll_result result;
    result.outcome = command_outcome::done;
    owner.direct.poll_answers[0](result);
    CHECK(got == outcomes{command_outcome::done});
}

TEST_CASE("a command without a result is reported as lost after its timeout, exactly once", "[relay]") {
    relayed_owner owner;
    owner.start(1);
    owner.targets.tick(now() + 10s);
    CHECK(owner.got.at(1) == outcomes{command_outcome::lost});
    owner.calls[0].done(peer_delivery::answered, results_of(owner.calls[0].call, command_outcome::done));
    CHECK(owner.got.at(1).size() == 1);
}

TEST_CASE("a relay that left is removed once it has no open commands, and its late answers are ignored",
          "[relay]") {
    relayed_owner owner;
    owner.start(1);
    REQUIRE(owner.calls.size() == 1);
    owner.targets.set_relays({}); // it still has an open command
    owner.calls[0].done(peer_delivery::answered, results_of(owner.calls[0].call, command_outcome::done));
    CHECK(owner.got.at(1) == outcomes{command_outcome::done});
    owner.targets.set_relays({});
    owner.calls[0].done(peer_delivery::lost, {});
    owner.start(2);
    CHECK(owner.calls.size() == 1);
    CHECK(owner.direct.commands.size() == 1);
}

TEST_CASE("targets without a relay in their data centre are called directly", "[relay]") {
    relayed_owner owner;
    owner.targets.set_relays({{"n3", "10.0.0.3:1", "far"}});
    owner.start(1);
    CHECK(owner.calls.empty());
    CHECK(owner.direct.commands.size() == 1);
}

TEST_CASE("a relay holds a call until results or a timeout, and at most one call per session", "[relay]") {
    held_targets targets;
    command_relay relay{targets};
    std::map<int, std::vector<int>> results; ///< number of results in each answer, by call
    const auto ask = [&](instant at, int which, bool with_command) {
        pb::relay_call call;
        call.set_session("n1/1/n2/0");
        if (with_command) {
            start_stop_command command;
            command.target = "t1";
            command.task = {"j", 0, 0, which};
            command.body = "spec";
            *call.add_commands() = to_wire(command, 1000ms);
        }
        relay.take(at, call, [&results, which](const pb::relay_answer& answer) {
            results[which].push_back(answer.results_size());
        });
    };
    const auto at = now();
    ask(at, 1, true);
    CHECK(results.empty());
    REQUIRE(targets.commands.size() == 1);
    CHECK(targets.commands[0].task == task_name{"j", 0, 0, 1});
    ask(at, 2, false);
    CHECK(results[1] == std::vector{0});
    relay.tick(at + relay_hold);
    CHECK(results[2] == std::vector{0});
    targets.command_answers[0]({command_outcome::done, {}});
    ask(at + relay_hold + relay_spacing, 3, false);
    CHECK(results[3] == std::vector{1});
}

TEST_CASE("commands and results survive conversion to messages and back", "[relay]") {
    start_stop_command command;
    command.kind = GENERATE(command_kind::start, command_kind::stop);
    command.target = "t1";
    command.address = "10.0.0.9:1";
    command.task = {"j", 3, 2, 1};
    command.run = 7001;
    command.fence = 8;
    if (command.kind == command_kind::start) {
        command.body = std::string{"\0\xff{", 3};
        command.saved = "s";
        command.ticket = "ticket";
        command.deadline_ms = 4711;
    }
    const auto decoded = command_from_wire(to_wire(command, 900ms));
    REQUIRE(decoded);
    CHECK(decoded->kind == command.kind);
    CHECK(decoded->address == command.address);
    CHECK(decoded->task == command.task);
    CHECK(decoded->run == command.run);
    CHECK(decoded->fence == command.fence);
    CHECK(decoded->body == command.body);
    CHECK(decoded->saved == command.saved);
    CHECK(decoded->ticket == command.ticket);
    CHECK(decoded->deadline_ms == command.deadline_ms);

    target_poll_command poll;
    poll.target = "t1";
    poll.acked_upto = 5;
    poll.deadline_ms = GENERATE(std::optional<std::int64_t>{}, std::optional<std::int64_t>{0});
    poll.wait = 700ms;
    const auto decoded_poll = poll_from_wire(to_wire(poll, 900ms));
    CHECK(decoded_poll.deadline_ms == poll.deadline_ms);
    CHECK(decoded_poll.acked_upto == 5);
    CHECK(decoded_poll.wait == 700ms);

    poll_result result;
    result.outcome = command_outcome::done;
    result.clock_ms = 12;
    result.born_ms = 13;
    result.complete = true;
    result.running = {{"j.0.0.1", 2, "s", 0.5}};
    result.ended = {{3, "j.0.0.2", 4, end_kind::gang_incomplete, "t"}};
    auto wire = to_wire(result);
    const auto decoded_result = result_from_wire(wire);
    CHECK(decoded_result.clock_ms == 12);
    CHECK(decoded_result.born_ms == 13);
    CHECK(decoded_result.complete);
    CHECK_FALSE(result_from_wire(to_wire(command_reply{command_outcome::done, {}})).complete);
    REQUIRE(decoded_result.running.size() == 1);
    CHECK(decoded_result.running[0].usage == 0.5);
    REQUIRE(decoded_result.ended.size() == 1);
    CHECK(decoded_result.ended[0].how == end_kind::gang_incomplete);
    CHECK(decoded_result.ended[0].number == 3);

    CHECK(reply_from_wire(to_wire(command_reply{command_outcome::done, 14})).clock_ms == 14);
    CHECK_FALSE(reply_from_wire(to_wire(command_reply{command_outcome::no_room, {}})).clock_ms);

    // Unknown values from a later release are treated as an unknown outcome.
    wire.mutable_ended(0)->set_how(99);
    CHECK(result_from_wire(wire).outcome == command_outcome::lost);
    wire.set_outcome(99);
    CHECK(reply_from_wire(wire).outcome == command_outcome::lost);
}

TEST_CASE("advice survives conversion to messages and back, including no answer", "[relay]") {
    CHECK_FALSE(reply_from_wire(to_wire(std::optional<advice_reply>{})));
    advice_reply reply;
    reply.valid_for = 1500ms;
    reply.good = {{"t1", "ticket"}};
    const auto decoded = reply_from_wire(to_wire(std::optional{reply}));
    REQUIRE(decoded);
    CHECK(decoded->valid_for == 1500ms);
    REQUIRE(decoded->good.size() == 1);
    CHECK(decoded->good[0].target == "t1");
    CHECK(decoded->good[0].text == "ticket");
    const auto call = to_wire(advice_request{"j.0.1", {"t1", "t2"}, "n2", 40ms}, 900ms);
    CHECK(call.step() == "j.0.1");
    CHECK(call.targets_size() == 2);
    CHECK(call.timeout_ms() == 900);
}

TEST_CASE("a burst of orders goes to a target a few at a time, in order, and stops are among them",
          "[relay][load]") {
    held_targets targets;
    target_command_limiter limiter{targets};
    std::vector<int> answered;
    const auto make_command = [](const std::string& target, int run) {
        start_stop_command command;
        command.kind = run == 19 ? command_kind::stop : command_kind::start;
        command.target = target;
        command.run = run;
        return command;
    };
    for (int run = 0; run < 20; ++run)
        limiter.send(make_command("t1", run), 500ms,
                     [&answered, run](const command_reply&) { answered.push_back(run); });
    limiter.send(make_command("t2", 100), 500ms, [](const command_reply&) {});
    CHECK(targets.commands.size() == max_commands_per_target + 1); // another target doesn't wait
    // Each outcome, including a lost answer, releases the next command.
    for (std::size_t i = 0; i < targets.command_answers.size(); ++i) {
        const auto answer = targets.command_answers[i];
        answer({i % 3 == 0 ? command_outcome::lost : command_outcome::done, {}});
    }
    CHECK(answered.size() == 20);
    CHECK(targets.commands.size() == 21);
    CHECK(targets.commands.back().run == 19);
    limiter.send(make_command("t1", 7), 500ms, [](const command_reply&) {});
    CHECK(targets.commands.size() == 22);
}

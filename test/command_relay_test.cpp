#include "cell/command_relay.h"
#include "cell/command_wire.h"
#include "cell/relayed_targets.h"
#include "standin/held_targets.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using standin::held_targets;
using namespace std::chrono_literals;

namespace {

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

    void start(int run) { send(command_kind::start, run); }
    void send(command_kind kind, int run) {
        start_stop_command command;
        command.kind = kind;
        command.target = "t1";
        command.task = {"j", 0, 0, run};
        command.run = run;
        command.body = "spec";
        targets.send(command, 1000ms,
                     [this, run](const command_reply& reply) { got[run].push_back(reply.outcome); });
    }

    held_targets direct;
    milliseconds boot{1000};
    std::vector<relayed_call> calls;
    relayed_targets targets{"n1/1", direct,
                            [this](const std::string& address, const pb::relay_call& call,
                                   milliseconds /*timeout*/, peer_callback<pb::relay_answer> done) {
                                calls.push_back({address, call, std::move(done)});
                            },
                            [this] { return boot; }};
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

// Guards against a start that its owner can't take back because it waits at another node, or for a message
// there.
TEST_CASE("a start is withdrawn where it waits", "[relay][queued]") {
    const auto start = [](int run) { return start_id{"t1", {"j", 0, 0, run}, run}; };
    relayed_owner owner;
    owner.start(1);
    owner.start(2); // waits for the next call
    REQUIRE(owner.calls.size() == 1);
    owner.targets.withdraw(start(2));
    CHECK(owner.got.at(2) == outcomes{command_outcome::withdrawn});
    owner.targets.withdraw(start(1));
    CHECK_FALSE(owner.got.contains(1));
    owner.targets.tick(now() + relay_spacing);
    REQUIRE(owner.calls.size() == 2);
    CHECK(owner.calls[1].call.commands().empty());
    REQUIRE(owner.calls[1].call.withdrawals_size() == 1);
    CHECK(start_from_wire(owner.calls[1].call.withdrawals(0)) == start(1));
    owner.calls[1].done(peer_delivery::answered, results_of(owner.calls[0].call, command_outcome::withdrawn));
    CHECK(owner.got.at(1) == outcomes{command_outcome::withdrawn});

    owner.calls[0].done(peer_delivery::lost, {});
    owner.start(3);
    owner.targets.withdraw(start(3));
    CHECK(owner.direct.withdrawn == std::vector{start(3)});
}

TEST_CASE("a start that waits for a message or a failed relay uses up its time",
          "[relay][queued][recovery]") {
    relayed_owner owner;
    owner.start(1);
    owner.start(2);
    owner.boot += 300ms;
    owner.targets.tick(now() + relay_spacing);
    REQUIRE(owner.calls.size() == 2);
    CHECK(owner.calls[1].call.commands(0).queue_ms() == 700);
    owner.start(3);
    const bool expires = GENERATE(false, true);
    owner.boot += expires ? max_queue_time : 600ms;
    if (expires) {
        owner.targets.tick(now() + relay_spacing);
        CHECK(owner.got.at(3) == outcomes{command_outcome::expired});
    }
    owner.calls[1].done(peer_delivery::not_sent, {});
    REQUIRE(owner.direct.commands.size() == (expires ? 1 : 2));
    CHECK(owner.direct.commands.back().queue_time == (expires ? -300ms : 100ms)); // of the second start
}

// Guards against a stop that overtakes its start, which then waits at a node that isn't asked any more.
TEST_CASE("a stop goes the way of its start", "[relay][queued]") {
    relayed_owner owner;
    owner.start(1);
    owner.targets.set_relays({{"n3", "10.0.0.3:1", "near"}});
    owner.send(command_kind::stop, 1);
    owner.send(command_kind::stop, 2); // its start isn't open
    owner.targets.tick(now() + relay_spacing);
    std::map<std::string, std::vector<int>> stops; // by address
    for (const auto& each : owner.calls) {
        for (const auto& command : each.call.commands()) {
            if (command.what() == pb::target_command::stop)
                stops[each.address].push_back(command.run());
        }
    }
    CHECK(stops == std::map<std::string, std::vector<int>>{{"10.0.0.2:1", {1}}, {"10.0.0.3:1", {2}}});
}

TEST_CASE("a relay that was paused sends no starts that came meanwhile, and passes withdrawals on",
          "[relay][queued][recovery]") {
    held_targets targets;
    milliseconds boot{1000};
    command_relay relay{targets, [&] { return boot; }};
    relay.tick(now());
    boot += GENERATE(100ms, 5000ms);
    const bool paused = boot > 2s;
    pb::relay_call call;
    call.set_session("n1/1/n2/0");
    for (const auto kind : {command_kind::start, command_kind::stop}) {
        start_stop_command command;
        command.kind = kind;
        command.target = "t1";
        command.task = {"j", 0, 0, kind == command_kind::start ? 1 : 2};
        *call.add_commands() = to_wire(command, 1000ms);
    }
    *call.add_withdrawals() = to_wire(start_id{"t1", {"j", 0, 0, 7}, 3});
    std::vector<command_outcome> got;
    relay.take(now(), call, [&](const pb::relay_answer& answer) {
        for (const auto& result : answer.results())
            got.push_back(reply_from_wire(result).outcome);
    });
    relay.tick(now() + relay_hold);
    CHECK(got == (paused ? outcomes{command_outcome::expired} : outcomes{}));
    CHECK(targets.commands.size() == (paused ? 1 : 2));
    CHECK(targets.commands.back().kind == command_kind::stop);
    CHECK(targets.withdrawn == std::vector{start_id{"t1", {"j", 0, 0, 7}, 3}});
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
    command.queue_time = 250ms;
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
    CHECK(decoded->queue_time == command.queue_time);
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
    CHECK(reply_from_wire(to_wire(command_reply{command_outcome::expired, {}, 9ms})).queued == 9ms);
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

#include "job_world.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

/// Two targets, one of which is filled, so that everything else goes to the other one.
struct pair_of_targets {
    explicit pair_of_targets(milliseconds work)
        : world{{.targets = 2, .work = work, .faults = false, .outlive_restarts = true}, 51} {
        world.run_for(21s); // so that its clock is far ahead of that of a new incarnation
        world.submit(simple_job("filler", {simple_step(1, 4000)}));
        world.run_for(200ms);
        full = world.starts().front().substr(world.starts().front().find('@') + 1);
        open = full == "t0" ? "t1" : "t0";
    }
    void submit(const std::string& job) { world.submit(simple_job(job, {simple_step(1, 1000)})); }
    /// From now on nothing reaches the open target, and its work may go to the other one.
    void cut_off() {
        world.make_unresponsive(open, 60s);
        world.cancel("filler");
    }

    job_world world;
    std::string full;
    std::string open;
};

enum class late_command { start, start_again, poll, stopped_start };

} // namespace

// Guards against a log that doesn't tell which commands were still out when a target restarted, nor by what a
// lease counted as over.
TEST_CASE("an owner logs the commands that a restart leaves open", "[engine][restarts][outdated][log]") {
    pair_of_targets pair{60s};
    auto& world = pair.world;
    world.delay_commands(60s);
    pair.submit("late");
    world.run_for(60ms);
    world.delay_commands(0ms);
    world.restart(pair.open);
    world.read_entries();
    world.run_for(1s);
    pair.submit("j");
    world.run_for(1s);
    world.make_unresponsive(pair.open, 60s);
    world.run_for(12s);
    std::map<std::string, std::string> first;
    for (const auto& event : world.owner().take_events())
        first.emplace(event.what, event.detail);
    CHECK(first["target_restarted"].find("1 commands without an answer, the last deadline sent") !=
          std::string::npos);
    CHECK(first["earlier_command_answered"].find("start late.0.0.0 run 1: answer lost, sent 500 ms ago") !=
          std::string::npos);
    CHECK(first["target_lease_over"].find(pair.open + ": ") == 0);
}

TEST_CASE("a command for an earlier incarnation that comes late doesn't make a task run twice",
          "[engine][restarts][outdated]") {
    struct row {
        const char* name;
        late_command what;
    };
    const auto given = GENERATE(
        row{"a start", late_command::start}, row{"a start that was stopped", late_command::stopped_start},
        row{"a poll", late_command::poll}, row{"a start that is sent again", late_command::start_again});
    const auto late = GENERATE(200ms, 600ms, 1000ms, 2000ms, 4000ms);
    INFO(given.name << ", " << late.count() << " ms late");
    pair_of_targets pair{60s};
    auto& world = pair.world;
    if (given.what == late_command::poll) {
        pair.submit("early");
        world.run_for(200ms);
        world.delay_polls(late);
        world.run_for(100ms);
        world.delay_polls(0ms);
    } else {
        world.delay_commands(late);
        pair.submit("late");
        world.run_for(given.what == late_command::start_again ? 560ms : 60ms);
        world.delay_commands(0ms);
    }
    world.restart(pair.open);
    world.read_entries();
    if (given.what == late_command::stopped_start)
        world.cancel("late");
    world.run_for(100ms);
    pair.submit("j");
    world.run_for(late - 80ms);
    REQUIRE(world.target(pair.open).running().contains("j.0.0.0"));
    world.run_for(20ms);
    pair.cut_off();
    world.run_for(12s);
    INFO(world.violation());
    CHECK(world.violation().empty());
    CHECK(world.target(pair.full).running().contains("j.0.0.0"));
}

// Guards against an end that nobody has read, and that an acknowledgement for an earlier incarnation forgets.
TEST_CASE("an acknowledgement for an earlier incarnation that comes late forgets no end of the new one",
          "[engine][restarts][outdated]") {
    for (auto late = 300ms; late <= 900ms; late += 20ms) {
        INFO(late.count() << " ms late");
        job_world world{{.targets = 1, .work = 300ms, .faults = false, .outlive_restarts = true}, 52};
        world.run_for(20s);
        for (const auto* job : {"a", "b", "c"})
            world.submit(simple_job(job, {simple_step(1, 1000)}));
        world.run_for(2s);
        world.submit(simple_job("d", {simple_step(1, 1000)}));
        world.run_for(100ms);
        world.delay_polls(late);
        world.run_for(100ms);
        world.delay_polls(0ms);
        world.restart("t0");
        world.read_entries();
        world.submit(simple_job("j", {simple_step(1, 1000)}));
        world.run_for(20s);
        INFO(world.violation());
        REQUIRE(world.violation().empty());
        REQUIRE(world.open().empty());
    }
}

// Guards against a lease that counts from the first lists of the new life though a call for the former one
// may still be carried out.
TEST_CASE("a target that falls silent before it refuses outdated commands keeps its runs longer",
          "[engine][restarts][outdated]") {
    constexpr auto longest_call = 2s;
    constexpr auto longest_lease = 6s;
    const instant start{std::chrono::hours{1000}};
    auto config = std::make_shared<cell_config>();
    config->queues["checks"].service = "orders";
    job_engine engine{{}};
    engine.set_config(config);
    engine.restore({}, {});
    engine.set_targets(start, {standin::job_target{"t0", {4000, 64'000, 0}, start - 100s}.entry()});
    const auto restarted = start + 2s;
    instant last_deadline{};
    instant dropped{};
    bool lists_read = false; // the first of the new incarnation; no later ones are
    for (auto at = start; at < start + 20s; at += 20ms) {
        if (at == start + 1s)
            (void)engine.accept(at, simple_job("j", {simple_step(1, 1000)}));
        const auto born = at < restarted ? start - 100s : restarted;
        for (const auto& poll : engine.take_polls(at)) {
            if (at < restarted && poll.deadline_ms)
                last_deadline = at;
            poll_result lists;
            lists.clock_ms = (at - born).count();
            lists.born_ms = to_ms(born);
            lists.complete = true;
            if (at > start + 1s)
                lists.running = {{"j.0.0.0", 1, {}, 1.0}};
            const bool is_answered = at < restarted || !std::exchange(lists_read, true);
            lists.outcome = is_answered ? command_outcome::done : command_outcome::lost;
            engine.handle_poll_result(at, at, poll, lists);
        }
        engine.tick(at);
        while (engine.write_due(at)) {
            (void)engine.take_rows(at);
            engine.rows_written(at);
        }
        for (const auto& command : engine.take_commands(at))
            engine.handle_command_result(at, command, {command_outcome::done, (at - born).count()});
        for (const auto& event : engine.take_events()) {
            if (event.what == "run_dropped" && dropped == instant{})
                dropped = at;
        }
    }
    REQUIRE(last_deadline > start + 1s);
    CHECK(dropped >= last_deadline + longest_call + longest_lease);
}

// Guards against a successor that takes the lease of a new life for what the former owner asked the earlier
// one for.
TEST_CASE("a command of an earlier owner for an earlier incarnation doesn't make a task run twice",
          "[engine][restarts][outdated][recovery]") {
    const auto late = GENERATE(200ms, 600ms, 1000ms, 2000ms);
    INFO(late.count() << " ms late");
    pair_of_targets pair{60s};
    auto& world = pair.world;
    world.delay_commands(late);
    pair.submit("late");
    world.run_for(60ms);
    world.delay_commands(0ms);
    world.restart(pair.open);
    world.run_for(late - 40ms); // it takes the start before anyone has read its lists
    world.take_over();
    world.run_for(300ms);
    REQUIRE(world.target(pair.open).running().contains("late.0.0.0"));
    pair.cut_off();
    world.run_for(12s);
    INFO(world.violation());
    CHECK(world.violation().empty());
    CHECK(world.target(pair.full).running().contains("late.0.0.0"));
}

// Guards against an idle target whose restart goes unseen until its next poll, seconds later.
TEST_CASE("the answer to a start tells of a restart by its clock", "[engine][restarts][outdated]") {
    job_world world{{.targets = 1, .work = 60s, .faults = false}, 54};
    world.run_for(20s);
    world.submit(simple_job("early", {simple_step(1, 1000)}));
    world.run_for(500ms);
    world.lose_polls(1);
    world.run_for(100ms);
    world.restart("t0");
    (void)world.owner().take_events();
    world.submit(simple_job("j", {simple_step(1, 1000)}));
    world.run_for(200ms);
    std::string events;
    for (const auto& event : world.owner().take_events())
        events += event.what + " ";
    CHECK(events.find("target_restarted") != std::string::npos);
    world.run_for(20s);
    CHECK(world.target("t0").running().size() == 2);
    CHECK(world.starts().size() == 3);
}

// Guards against a task that is started elsewhere though its target refused the start because an earlier
// owner's command for an earlier incarnation has started the task there.
TEST_CASE(
    "a start that is refused because of another run of the task is stopped before the task goes elsewhere",
    "[engine][restarts][outdated][recovery]") {
    const instant start{std::chrono::hours{1000}};
    auto config = std::make_shared<cell_config>();
    config->queues["checks"].service = "orders";
    job_engine engine{{.epoch = 17, .last_epoch = 32}};
    engine.set_config(config);
    engine.restore({}, {});
    engine.set_targets(start, {standin::job_target{"t0", {4000, 64'000, 0}, start - 100s}.entry(),
                               standin::job_target{"t1", {4000, 64'000, 0}, start - 100s}.entry()});
    std::vector<command_kind> commands;
    for (auto at = start; at < start + 1200ms; at += 20ms) {
        if (at == start + 1s)
            (void)engine.accept(at, simple_job("j", {simple_step(1, 1000)}));
        for (const auto& poll : engine.take_polls(at)) {
            if (!commands.empty())
                continue; // no lists tell of the run yet
            poll_result lists;
            lists.outcome = command_outcome::done;
            lists.born_ms = to_ms(start - 100s);
            lists.clock_ms = 100'000 + (at - start).count();
            lists.complete = true;
            engine.handle_poll_result(at, at, poll, lists);
        }
        engine.tick(at);
        while (engine.write_due(at)) {
            (void)engine.take_rows(at);
            engine.rows_written(at);
        }
        for (const auto& command : engine.take_commands(at)) {
            const bool is_start = command.kind == command_kind::start;
            commands.push_back(command.kind);
            engine.handle_command_result(at, command,
                                         {is_start ? command_outcome::superseded : command_outcome::done,
                                          100'000 + (at - start).count()});
        }
    }
    CHECK(commands == std::vector{command_kind::start, command_kind::stop});
}

// Guards against a run that counts as one of the earlier incarnation, with that one's lease, since the clock
// in its start's answer is later than any that starts at 0 could be.
TEST_CASE("a start that a new incarnation with any clock answered keeps the longest lease",
          "[engine][restarts][outdated]") {
    const auto clock_start = GENERATE(0, 5'000, 15'000, 19'000);
    INFO("a clock that starts at " << clock_start << " ms");
    pair_of_targets pair{60s};
    auto& world = pair.world;
    world.lose_polls(50);
    world.run_for(100ms);
    world.restart(pair.open, clock_start);
    pair.submit("j");
    world.run_for(60ms);
    REQUIRE(world.target(pair.open).running().contains("j.0.0.0"));
    pair.cut_off();
    world.lose_polls(0);
    world.run_for(14s);
    INFO(world.violation());
    CHECK(world.violation().empty());
    CHECK(world.target(pair.full).running().contains("j.0.0.0"));
}

// Guards against a lease that counts as the usual one since the run was listed, though another send of its
// start reaches the next incarnation.
TEST_CASE("a run that was sent twice isn't given up before the longest lease of its other send",
          "[engine][restarts][outdated]") {
    pair_of_targets pair{60s};
    auto& world = pair.world;
    world.delay_commands(1s);
    pair.submit("late");
    world.run_for(60ms);
    world.delay_commands(0ms);
    world.run_for(640ms); // sent again, and listed
    REQUIRE(world.target(pair.open).running().contains("late.0.0.0"));
    world.lose_polls(50);
    world.run_for(100ms);
    world.restart(pair.open);
    world.run_for(300ms);
    REQUIRE(world.target(pair.open).running().contains("late.0.0.0")); // by the first send
    pair.cut_off();
    world.lose_polls(0);
    for (milliseconds passed{0}; passed < 14s; passed += 20ms) {
        world.run_for(20ms);
        REQUIRE_FALSE((world.target("t0").running().contains("late.0.0.0") &&
                       world.target("t1").running().contains("late.0.0.0")));
    }
    CHECK(world.target(pair.full).running().contains("late.0.0.0"));
}

// Guards against an incarnation that takes commands which the one before refused.
TEST_CASE("a target that restarts again refuses the commands for both earlier incarnations",
          "[engine][restarts][outdated]") {
    const auto between = GENERATE(20ms, 100ms, 300ms, 700ms);
    INFO(between.count() << " ms between");
    pair_of_targets pair{60s};
    auto& world = pair.world;
    world.delay_commands(1500ms);
    pair.submit("late");
    world.run_for(60ms);
    world.delay_commands(0ms);
    world.cancel("late");
    for (int i = 0; i < 2; ++i) {
        world.restart(pair.open);
        world.read_entries();
        world.run_for(between);
    }
    world.run_for(200ms);
    pair.submit("j");
    world.run_for(1500ms);
    REQUIRE(world.target(pair.open).running().contains("j.0.0.0"));
    pair.cut_off();
    world.run_for(12s);
    INFO(world.violation());
    CHECK(world.violation().empty());
}

// Guards against an owner that runs out of fences, or takes a refusal of its own earlier one for another
// owner.
TEST_CASE("an owner can make a target refuse outdated commands after any number of restarts",
          "[engine][restarts][outdated]") {
    job_world world{{.targets = 1, .work = 100ms, .faults = false, .outlive_restarts = true}, 53};
    world.run_for(10s);
    for (int i = 0; i < 60; ++i) {
        INFO("restart " << i);
        world.delay_commands(300ms);
        world.submit(simple_job("late" + std::to_string(i), {simple_step(1, 1000)}));
        world.run_for(40ms);
        world.delay_commands(0ms);
        world.restart("t0");
        world.read_entries();
        world.run_for(2s);
        REQUIRE(world.violation().empty());
        REQUIRE(world.open().empty());
        REQUIRE_FALSE(world.owner().fenced());
    }
    CHECK(world.owner().wanted_epoch() > 60);
}

// Guards against a lower fence for a target that left the list and comes back: it refuses that for good.
TEST_CASE("the fence of a target that comes back is above that of all earlier commands",
          "[engine][restarts][outdated]") {
    const instant start{std::chrono::hours{1000}};
    job_engine engine{{}};
    engine.set_config(std::make_shared<cell_config>());
    engine.restore({}, {});
    const auto entry = standin::job_target{"t0", {4000, 64'000, 0}, start - 100s}.entry();
    engine.set_targets(start, {entry});
    std::uint64_t highest = 0;
    std::uint64_t highest_effective = 0; // of polls
    std::string events;
    for (auto at = start; at < start + 60s; at += 20ms) {
        if (at == start + 20s)
            engine.set_targets(at, {});
        if (at == start + 40s)
            engine.set_targets(at, {entry});
        // The last poll before has an effect, and its answer is lost when the target has left the list.
        const bool is_silent = at >= start + 20s && at < start + 40s;
        for (const auto& poll : engine.take_polls(at)) {
            CHECK(poll.fence >= highest);
            if (at == start + 40s)
                CHECK(poll.fence > highest_effective);
            if (poll.deadline_ms || poll.acked_upto > 0)
                highest_effective = std::max(highest_effective, poll.fence);
            highest = std::max(highest, poll.fence);
            poll_result lists;
            lists.outcome = is_silent ? command_outcome::lost : command_outcome::done;
            lists.born_ms = to_ms(start + 5s * ((at - start) / 5s)); // it restarts each 5 s
            lists.clock_ms = 1000;
            lists.complete = true;
            engine.handle_poll_result(at, at, poll, lists);
        }
        engine.tick(at);
        while (engine.write_due(at)) {
            (void)engine.take_rows(at);
            engine.set_last_epoch(engine.wanted_epoch());
            engine.rows_written(at);
        }
        for (const auto& event : engine.take_events())
            events += event.what + " ";
    }
    CHECK(highest > 1);
    CHECK(events.find("target_gone") != std::string::npos);
}

TEST_CASE("promises hold over random orders of faults with commands that outlive restarts",
          "[engine][restarts][outdated][faults]") {
    constexpr int worlds = 300;
    constexpr int faults = 60;
    for (std::uint64_t seed = 1; seed <= worlds; ++seed) {
        INFO("seed " << seed);
        job_world world{{.restarts = true, .outlive_restarts = true, .clocks_start_anywhere = seed % 2 == 0},
                        seed};
        for (int i = 0; i < faults && world.violation().empty(); ++i)
            world.fault();
        world.stop_faults(60s);
        INFO(world.violation());
        REQUIRE(world.violation().empty());
        REQUIRE(world.open().empty());
    }
}

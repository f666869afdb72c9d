#include "job_world.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

const instant start{std::chrono::hours{1000}};

pb::job_spec scheduled_job(instant first, milliseconds interval, int times, int tasks) {
    auto spec = simple_job("j", {simple_step(tasks, 500)});
    spec.set_times(times);
    spec.set_interval_ms(interval.count());
    spec.set_start_at_ms(to_ms(first));
    return spec;
}

poll_result answer_of(const standin::job_target& target) {
    poll_result result;
    result.outcome = command_outcome::done;
    result.clock_ms = 1000;
    result.complete = true;
    result.born_ms = target.entry().born_ms;
    return result;
}

/// The tasks of starts and stops.
std::vector<std::string> commanded_tasks(job_engine& engine, instant at) {
    engine.tick(at);
    std::vector<std::string> tasks;
    for (const auto& command : engine.take_commands(at))
        tasks.push_back(command.task.to_string());
    std::ranges::sort(tasks);
    return tasks;
}

} // namespace

// Guards against a new owner that drops, and later acknowledges, ends of an occurrence that no row names yet,
// or stops its runs; against occurrences that never run because a later one was found first; and early
// starts.
TEST_CASE("a takeover counts what an occurrence ran before it was recorded", "[engine][recovery][times]") {
    struct row {
        const char* name;
        bool ended;
    };
    const auto given = GENERATE(row{"a task has ended", true}, row{"a task runs", false});
    INFO(given.name);
    const standin::job_target target{"t0", {4000, 64'000, 0}, start};
    auto config = std::make_shared<cell_config>();
    config->queues["checks"].service = "orders";
    auto spec = scheduled_job(start + 1s, 1s, 3, 2);
    spec.set_accepted_ms(to_ms(start));
    job_engine engine{{.epoch = 2, .max_unknown_run_time = 7s}};
    engine.set_config(config);
    engine.restore({{"j", spec}}, {});
    engine.restore_roster(start, {"t0"});
    engine.set_targets(start, {target.entry()});
    const auto polls = engine.take_polls(start);
    REQUIRE(polls.size() == 1);
    auto answer = answer_of(target);
    if (given.ended)
        answer.ended = {{1, "j.2.0.0", 1, end_kind::done, {}}};
    else
        answer.running = {{"j.2.0.0", 1, {}, 1.0}};
    engine.handle_poll_result(start, start, polls.front(), answer);
    CHECK(commanded_tasks(engine, start + 900ms).empty());
    CHECK(commanded_tasks(engine, start + 1100ms) == std::vector<std::string>{"j.0.0.0", "j.0.0.1"});
    CHECK(commanded_tasks(engine, start + 2100ms) == std::vector<std::string>{"j.1.0.0", "j.1.0.1"});
    CHECK(commanded_tasks(engine, start + 3100ms) == std::vector<std::string>{"j.2.0.1"});
}

// Guards against runs that are started again because their ends didn't fit in the target's list.
TEST_CASE("a run whose end isn't listed yet is not taken for gone", "[engine][recovery]") {
    struct row {
        const char* name;
        bool take_over;
    };
    const auto given = GENERATE(row{"the table is silent", false}, row{"a takeover", true});
    const auto seed = GENERATE(range(1, 6));
    INFO(given.name << ", seed " << seed);
    job_world world{{.targets = 1}, static_cast<std::uint64_t>(seed)};
    world.target("t0").set_max_listed_ends(4);
    world.submit(simple_job("j", {simple_step(20, 100)}));
    world.run_for(200ms);
    REQUIRE(world.starts().size() == 20);
    world.hold_writes(true);
    world.run_for(3s);
    if (given.take_over)
        world.take_over();
    world.hold_writes(false);
    world.run_for(3s);
    CHECK(world.violation().empty());
    CHECK(world.starts().size() == 20);
    CHECK(world.owner().state("j") == pb::job_answer::completed);
}

// Guards against tasks that run twice because a target that can't be asked, or whose entry names a wrong
// address, counts as gone while it works on.
TEST_CASE("a run is given up when its target's lease expires, not when it can't be asked",
          "[engine][recovery]") {
    struct row {
        const char* name;
        command_outcome outcome;
    };
    const auto given = GENERATE(row{"its connections are refused", command_outcome::not_sent},
                                row{"another target answers there", command_outcome::other_target},
                                row{"its answers are lost", command_outcome::lost});
    INFO(given.name);
    const standin::job_target first{"t0", {4000, 64'000, 0}, start};
    const standin::job_target second{"t1", {4000, 64'000, 0}, start};
    auto config = std::make_shared<cell_config>();
    config->queues["checks"].service = "orders";
    auto spec = simple_job("j", {simple_step(1, 500)});
    spec.set_accepted_ms(to_ms(start));
    job_engine engine{{.epoch = 2, .max_unknown_run_time = 7s}};
    engine.set_config(config);
    engine.restore({{"j", spec}}, {});
    engine.restore_roster(start, {"t0", "t1"});
    engine.set_targets(start, {first.entry(), second.entry()});
    const auto run_until = [&](instant at, instant end, bool reachable) {
        std::vector<std::string> started;
        for (; at < end; at += 20ms) {
            for (const auto& poll : engine.take_polls(at)) {
                auto answer = answer_of(first);
                answer.clock_ms += (at - start).count();
                if (poll.target == "t0")
                    answer.running = {{"j.0.0.0", 1, {}, 1.0}};
                if (poll.target == "t0" && !reachable) {
                    answer = {};
                    answer.outcome = given.outcome;
                }
                engine.handle_poll_result(at, at, poll, answer);
            }
            engine.tick(at);
            for (const auto& command : engine.take_commands(at))
                started.push_back(command.target);
        }
        return started;
    };
    CHECK(run_until(start, start + 1s, true).empty());
    // A lease of 4.5 s, renewed with the last poll that was answered.
    CHECK(run_until(start + 1s, start + 5s, false).empty());
    CHECK(run_until(start + 5s, start + 7s, false) == std::vector<std::string>{"t1"});
}

// Guards against a log that doesn't tell from how much of a target's lists an owner judged its runs.
TEST_CASE("an owner logs once when a target lists only some of its ends, and once when it lists all",
          "[engine][log]") {
    const standin::job_target target{"t0", {4000, 64'000, 0}, start};
    job_engine engine{{.epoch = 2, .max_unknown_run_time = 7s}};
    engine.restore({}, {});
    engine.restore_roster(start, {"t0"});
    engine.set_targets(start, {target.entry()});
    std::vector<std::string> logged;
    auto at = start;
    for (const bool complete : {false, false, true, true}) {
        const auto polls = engine.take_polls(at);
        REQUIRE(polls.size() == 1);
        auto answer = answer_of(target);
        answer.complete = complete;
        engine.handle_poll_result(at, at, polls.front(), answer);
        for (const auto& event : engine.take_events()) {
            if (event.what.starts_with("target_lists"))
                logged.push_back(event.what);
        }
        at += 5s;
    }
    CHECK(logged == std::vector<std::string>{"target_lists_part", "target_lists_all"});
}

namespace {

std::string detail_of(job_world& world, const std::string& event) {
    std::string detail;
    for (const auto& each : world.owner().take_events()) {
        if (each.what == event)
            detail = each.detail;
    }
    return detail;
}

} // namespace

// Guards against an alert that names a step whose runs were found, and so hides the one that waits.
TEST_CASE("a step whose runs are found after a takeover waits no longer", "[engine][recovery][log]") {
    job_world world{{.targets = 3, .work = 20s, .faults = false}, 94};
    world.submit(simple_job("found", {simple_step(1, 4000)}));
    world.run_for(500ms);
    REQUIRE(world.starts() == std::vector<std::string>{"found.0.0.0@t0"});
    world.make_unresponsive("t1", 20s);
    world.make_unresponsive("t2", 20s);
    world.take_over();
    world.run_for(1s);
    REQUIRE_FALSE(world.owner().runs_known());
    CHECK_FALSE(world.owner().longest_wait(world.at()));
    world.submit(simple_job("waits", {simple_step(1, 4000)}));
    world.run_for(1s);
    const auto longest = world.owner().longest_wait(world.at());
    REQUIRE(longest);
    CHECK(longest->job == "waits");
}

// Guards against a takeover of which the log doesn't tell for which targets work stood still.
TEST_CASE("the log names the targets that a new owner didn't reach", "[engine][recovery][log]") {
    job_world world{{.targets = 3, .work = 300ms, .faults = false}, 95};
    world.submit(simple_job("open", {simple_step(1, 4000)}));
    world.run_for(100ms);
    world.make_unresponsive("t1", 20s);
    world.make_unresponsive("t2", 20s);
    world.take_over();
    world.submit(simple_job("new", {simple_step(1, 8000)})); // no target is that large
    world.run_for(1s);
    const auto statistics = world.owner().count();
    CHECK(statistics.unconfirmed_targets == 2);
    CHECK(statistics.unconfirmed_jobs == 0);
    world.run_for(9s);
    const auto detail = detail_of(world, "runs_known");
    INFO(detail);
    CHECK(detail.starts_with("2 targets not reached: t1 t2; 0 jobs of 0 teams waited"));
    CHECK(world.owner().count().unconfirmed_targets == 0);
}

#include "fault_world.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace medlarhub;
using namespace std::chrono_literals;
using medlarhub::testing::fault_world;

namespace {

constexpr int steps = 250;

std::string joined(const std::vector<std::string>& lines) {
    std::string text;
    for (const auto& line : lines)
        text += line + "\n";
    return text;
}

/// Runs a world through `choices` and returns the first violation with its trace; empty when there is none.
std::string run_world(fault_world::options options, std::uint64_t seed,
                      const std::vector<std::uint32_t>& choices) {
    fault_world world{options, seed};
    for (const auto choice : choices) {
        world.step(choice);
        if (!world.violation().empty())
            return world.violation() + "\n" + joined(world.trace());
    }
    world.stop_faults();
    if (!world.violation().empty())
        return world.violation() + "\n" + joined(world.trace());
    const auto left = world.unfinished();
    return left.empty() ? left : left + "\n" + joined(world.trace());
}

std::string run_seed(fault_world::options options, int seed, int count) {
    std::mt19937 random{static_cast<std::mt19937::result_type>(seed)};
    std::vector<std::uint32_t> choices(static_cast<std::size_t>(count));
    for (auto& choice : choices)
        choice = random();
    return run_world(options, static_cast<std::uint64_t>(seed), choices);
}

/// Returns how many of `worlds` seeded worlds have a violation.
int count_failures(fault_world::options options, int worlds) {
    int failures = 0;
    for (int seed = 0; seed < worlds; ++seed)
        failures += run_seed(options, seed, steps).empty() ? 0 : 1;
    return failures;
}

} // namespace

struct shape {
    std::string name;
    fault_world::options options;
    int worlds = 0;
    int first_seed = 0;
};

TEST_CASE("every order of faults keeps the promises about tasks", "[partition][fault]") {
    const auto chosen = GENERATE(values<shape>({
        {"two targets", {.targets = 2, .slots = 2}, 1500, 0},
        {"one target", {.targets = 1, .slots = 2}, 300, 10'000},
        {"three small targets", {.targets = 3, .slots = 1}, 700, 20'000},
    }));
    for (int seed = chosen.first_seed; seed < chosen.first_seed + chosen.worlds; ++seed) {
        INFO(chosen.name << ", seed " << seed);
        const auto wrong = run_seed(chosen.options, seed, steps);
        INFO(wrong);
        REQUIRE(wrong.empty());
    }
}

TEST_CASE("a long random search finds no violation", "[.long]") {
    const auto chosen = GENERATE(values<shape>({
        {"two targets", {.targets = 2, .slots = 2}, 20'000, 100'000},
        {"three small targets", {.targets = 3, .slots = 1}, 20'000, 200'000},
    }));
    for (int seed = chosen.first_seed; seed < chosen.first_seed + chosen.worlds; ++seed) {
        INFO(chosen.name << ", seed " << seed);
        const auto wrong = run_seed(chosen.options, seed, 2 * steps);
        INFO(wrong);
        REQUIRE(wrong.empty());
    }
}

TEST_CASE("a property-based search with shrinking finds no violation", "[partition][fault]") {
    const bool held = rc::check("promises hold", [](const std::vector<std::uint32_t>& choices) {
        const auto wrong = run_world({.targets = 3, .slots = 1}, 7, choices);
        RC_ASSERT(wrong == "");
    });
    REQUIRE(held);
}

TEST_CASE("the checks fail without the mechanism they are for", "[partition][fault]") {
    constexpr int worlds = 300;
    CHECK(count_failures({.fencing = false}, worlds) > 0);
    CHECK(count_failures({.incarnation_check = false}, worlds) > 0);
    CHECK(count_failures({.settle_lost_starts = false}, worlds) > 0);
}

// Guards against work that runs again, though it isn't idempotent, because the target's new incarnation is
// asked about a start that the earlier one had carried out.
TEST_CASE("a new incarnation's answer about a start isn't taken for the one that had it",
          "[partition][late]") {
    struct row {
        const char* name;
        bool listed;
    };
    const auto given = GENERATE(row{"its target had listed it", true}, row{"nothing was heard of it", false});
    INFO(given.name);
    vm_info info;
    info.id = "t0";
    info.capacity = {4000, 4096, 0};
    info.slots = 2;
    standin::target_model target{info, "boot0"};
    partition core{{}};
    instant at{1'000'000ms};
    const target_authority authority{0, 1};
    core.set_epoch(1, at);
    core.set_fleet({info}, {});
    const auto poll = [&] {
        const auto asked = core.begin_poll(at, "t0", true);
        auto seen = *target.poll(at, authority, true, core.acknowledgements("t0"));
        seen.asked = asked;
        core.inventory(at, seen);
    };
    const auto effects = [&] {
        core.tick(at);
        (void)core.take_records(100'000);
        core.committed();
        return core.take_effects(at);
    };
    const auto start = [&](const effect& action) {
        start_command command;
        command.task_id = action.task.to_string();
        command.need = {1000, 512, 0};
        command.lease = 6s;
        command.incarnation = core.find(action.task.job_id)->tasks(0).boot();
        return target.start(at, authority, command, 5s, false);
    };
    poll();
    service_document doc;
    doc.name = "work";
    doc.team = "orchard";
    doc.need = {1000, 512, 0};
    doc.lease = 6s;
    doc.kind = work_kind::request;
    REQUIRE(core.submit(at, make_job(doc, doc.team, "r1", 1)) == submit_outcome::accepted);
    const auto started = effects();
    REQUIRE(started.size() == 1);
    const auto task = started.front().task;
    REQUIRE(start(started.front()).outcome == "running");
    core.start_answered(at, task, {});
    at += 1s;
    const auto settle = effects();
    REQUIRE(settle.size() == 1);
    REQUIRE(settle.front().kind == effect_kind::settle);
    if (given.listed)
        poll();
    target.restart("boot1");
    REQUIRE(target.settle(at, authority, task.to_string()).outcome == "never");
    core.start_answered(at, task, {start_outcome::refused, {}, "never", target.version(), "boot1"});
    poll();
    for (const auto& action : effects()) {
        if (action.kind == effect_kind::start)
            (void)start(action);
    }
    int executions = 0;
    for (const auto& [id, times] : target.executions())
        executions += times;
    CHECK(executions == 1);
    CHECK(core.find(task.job_id)->tasks(0).state() == pb::task::unknown);
}

// Guards against a lease that counts from the last contact before the task was started.
TEST_CASE("a task whose start was answered a moment ago isn't given up", "[partition][late]") {
    vm_info info;
    info.id = "t0";
    info.capacity = {4000, 4096, 0};
    info.slots = 2;
    standin::target_model target{info, "boot0"};
    partition core{{}};
    instant at{1'000'000ms};
    core.set_epoch(1, at - 60s);
    core.set_fleet({info}, {});
    const auto asked = core.begin_poll(at, "t0", true);
    auto seen = *target.poll(at, {0, 1}, true, {});
    seen.asked = asked;
    core.inventory(at, seen);
    at += 3900ms; // one poll of 2 s was lost since
    service_document doc;
    doc.name = "work";
    doc.team = "orchard";
    doc.need = {1000, 512, 0};
    doc.lease = 2s;
    doc.kind = work_kind::batch;
    doc.idempotent = true;
    REQUIRE(core.submit(at, make_job(doc, doc.team, "r1", 1)) == submit_outcome::accepted);
    (void)core.take_records(100'000);
    core.committed();
    const auto started = core.take_effects(at);
    REQUIRE(started.size() == 1);
    core.start_answered(at, started.front().task, {start_outcome::running, {}, {}, 2, "boot0"});
    at += 200ms;
    core.tick(at);
    const auto& task = core.find(started.front().task.job_id)->tasks(0);
    CHECK(task.attempt() == started.front().task.attempt);
    CHECK(task.state() == pb::task::running);
}

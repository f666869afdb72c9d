// What a new owner does about targets that were silent before it took over.

#include "job_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t limit_cpu_milli = 16'000;
/// When, after a target fell silent, all leases that it may hold have ended: 4.5 s on a clock that may be 2 %
/// slow, a margin, and one pass.
constexpr milliseconds leases_over{4900};

void limit_team(job_world& world) {
    world.set_config(
        [](cell_config& config) { config.teams.at("orchard").resource_limit.cpu_milli = limit_cpu_milli; });
}

std::ptrdiff_t starts_of(const job_world& world, const std::string& job) {
    return std::ranges::count_if(world.starts(),
                                 [&](const std::string& each) { return each.starts_with(job + "."); });
}

std::int64_t running_cpu_milli(job_world& world, int targets) {
    std::int64_t running = 0;
    for (int i = 0; i < targets; ++i)
        running += world.target("t" + std::to_string(i)).held().cpu_milli;
    return running;
}

struct departure {
    const char* name;
    milliseconds second_takeover{0}; ///< after the first; 0: there is none
    milliseconds outage_from{0};     ///< of the table, after the targets fell silent; 0: there is none
    milliseconds outage_to{0};
};

} // namespace

// Guards against a new owner that waits for a command and a whole lease more, from its takeover on, though
// the earlier one had known for long that the targets were silent.
TEST_CASE("work goes on after a takeover when the leases of targets that were silent before are over",
          "[engine][recovery][silent]") {
    const auto given =
        GENERATE(departure{"the owner dies 3 s after they left"}, departure{"the next owner dies too", 500ms},
                 departure{"the table is out during the takeover", 0ms, 2s, 3500ms});
    INFO(given.name);
    constexpr int targets = 8;
    job_world world{{.targets = targets, .work = 1200ms, .faults = false}, 96};
    limit_team(world);
    world.run_for(1s);
    world.submit(simple_job("early", {simple_step(30, 4000)}));
    world.run_for(500ms);
    world.leave("t0");
    world.leave("t1");
    for (auto passed = 0ms; passed < leases_over; passed += 20ms) {
        if (given.outage_to > 0ms)
            world.hold_writes(passed >= given.outage_from && passed < given.outage_to);
        const auto since_takeover = passed - 3s;
        if (since_takeover == 0ms || (given.second_takeover > 0ms && since_takeover == given.second_takeover))
            world.take_over();
        world.run_for(20ms);
    }
    CHECK(world.owner().runs_known());
    CHECK(world.owner().count().unconfirmed_jobs == 0);
    const auto early = starts_of(world, "early");
    world.submit(simple_job("late", {simple_step(1, 4000)}));
    world.run_for(1500ms);
    CHECK(starts_of(world, "early") >= early + 4); // all that the limit allows
    world.run_for(30s);
    CHECK(starts_of(world, "late") == 1);
    CHECK(world.open().empty());
    CHECK(world.violation().empty());
}

// Guards against owners that wait, one after the other, for targets that were gone before the first of them.
TEST_CASE("a target that was gone at one takeover is forgotten by the next", "[engine][recovery][silent]") {
    job_world world{{.targets = 4, .work = 300ms, .faults = false}, 97};
    world.run_for(1s);
    world.leave("t0");
    world.take_over();
    world.run_for(9s);
    REQUIRE(world.owner().runs_known());
    world.take_over();
    world.run_for(500ms);
    CHECK(world.owner().runs_known());
}

// Guards against a row that says when all leases at a target end, while its owner, which can't write, renews
// them.
TEST_CASE("a target that comes back gets no lease before the row that names it is rewritten",
          "[engine][recovery][silent]") {
    job_world world{{.targets = 2, .work = 30s, .faults = false}, 99};
    world.run_for(1s);
    world.submit(simple_job("j", {simple_step(1, 3000)}));
    world.run_for(500ms);
    REQUIRE(world.starts() == std::vector<std::string>{"j.0.0.0@t0"});
    world.make_unresponsive("t0", 2500ms);
    world.run_for(2400ms);
    const auto events = world.owner().take_events();
    REQUIRE(std::ranges::any_of(events, [](const auto& event) { return event.what == "target_silent"; }));
    world.hold_writes(true);
    world.run_for(3500ms);
    world.make_unresponsive("t0", 20s);
    world.take_over();
    world.hold_writes(false);
    world.run_for(3s);
    CHECK(world.starts().size() == 2);
    CHECK(world.violation().empty());
}

// Guards against a bound that ends too early: a run is started elsewhere, or beyond its team's limit, while a
// target that was recorded as silent still runs it.
TEST_CASE("takeovers beside silent targets double no run and pass no limit",
          "[engine][recovery][silent][load]") {
    constexpr std::uint64_t worlds = 300;
    constexpr int targets = 6;
    constexpr int episodes = 8;
    constexpr std::uint64_t outage_one_in = 3;
    const auto between = [](std::mt19937_64& random, int least, int most) {
        return milliseconds{std::uniform_int_distribution{least, most}(random)};
    };
    std::size_t recorded = 0;
    for (std::uint64_t seed = 1; seed <= worlds; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random{seed};
        job_world world{{.targets = targets, .work = 6s}, seed};
        limit_team(world);
        std::int64_t most = 0;
        const auto run_for = [&](milliseconds time) {
            for (milliseconds passed{0}; passed < time; passed += 20ms) {
                world.run_for(20ms);
                most = std::max(most, running_cpu_milli(world, targets));
            }
            const auto events = world.owner().take_events();
            recorded += static_cast<std::size_t>(
                std::ranges::count_if(events, [](const auto& each) { return each.what == "target_silent"; }));
        };
        for (int i = 0; i < episodes; ++i) {
            world.fault();
            world.submit(simple_job("s" + std::to_string(i), {simple_step(4, 2000)}));
            run_for(between(random, 0, 1500));
            for (int silent = 0; silent < 2; ++silent)
                world.make_unresponsive("t" + std::to_string(random() % targets), between(random, 500, 9000));
            run_for(between(random, 0, 4500));
            // What comes back during an outage may be silent again at the next owner.
            world.hold_writes(random() % outage_one_in == 0);
            run_for(between(random, 0, 4000));
            world.make_unresponsive("t" + std::to_string(random() % targets), between(random, 500, 9000));
            world.take_over();
            world.hold_writes(false);
        }
        world.stop_faults(90s);
        INFO(world.violation());
        REQUIRE(world.violation().empty());
        CHECK(world.open().empty());
        REQUIRE(most <= limit_cpu_milli);
    }
    CHECK(recorded > worlds);
}

// Guards against a lease that is requested while a row that is on its way, or was written before, says when
// all leases there end.
TEST_CASE("a silent target may be recorded until a row without it is written", "[silent]") {
    silent_targets silent;
    silent.add("t0", 5000);
    CHECK(silent.may_be_recorded("t0"));
    REQUIRE(silent.write_due());
    (void)silent.take_row();
    silent.remove("t0"); // it answers while the row is on its way
    CHECK_FALSE(silent.contains("t0"));
    CHECK(silent.may_be_recorded("t0"));
    silent.row_written();
    CHECK(silent.may_be_recorded("t0"));
    REQUIRE(silent.write_due());
    (void)silent.take_row();
    CHECK(silent.may_be_recorded("t0"));
    silent.row_written();
    CHECK_FALSE(silent.may_be_recorded("t0"));
    CHECK_FALSE(silent.write_due());
}

// Guards against time that one owner's clock doesn't count.
TEST_CASE("the table's clock bounds a span in both directions", "[silent]") {
    const instant asked{std::chrono::hours{1000}};
    const table_clock_reading reading{70'000, asked, asked + 30ms};
    CHECK(reading.latest_at(asked + 4s) == 74'000);
    CHECK(reading.reached_by(74'000) >= asked + 30ms + 4s);
    CHECK(reading.reached_by(74'000) <= asked + 30ms + 4200ms);
    CHECK(reading.reached_by(60'000) <= asked + 30ms + 100ms); // it was reached before
}

// Guards against a target that is back and gets no work until another one joins or leaves, because the roster
// that it left and joined again was never written without it.
TEST_CASE("a target that leaves and joins again before a roster is written gets work", "[engine][roster]") {
    const bool holds_write = GENERATE(true, false);
    job_world world{{.targets = 2, .work = 60s, .faults = false}, 68};
    world.run_for(1s);
    world.submit(simple_job("early", {simple_step(2, 1000)}));
    world.run_for(500ms);
    world.hold_writes(holds_write);
    world.submit(simple_job("in_write", {simple_step(1, 1000)}));
    world.leave("t0");
    bool gone = false;
    for (int i = 0; i < 1000 && !gone; ++i) {
        world.run_for(20ms);
        for (const auto& event : world.owner().take_events())
            gone = gone || event.what == "target_gone";
    }
    REQUIRE(gone);
    world.join("t0");
    world.hold_writes(false);
    world.run_for(2s);
    world.submit(simple_job("late", {simple_step(2, 2000)}));
    world.run_for(2s);
    CHECK(world.target("t0").held().cpu_milli > 0);
    CHECK(starts_of(world, "late") == 2);
    CHECK(world.violation().empty());
}

// What a new owner does about targets that were silent before it took over.

#include "job_world.h"

#include <catch2/catch.hpp>

#include <algorithm>

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
          "[engine][recovery][silent][!shouldfail]") {
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
TEST_CASE("a target that was gone at one takeover is forgotten by the next",
          "[engine][recovery][silent][!shouldfail]") {
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

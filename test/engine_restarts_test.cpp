#include "job_world.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

// Guards against a run that is started elsewhere because the store's entry tells of its target's restart,
// though the new incarnation took the start.
TEST_CASE("a run that its target's new incarnation took isn't started elsewhere",
          "[engine][restarts][!shouldfail]") {
    struct row {
        const char* name;
        bool entry_first;
    };
    const auto given =
        GENERATE(row{"the entry tells of the restart", true}, row{"the lists tell of it", false});
    INFO(given.name);
    job_world world{{.targets = 2, .work = 3s, .faults = false}, 8};
    world.run_for(500ms);
    world.restart("t0");
    world.restart("t1");
    world.lose_polls(given.entry_first ? 2 : 0);
    world.submit(simple_job("j", {simple_step(1, 1000)}));
    world.run_for(100ms);
    if (given.entry_first)
        world.read_entries();
    world.run_for(1s);
    CHECK(world.violation().empty());
    CHECK(world.target("t0").running().size() + world.target("t1").running().size() == 1);
    world.run_for(8s);
    CHECK(world.starts().size() == 1);
    CHECK(world.owner().state("j") == pb::job_answer::completed);
}

// Guards against ends that are forgotten unread: a new incarnation numbers its ends from 1 again.
TEST_CASE("an acknowledgement for the earlier incarnation doesn't reach the ends of the new one",
          "[engine][restarts][!shouldfail]") {
    job_world world{{.targets = 1, .work = 300ms, .faults = false}, 9};
    world.submit(simple_job("early", {simple_step(4, 1000)}));
    world.run_for(2s);
    REQUIRE(world.owner().state("early") == pb::job_answer::completed);
    world.restart("t0");
    world.lose_polls(1);
    world.submit(simple_job("late", {simple_step(1, 1000)}));
    world.run_for(8s);
    CHECK(world.violation().empty());
    CHECK(world.starts().size() == 5);
    CHECK(world.owner().state("late") == pb::job_answer::completed);
}

// Guards against a lease that counts from a deadline on the earlier incarnation's clock, which the new one
// takes for the longest lease that it grants.
TEST_CASE("a run that an unknown incarnation may hold isn't given up before the longest lease has expired",
          "[engine][restarts][!shouldfail]") {
    job_world world{{.targets = 2, .work = 60s, .faults = false}, 10};
    world.run_for(20s);
    world.restart("t0");
    world.restart("t1");
    world.lose_polls(1);
    world.submit(simple_job("j", {simple_step(1, 1000)}));
    world.run_for(60ms);
    REQUIRE(world.starts().size() == 1);
    world.make_unresponsive(world.starts().front().substr(world.starts().front().find('@') + 1), 30s);
    world.run_for(5500ms);
    CHECK(world.starts().size() == 1);
    world.run_for(4s);
    CHECK(world.starts().size() == 2);
    CHECK(world.violation().empty());
}

TEST_CASE("promises hold over random orders of faults with targets that restart under their ids",
          "[engine][restarts][faults][!shouldfail]") {
    constexpr int worlds = 300;
    constexpr int faults = 60;
    for (std::uint64_t seed = 1; seed <= worlds; ++seed) {
        INFO("seed " << seed);
        job_world world{{.restarts = true}, seed};
        for (int i = 0; i < faults && world.violation().empty(); ++i)
            world.fault();
        world.stop_faults(60s);
        INFO(world.violation());
        REQUIRE(world.violation().empty());
        REQUIRE(world.open().empty());
    }
}

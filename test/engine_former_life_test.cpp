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
        world.run_for(20s); // so that its clock is far ahead of that of a new life
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

} // namespace

// Guards against a log that doesn't tell which calls were still out when a target restarted, nor by what a
// lease counted as over.
TEST_CASE("an owner logs the calls that a restart leaves open", "[engine][restarts][former-life][log]") {
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

#include "job_world.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

std::size_t starts_of(const job_world& world, const std::string& prefix) {
    return static_cast<std::size_t>(std::ranges::count_if(
        world.starts(), [&](const std::string& each) { return each.starts_with(prefix); }));
}

pb::step_spec gang_of(int count, std::int64_t cpu_milli) {
    auto step = simple_step(count, cpu_milli);
    step.set_gang(true);
    return step;
}

pb::job_spec job_of(const std::string& team, const std::string& id, const pb::step_spec& step) {
    auto job = simple_job(id, {step});
    job.set_team(team);
    return job;
}

pb::job_spec bulk_job(const std::string& team, const std::string& id, const pb::step_spec& step) {
    auto job = job_of(team, id, step);
    job.set_queue("bulk");
    return job;
}

} // namespace

TEST_CASE("a gang learns which targets are good for it while none has room", "[engine][advice][load]") {
    // A third of 60 targets is good for the gang. Each runs either preemptible or non-preemptible work.
    const bool preemptible = GENERATE(false, true);
    job_world world{{.targets = 60, .work = 8s, .good_one_in = 3}, 71};
    world.set_config([](cell_config& config) {
        auto& queue = config.queues.at("checks");
        queue.latency_goal = 20s;
        queue.advice = advice_policy{std::chrono::milliseconds{520}, std::chrono::milliseconds{7}, 2000ms};
    });
    world.owner().set_advice_relays({"n0", "n1", "n2", "n3"});
    auto early = simple_step(120, 1500);
    early.set_checkpoint(preemptible);
    world.submit(bulk_job("orchard", "early", early));
    world.run_for(500ms);
    REQUIRE(starts_of(world, "early") == 120);
    world.submit(job_of("orchard", "gang", gang_of(8, 3000)));
    // After preemption, or once the early work has ended, without another advice request.
    world.run_for(preemptible ? 3500ms : 8500ms);
    CHECK(starts_of(world, "gang") == 8);
    CHECK(world.violation().empty());
}

TEST_CASE("later work of its team doesn't take the limit from a gang that waits for room", "[engine][caps]") {
    job_world world{{.targets = 5, .work = 3s}, 72};
    world.set_config([](cell_config& config) {
        config.queues.at("checks").latency_goal = 20s;
        config.teams.at("orchard").resource_limit.cpu_milli = 12'500;
        config.teams["tea"].name = "tea";
    });
    world.submit(job_of("tea", "tea", simple_step(10, 1500))); // no target has capacity left for a member
    world.run_for(500ms);
    REQUIRE(starts_of(world, "tea") == 10);
    world.submit(job_of("orchard", "gang", gang_of(4, 3000)));
    world.run_for(1500ms);
    world.submit(bulk_job("orchard", "small", simple_step(5, 1000)));
    world.run_for(1500ms); // until the earlier work has ended
    CHECK(starts_of(world, "gang") == 4);
    CHECK(starts_of(world, "small") == 0);
    world.run_for(10s);
    CHECK(world.open().empty());
    CHECK(world.violation().empty());
}

TEST_CASE("a gang keeps its part of a limit while it asks for advice", "[engine][caps]") {
    job_world world{{.targets = 12, .work = 5s, .good_one_in = 1}, 73};
    world.set_config([](cell_config& config) {
        auto& queue = config.queues.at("checks");
        queue.latency_goal = 20s;
        queue.advice = advice_policy{std::chrono::milliseconds{520}, std::chrono::milliseconds{7}, 2000ms};
        config.teams.at("orchard").resource_limit.cpu_milli = 24'000;
    });
    world.owner().set_advice_relays({"n0", "n1"});
    world.submit(job_of("orchard", "gang", gang_of(4, 3000)));
    world.run_for(60ms);
    world.submit(bulk_job("orchard", "small", simple_step(24, 1000)));
    world.run_for(200ms);
    CHECK(starts_of(world, "small") == 12); // the other half of the limit
    world.run_for(1s);
    CHECK(starts_of(world, "gang") == 4);
}

TEST_CASE("a gang that waits for more holds no targets back that are kept for another one",
          "[engine][load]") {
    job_world world{{.targets = 3, .work = 8s}, 75};
    world.set_config([](cell_config& config) {
        auto& queue = config.queues.at("checks");
        queue.priority = 1;
        queue.latency_goal = 30s;
        config.queues["soon"] = queue;
        config.queues["soon"].latency_goal = 20s;
    });
    world.submit(bulk_job("orchard", "solid", simple_step(1, 3000)));
    world.run_for(100ms);
    auto soft = simple_step(2, 3000);
    soft.set_checkpoint(true);
    world.submit(bulk_job("orchard", "soft", soft));
    world.run_for(400ms);
    REQUIRE(starts_of(world, "so") == 3);
    world.submit(job_of("orchard", "narrow", gang_of(2, 3000)));
    const auto stopped = [&] {
        return std::ranges::any_of(world.owner().take_events(),
                                   [](const engine_event& event) { return event.what == "run_yields"; });
    };
    for (int i = 0; i < 20 && !stopped(); ++i)
        world.run_for(20ms);
    REQUIRE(starts_of(world, "narrow") == 0);
    auto wide = job_of("orchard", "wide", gang_of(3, 3000)); // ahead in the queue, but one target is busy
    wide.set_queue("soon");
    world.submit(wide);
    world.run_for(1s);
    CHECK(starts_of(world, "narrow") == 2);
    CHECK(world.violation().empty());
}

TEST_CASE("a gang that all targets together can't hold holds none back", "[engine][load]") {
    job_world world{{.targets = 3, .work = 1s}, 76};
    world.set_config([](cell_config& config) {
        config.queues.at("checks").latency_goal = 30s;
        config.teams.at("orchard").resource_limit.cpu_milli = 30'000;
    });
    world.submit(job_of("orchard", "gang", gang_of(9, 3000)));
    world.run_for(4s); // while its share of the limit is reserved
    world.submit(bulk_job("orchard", "small", simple_step(12, 1000)));
    world.run_for(500ms);
    CHECK(starts_of(world, "small") == 12);
}

TEST_CASE("late work that has room starts though much late work before it has none", "[engine][load]") {
    job_world world{{.targets = 3, .work = 8s}, 77};
    world.submit(bulk_job("orchard", "early", simple_step(12, 1000))); // nothing is free at first
    world.run_for(200ms);
    REQUIRE(starts_of(world, "early") == 12);
    for (int i = 0; i < 60; ++i)
        world.submit(job_of("orchard", "gang" + std::to_string(i), gang_of(9, 3000)));
    world.run_for(100ms);
    world.submit(job_of("orchard", "small", simple_step(1, 500)));
    world.run_for(7s);
    REQUIRE(starts_of(world, "small") == 0);
    world.run_for(8s); // long enough for each late step to be considered first several times
    CHECK(starts_of(world, "small") == 1);
}

#include "job_world.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t limit_cpu_milli = 16'000;

pb::step_spec filling_step(bool gang) {
    auto step = simple_step(4, 4000); // all of the limit, one task per target
    step.set_gang(gang);
    return step;
}

std::int64_t running_cpu_milli(job_world& world) {
    std::int64_t running = 0;
    for (const auto& entry : world.entries())
        running += world.target(entry.id).held().cpu_milli;
    return running;
}

std::int64_t most_running(job_world& world, milliseconds time) {
    auto most = running_cpu_milli(world);
    for (milliseconds passed{0}; passed < time; passed += 20ms) {
        world.run_for(20ms);
        most = std::max(most, running_cpu_milli(world));
    }
    return most;
}

std::vector<std::string> busy_targets(job_world& world) {
    std::vector<std::string> found;
    for (const auto& entry : world.entries()) {
        if (!world.target(entry.id).running().empty())
            found.push_back(entry.id);
    }
    return found;
}

} // namespace

TEST_CASE("a new owner counts members that run on after their gang is done", "[engine][caps][recovery]") {
    struct row {
        const char* name;
        bool done;            ///< a member ended before the takeover
        bool later_step;      ///< the job goes on after its gang is done
        milliseconds silence; ///< how long the other members' targets don't respond after the takeover
        milliseconds watched{3000};
    };
    const auto given = GENERATE(row{"all run, until the first ends", false, false, 2s, 1200ms},
                                row{"the first ends after the takeover", false, false, 2s},
                                row{"done, targets answer at once", true, false, 0ms},
                                row{"a later step, targets answer at once", true, true, 0ms},
                                row{"done, targets answer late", true, false, 2s},
                                row{"a later step, targets answer late", true, true, 2s},
                                row{"done, one poll fails", true, false, 60ms});
    INFO(given.name);
    job_world world{{.targets = 8, .work = 3s}, 91};
    world.set_config(
        [](cell_config& config) { config.teams.at("orchard").resource_limit.cpu_milli = limit_cpu_milli; });
    world.run_for(100ms);
    for (const auto& id : {"t1", "t2", "t3"}) // their members start later
        world.make_unresponsive(id, 400ms);
    auto gang = simple_job("gang", {filling_step(true)});
    if (given.later_step) {
        auto& later = *gang.add_steps();
        later = simple_step(1, 100);
        later.mutable_need()->set_memory_mb(100'000); // more than any target has
    }
    world.submit(gang);
    world.run_for(1200ms);
    REQUIRE(busy_targets(world).size() == 4);
    while (given.done && busy_targets(world).size() == 4)
        world.run_for(20ms);
    world.run_for(60ms); // the owner learns of the first end
    const auto left = busy_targets(world);
    REQUIRE(left.size() == (given.done ? 3U : 4U));
    if (!given.done || given.later_step)
        world.run_for(200ms); // writes of progress are delayed
    for (const auto& id : left) {
        if (id != "t0" && given.silence > 0ms)
            world.make_unresponsive(id, given.silence);
    }
    world.take_over();
    world.submit(simple_job("next", {filling_step(false)}));
    CHECK(most_running(world, given.watched) <= limit_cpu_milli);
    world.run_for(12s);
    CHECK(world.owner().state("next") == pb::job_answer::completed);
}

// Guards against a log that doesn't tell why a step waits at a limit of which little is in use.
TEST_CASE("a step that waits at its team's limit is logged with the step before it", "[engine][caps][log]") {
    job_world world{{.targets = 24, .work = 20s, .faults = false}, 93};
    world.set_config([](cell_config& config) {
        config.teams.at("orchard").resource_limit.cpu_milli = limit_cpu_milli;
        config.queues.at("checks").latency_goal = 20s;
        config.queues.at("bulk").latency_goal = 100ms;
    });
    world.submit(simple_job("before", {simple_step(4, 1000)}));
    world.run_for(200ms);
    world.submit(simple_job("wide", {filling_step(true)}));
    world.run_for(200ms);
    auto narrow = simple_job("narrow", {simple_step(1, 4000)});
    narrow.set_queue("bulk");
    world.submit(narrow);
    world.run_for(6s);
    std::string logged;
    for (const auto& event : world.owner().take_events()) {
        if (event.what == "step_waits" && event.job == "narrow")
            logged = event.detail;
    }
    INFO(logged);
    CHECK(logged.find("it needs 25 %, 25 % are held, behind wide.0.0 that needs 100 %") != std::string::npos);
    const auto described = world.owner().describe_limits();
    INFO(described);
    CHECK(described.find("orchard: wide.0.0, it needs 100 %, 25 % are held") != std::string::npos);
}

// Guards against a limit that lies idle between two gangs: one runs with just under half of it, others keep
// as much, one after the other, and what needs little waits for all of them.
TEST_CASE("a step uses a limit of which less than half is in use, though a gang keeps the rest",
          "[engine][caps][load]") {
    constexpr int gangs = 4;
    constexpr int members = 23;
    constexpr std::int64_t member_cpu_milli = 500; // 11.5 of 24 cores together
    job_world world{{.targets = 24, .work = 30s, .faults = false, .good_one_in = 2}, 98};
    world.set_config([&](cell_config& config) {
        auto& queue = config.queues.at("checks");
        queue.priority = 1;
        queue.latency_goal = 30s;
        queue.advice = advice_policy{50ms, 1ms, 2000ms};
        config.queues.at("bulk").latency_goal = 30s;
        config.teams.at("orchard").resource_limit.cpu_milli = 24'000;
    });
    auto before = simple_job("before", {simple_step(members, member_cpu_milli)});
    before.set_queue("bulk");
    world.submit(before);
    world.run_for(500ms);
    REQUIRE(running_cpu_milli(world) == members * member_cpu_milli);
    world.withhold_advice(true);
    for (int i = 0; i < gangs; ++i) {
        auto gang = simple_step(members, member_cpu_milli);
        gang.set_gang(true);
        world.submit(simple_job("gang" + std::to_string(i), {gang}));
    }
    world.run_for(100ms);
    auto narrow = simple_job("narrow", {simple_step(1, 1000)});
    narrow.set_queue("bulk");
    world.submit(narrow);
    world.run_for(2900ms);
    CHECK(running_cpu_milli(world) == members * member_cpu_milli + 1000);
    CHECK(world.violation().empty());
}

namespace {

struct waiting_pair {
    const char* name;
    int first;  ///< members of the gang that the limit holds back, 2 cores each
    int second; ///< tasks of the step behind it, 1 core each
    bool second_is_gang;
    milliseconds goal;     ///< of the gang's queue
    milliseconds ahead{0}; ///< how long before the gang the other step comes
    bool starts = true;    ///< the other step does, while the gang still waits for what runs
    int before = 6;        ///< tasks that run already, 1 core each
};

} // namespace

// Guards against a limit that lies idle: a step that fits under it waited behind a wider one of its team,
// which couldn't start until other work had ended.
TEST_CASE("a step uses the part of its team's limit that a wider one can't use yet", "[engine][caps][load]") {
    const auto given =
        GENERATE(waiting_pair{"beside all that the gang needs", 10, 4, false, 20s},
                 waiting_pair{"a gang beside all that the other needs", 10, 4, true, 20s},
                 waiting_pair{"it would delay the gang", 12, 4, false, 20s, 0ms, false},
                 waiting_pair{"half of the limit is in use", 10, 4, false, 20s, 0ms, false, 12},
                 waiting_pair{"the gang is overdue and came later", 12, 4, false, 1200ms, 200ms},
                 waiting_pair{"the gang is overdue and came first", 12, 4, false, 1200ms, 0ms, false},
                 waiting_pair{"it needs more than half of the limit", 12, 18, true, 1200ms, 200ms, false});
    INFO(given.name);
    job_world world{{.targets = 24, .work = 8s, .faults = false}, 92};
    world.set_config([&](cell_config& config) {
        auto bulk = config.queues.at("checks");
        bulk.name = "bulk";
        bulk.priority = 2;
        bulk.latency_goal = 20s;
        config.queues["bulk"] = bulk;
        config.queues.at("checks").priority = 1;
        config.queues.at("checks").latency_goal = given.goal;
        config.teams.at("orchard").resource_limit.cpu_milli = 24'000;
    });
    auto before = simple_job("before", {simple_step(given.before, 1000)});
    before.set_queue("bulk");
    world.submit(before);
    world.run_for(500ms);
    auto second = simple_step(given.second, 1000);
    second.set_gang(given.second_is_gang);
    auto later = simple_job("second", {second});
    later.set_queue("bulk");
    auto first = simple_step(given.first, 2000);
    first.set_gang(true);
    first.set_estimate_ms(100);
    if (given.ahead > 0ms) {
        world.hold_writes(true); // it isn't placed before the gang comes
        world.submit(later);
        world.run_for(given.ahead);
        world.hold_writes(false);
    }
    world.submit(simple_job("first", {first}));
    if (given.ahead == 0ms) {
        world.run_for(100ms);
        world.submit(later);
    }
    world.run_for(3s);
    const auto started = [&](const std::string& job) {
        return std::ranges::count_if(world.starts(),
                                     [&](const std::string& each) { return each.starts_with(job); });
    };
    REQUIRE(started("first") == 0);
    CHECK(started("second") == (given.starts ? given.second : 0));
    world.run_for(30s);
    CHECK(world.open().empty());
    CHECK(world.violation().empty());
}

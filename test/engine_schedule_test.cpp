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

void submit_many(job_world& world, const std::string& prefix, int jobs, const std::string& queue,
                 const pb::step_spec& step) {
    for (int i = 0; i < jobs; ++i) {
        auto job = simple_job(prefix + std::to_string(i), {step});
        job.set_queue(queue);
        world.submit(std::move(job));
    }
}

} // namespace

// Guards against work that never starts beside free targets because passes end at steps ahead of it that no
// target can take.
TEST_CASE("steps that can't be placed don't keep others from free targets", "[engine][load]") {
    struct row {
        const char* name;
        const char* label;
        std::int64_t cpu_milli;
        int gang_members;
        int other_members;
    };
    const auto given = GENERATE(row{"no target has their label", "absent", 500, 0, 0},
                                row{"the only target with their label is full", "special", 3500, 0, 0},
                                row{"they are larger than any target", "", 99'000, 0, 0},
                                row{"they are larger than what any target has free", "", 4000, 0, 0},
                                row{"gangs that are wider than what is free", "", 4000, 8, 0},
                                row{"gangs before smaller gangs", "", 4000, 8, 2});
    INFO(given.name);
    job_world world{{.targets = 12, .work = 60s}, 81};
    world.set_config([](cell_config& config) { config.queues.at("checks").latency_goal = 20s; });
    world.target("t0").set_labels({"a", "special"});
    world.take_over(); // learns the labels
    auto early = simple_step(12, 600);
    early.set_max_per_target(1);
    submit_many(world, "early", 1, "checks", early);
    world.run_for(500ms);
    REQUIRE(starts_of(world, "early") == 12);
    auto blocked = simple_step(std::max(given.gang_members, 1), given.cpu_milli);
    blocked.set_gang(given.gang_members > 0);
    blocked.set_required_label(given.label);
    submit_many(world, "blocked", 60, "checks", blocked);
    auto other = simple_step(std::max(given.other_members, 1), 250);
    other.set_gang(given.other_members > 0);
    submit_many(world, "other", 20, "bulk", other);
    world.run_for(2s);
    CHECK(starts_of(world, "blocked") == 0);
    CHECK(starts_of(world, "other") == 20U * static_cast<std::size_t>(other.count()));
    CHECK(world.violation().empty());
}

// Guards against accepted work that goes last for as long as an overload lasts, since it came first: passes
// that ended early began behind the oldest late steps.
TEST_CASE("late work on a full fleet starts in the order in which it came", "[engine][load]") {
    constexpr int jobs = 500;
    constexpr int places = 16; // at a time
    job_world world{{.targets = 4, .work = 400ms, .faults = false}, 82};
    world.set_config([](cell_config& config) { config.queues.at("checks").latency_goal = 100ms; });
    world.run_for(100ms);
    for (int i = 0; i < jobs; ++i) {
        world.submit(simple_job("j" + std::to_string(i), {simple_step(1, 1000)}));
        world.run_for(10ms);
    }
    world.run_for(15s);
    REQUIRE(world.starts().size() == jobs);
    std::vector<int> turn(jobs);
    for (int i = 0; i < jobs; ++i) {
        const auto& start = world.starts()[static_cast<std::size_t>(i)];
        turn[static_cast<std::size_t>(std::stoi(start.substr(1, start.find('.') - 1)))] = i;
    }
    // What is in time goes first, so that late work goes after it by as much as comes in time.
    int in_time = 0;
    for (int i = 0; i < jobs; ++i)
        in_time += turn[static_cast<std::size_t>(i)] < i ? 1 : 0;
    int last = -1;
    int overtaken = 0;
    for (int i = 0; i < jobs; ++i) {
        const auto at = turn[static_cast<std::size_t>(i)];
        if (at < i)
            continue;
        overtaken = std::max(overtaken, last - at);
        last = std::max(last, at);
    }
    CAPTURE(in_time);
    CHECK(overtaken <= 2 * places);
    CHECK(world.violation().empty());
}

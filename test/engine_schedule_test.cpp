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

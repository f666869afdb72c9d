#include "job_world.h"

#include "jobs/queue_terms.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

/// Removes the queue, which the configuration declares again only if `back`.
void remove_queue_for(job_world& world, milliseconds time, bool take_over, bool back) {
    queue_policy removed;
    world.set_config([&](cell_config& config) {
        removed = config.queues.at("checks");
        config.queues.erase("checks");
    });
    if (take_over)
        world.take_over();
    world.run_for(time);
    if (back)
        world.set_config([&](cell_config& config) { config.queues["checks"] = removed; });
}

} // namespace

// Guards against accepted jobs that end as failed, or are never run, because their queue isn't configured
// now.
TEST_CASE("an accepted job keeps the terms of a queue that is removed", "[engine][config]") {
    struct row {
        const char* name;
        bool take_over;
        bool back;
        int failures;
        pb::job_answer::job_state state;
        std::size_t starts;
    };
    const auto given =
        GENERATE(row{"declared again", false, true, 1, pb::job_answer::completed, 2},
                 row{"removed for good", false, false, 1, pb::job_answer::completed, 2},
                 row{"a takeover in between", true, true, 1, pb::job_answer::completed, 2},
                 row{"a takeover, removed for good", true, false, 1, pb::job_answer::completed, 2},
                 row{"its attempts are used up", false, false, 3, pb::job_answer::failed, 3});
    INFO(given.name);
    job_world world{{}, 5};
    world.submit(simple_job("j", {simple_step(1, 1000)}));
    world.run_for(100ms);
    REQUIRE(world.starts().size() == 1);
    world.fail_next("j.0.0.0");
    remove_queue_for(world, 400ms, given.take_over, given.back);
    for (int failure = 1; failure < given.failures; ++failure) {
        world.fail_next("j.0.0.0");
        world.run_for(450ms);
    }
    world.run_for(3s);
    CHECK(world.violation().empty());
    CHECK(world.owner().state("j") == given.state);
    CHECK(world.starts().size() == given.starts);
}

// Guards against a run beyond the attempts after their number was lowered.
TEST_CASE("a job whose attempts are used up under a new configuration ends", "[engine][config]") {
    job_world world{{}, 6};
    world.submit(simple_job("j", {simple_step(1, 1000)}));
    for (std::size_t starts = 2; starts <= 3; ++starts) {
        world.fail_next("j.0.0.0");
        while (world.starts().size() < starts)
            world.run_for(20ms);
    }
    world.set_config([](cell_config& config) { config.queues.at("checks").max_attempts = 2; });
    world.run_for(1s);
    CHECK(world.owner().state("j") == pb::job_answer::failed);
    CHECK(world.starts().size() == 3);
}

TEST_CASE("a queue's terms survive their record", "[engine][config]") {
    queue_policy queue;
    queue.name = "checks";
    queue.service = "orders";
    queue.priority = 2;
    queue.max_attempts = 4;
    queue.stretch = 2.5;
    queue.latency_goal = 700ms;
    if (GENERATE(false, true))
        queue.advice = advice_policy{std::chrono::milliseconds{5}, std::chrono::milliseconds{2}, 900ms};
    pb::job_spec spec;
    spec.set_queue("checks");
    *spec.mutable_terms() = terms_of(queue);
    const auto recalled = policy_from(spec);
    CHECK(recalled.name == queue.name);
    CHECK(recalled.service == queue.service);
    CHECK(recalled.priority == queue.priority);
    CHECK(recalled.max_attempts == queue.max_attempts);
    CHECK(recalled.stretch == queue.stretch);
    CHECK(recalled.latency_goal == queue.latency_goal);
    REQUIRE(recalled.advice.has_value() == queue.advice.has_value());
    if (queue.advice)
        CHECK(recalled.advice->ticket_valid == queue.advice->ticket_valid);
}

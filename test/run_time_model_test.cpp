#include "jobs/run_time_model.h"

#include "job_world.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

/// Steps of one queue, with lognormal run times and estimates.
struct queue_shape {
    const char* name;
    double mean_ms;
    double between;      ///< standard deviations of logarithms: of steps around the queue's mean,
    double within;       ///< of tasks around their step,
    double estimate_off; ///< of estimates around the step's time
    double bias = 0;     ///< of the logarithm of all estimates
    int tail_one_in = 0; ///< one task in this many runs seven times as long
};

struct errors {
    double estimate = 0; ///< mean absolute logarithms
    double prediction = 0;
};

/// Lets `steps` steps of eight tasks end one after the other; counts the errors of the second half.
errors play(run_time_model& model, const queue_shape& shape, int steps, std::uint64_t seed) {
    std::mt19937_64 random{seed};
    std::normal_distribution<double> normal;
    constexpr int tasks = 8;
    errors sum;
    int counted = 0;
    for (int i = 0; i < steps; ++i) {
        const auto typical = std::log(shape.mean_ms) + shape.between * normal(random);
        const milliseconds estimate{
            std::llround(std::exp(typical + shape.bias + shape.estimate_off * normal(random)))};
        step_run_times step;
        for (int k = 0; k < tasks; ++k) {
            auto log_time = typical + shape.within * normal(random);
            if (shape.tail_one_in > 0 && random() % static_cast<std::uint64_t>(shape.tail_one_in) == 0)
                log_time += std::log(7);
            const milliseconds took{std::llround(std::exp(log_time))};
            const auto error_of = [&](milliseconds expected) {
                return std::abs(
                    std::log(static_cast<double>(expected.count()) / static_cast<double>(took.count())));
            };
            if (i >= steps / 2) {
                sum.estimate += error_of(estimate);
                sum.prediction += error_of(model.expect("checks", "orchard", estimate, step));
                ++counted;
            }
            model.observe("checks", "orchard", estimate, took, step);
        }
    }
    return {sum.estimate / counted, sum.prediction / counted};
}

} // namespace

// Guards against an order of work, and refusals, that follow estimates which are far off.
TEST_CASE("predictions are better than rough estimates and no worse than good ones", "[run_times]") {
    struct row {
        queue_shape shape;
        double most; ///< error of the prediction as a part of the estimate's
    };
    const auto given =
        GENERATE(row{{"estimates off by half", 4000, 0.5, 0.15, 0.5}, 0.6},
                 row{{"estimates that say nothing", 640, 0.3, 0.3, 0.9}, 0.5},
                 row{{"estimates that are all too long", 4000, 0.5, 0.15, 0.1, 0.7}, 0.3},
                 row{{"exact estimates", 4000, 0.5, 0.05, 0.0}, 1.05},
                 row{{"exact estimates, but for a long tail", 4000, 0.5, 0.15, 0.1, 0, 33}, 1.1});
    INFO(given.shape.name);
    run_time_model model;
    const auto made = play(model, given.shape, 600, 7);
    CAPTURE(made.estimate, made.prediction);
    CHECK(made.prediction <= given.most * made.estimate);
}

TEST_CASE("the estimate counts until predictions have proved better", "[run_times]") {
    run_time_model model;
    step_run_times step;
    for (int i = 0; i < 20; ++i)
        model.observe("checks", "orchard", 1000ms, 3000ms, step);
    CHECK(model.expect("checks", "orchard", 1000ms) == 1000ms);
    for (int i = 0; i < 20; ++i)
        model.observe("checks", "orchard", 1000ms, 3000ms, step);
    CHECK(model.expect("checks", "orchard", 1000ms) > 2500ms);
    CHECK(model.expect("another", "orchard", 1000ms) == 1000ms);
}

TEST_CASE("a team whose estimates are off by its own factor gets its own correction", "[run_times]") {
    run_time_model model;
    for (int i = 0; i < 300; ++i) {
        step_run_times step;
        model.observe("checks", "orchard", 1000ms, 4000ms, step);
        step = {};
        model.observe("checks", "mill", 1000ms, 1000ms, step);
    }
    const auto orchard = model.expect("checks", "orchard", 1000ms);
    const auto mill = model.expect("checks", "mill", 1000ms);
    CHECK(orchard > 3000ms);
    CHECK(mill < 1500ms);
}

// Guards against a run that is taken to end at once because it has exceeded what was expected of it.
TEST_CASE("a run that has exceeded its expected time is expected to go on", "[run_times]") {
    run_time_model model;
    (void)play(model, {"", 1000, 0.5, 0.3, 0.9}, 300, 3);
    const auto fresh = model.expect_rest("checks", 1000ms, 0ms);
    const auto late = model.expect_rest("checks", 1000ms, 3000ms);
    CHECK(fresh > 900ms);
    CHECK(late > 300ms);
    CHECK(model.expect_rest("unknown", 1000ms, 3000ms) == 0ms);
}

TEST_CASE("a new owner knows what was learnt; rows that make no sense teach nothing", "[run_times]") {
    run_time_model model;
    (void)play(model, {"", 1000, 0.5, 0.15, 0.9}, 200, 5);
    auto row = model.to_row();
    run_time_model next;
    next.restore(row);
    const auto before = model.expect("checks", "orchard", 500ms);
    const auto after = next.expect("checks", "orchard", 500ms);
    CHECK(std::abs((before - after).count()) <= 2 + before.count() / 100);
    auto& queue = row.mutable_queues()->at("checks");
    const bool is_short = GENERATE(true, false);
    if (is_short)
        queue.mutable_sums()->RemoveLast();
    else
        queue.set_sums(3, std::nanf(""));
    run_time_model odd;
    odd.restore(row);
    CHECK(odd.expect("checks", "orchard", 500ms) == 500ms);
}

TEST_CASE("memory and the row stay bounded however many teams and queues there are", "[run_times]") {
    run_time_model model;
    for (int i = 0; i < 20'000; ++i) {
        step_run_times step;
        model.observe("queue" + std::to_string(i % 100), "a-team-with-a-long-name-" + std::to_string(i),
                      1000ms, 2000ms, step);
    }
    CHECK(model.errors().size() <= 64);
    CHECK(model.to_row().ByteSizeLong() < std::size_t{48} * 1024);
}

// Guards against predictions that are learnt but not used, and that a takeover loses.
TEST_CASE("what queued work takes is judged by learnt run times, also after a takeover",
          "[run_times][engine][load]") {
    const bool taken_over = GENERATE(false, true);
    job_world world{{.targets = 2, .cpu_milli = 4000, .work = 2000ms, .faults = false}, 91};
    world.set_config([](cell_config& config) {
        auto& queue = config.queues.at("checks");
        queue.latency_goal = 3s;
        queue.stretch = 1;
    });
    auto step = simple_step(1, 1000);
    step.set_estimate_ms(200);
    for (int i = 0; i < 60; ++i) {
        world.submit(simple_job("early" + std::to_string(i), {step}));
        world.run_for(300ms);
    }
    world.run_for(8s);
    REQUIRE(world.open().empty());
    if (taken_over) {
        world.take_over();
        world.run_for(6s);
    }
    const auto errors = world.owner().errors_of_run_times();
    REQUIRE(errors.size() == 1);
    CHECK(errors.front().ends >= 30);
    CHECK_FALSE(world.owner().wait_if_too_late(world.at(), simple_job("n", {step})));
    // Eight run at a time: the estimates say that 100 tasks take 2.5 s, and they take 25 s.
    step.set_count(100);
    world.submit(simple_job("queued", {step}));
    world.run_for(200ms);
    step.set_count(1);
    CHECK(world.owner().wait_if_too_late(world.at(), simple_job("n", {step})));
    CHECK(world.violation().empty());
}

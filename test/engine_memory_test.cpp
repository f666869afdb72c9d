#include "job_world.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

// Guards against small requests that ask for millions of tasks, and against an owner that keeps more tasks
// than its memory holds.
TEST_CASE("jobs are refused whose tasks don't fit into memory", "[engine][clients]") {
    struct row {
        const char* name;
        int count;
        int times;
        milliseconds started_ago;
        milliseconds interval;
        bool fits;
    };
    const auto given =
        GENERATE(row{"few tasks", 100, 0, 0s, 0s, true}, row{"as many as fit", 400, 0, 0s, 0s, true},
                 row{"one more", 401, 0, 0s, 0s, false},
                 row{"occurrences that are due now or soon", 100, 1000, 0s, 60s, true},
                 row{"overdue occurrences", 100, 1000, 600s, 60s, false},
                 row{"occurrences without an interval", 1, 1000, 0s, 0s, false},
                 row{"occurrences far apart", 100, 1000, 0s, 3600s, true});
    INFO(given.name);
    const instant at{std::chrono::hours{1000}};
    engine_options options;
    options.max_kept_tasks = 1000;
    job_engine engine{options};
    REQUIRE(engine.accept(at, simple_job("early", {simple_step(300, 1000), simple_step(300, 1000)})) ==
            accept_outcome::accepted);
    auto job = simple_job("new", {simple_step(given.count, 1000)});
    job.set_times(given.times);
    job.set_start_at_ms(to_ms(at - given.started_ago));
    job.set_interval_ms(given.interval.count());
    CHECK(engine.has_memory_for(at, job) == given.fits);
    REQUIRE(engine.withdraw("early"));
    CHECK(engine.has_memory_for(at, simple_job("other", {simple_step(1000, 1000)})));
}

TEST_CASE("a job has a bounded number of tasks in all its steps", "[engine][clients]") {
    CHECK_FALSE(validation_error(simple_job("j", {simple_step(10'000, 1000), simple_step(10'000, 1000)})));
    CHECK(validation_error(
        simple_job("j", {simple_step(10'000, 1000), simple_step(10'000, 1000), simple_step(1, 1000)})));
}

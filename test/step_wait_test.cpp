#include "jobs/step_wait.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

const instant start{std::chrono::hours{1000}};

} // namespace

TEST_CASE("a wait is described by cause, the longest first, and without causes if there was none",
          "[queue]") {
    struct noted {
        milliseconds at;
        wait_cause cause;
    };
    struct row {
        const char* name;
        std::vector<noted> causes;
        milliseconds total;
        std::string text;
    };
    const auto given =
        GENERATE(row{"nothing", {}, 0ms, "0 ms"},
                 row{"one cause", {{0ms, wait_cause::no_capacity}}, 1000ms, "1000 ms: room 1000"},
                 row{"the same cause twice",
                     {{0ms, wait_cause::no_capacity}, {300ms, wait_cause::no_capacity}},
                     1000ms,
                     "1000 ms: room 1000"},
                 row{"two causes",
                     {{0ms, wait_cause::no_capacity}, {300ms, wait_cause::team_limit}},
                     1000ms,
                     "1000 ms: its team's limit 700, room 300"},
                 row{"a gap between",
                     {{0ms, wait_cause::advice}, {200ms, wait_cause::none}, {900ms, wait_cause::advice}},
                     300ms,
                     "300 ms: advice 300"});
    INFO(given.name);
    step_wait wait;
    for (const auto& each : given.causes)
        wait.note(start + each.at, each.cause);
    CHECK(wait.total(start + 1s) == given.total);
    CHECK(wait.describe(start + 1s) == given.text);
}

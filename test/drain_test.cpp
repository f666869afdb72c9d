#include "drain.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

constexpr instant begun{1000s};
constexpr drain_times times{3500ms, 5000ms, 5700ms};

struct reading {
    milliseconds at;
    int in_hand;
    drain_step step;
};

} // namespace

// Guards against a process that ends by the clock while it has whole requests in its hands.
TEST_CASE("a process ends when nothing is in hand, and not before", "[drain]") {
    using step = drain_step;
    struct row {
        const char* name;
        std::vector<reading> readings;
    };
    const auto given =
        GENERATE(row{"nothing in hand",
                     {{0ms, 0, step::serve},
                      {3499ms, 0, step::serve},
                      {3500ms, 0, step::refuse},
                      {3600ms, 0, step::end}}},
                 row{"requests until the balancer notices",
                     {{0ms, 9, step::serve},
                      {3500ms, 9, step::refuse},
                      {3520ms, 0, step::refuse},
                      {3620ms, 0, step::end}}},
                 row{"one that comes at the last moment",
                     {{3500ms, 0, step::refuse},
                      {3580ms, 1, step::refuse},
                      {3600ms, 0, step::refuse},
                      {3680ms, 0, step::refuse},
                      {3700ms, 0, step::end}}},
                 row{"one that waits for the table",
                     {{3500ms, 1, step::refuse},
                      {4999ms, 1, step::refuse},
                      {5000ms, 1, step::give_up},
                      {5020ms, 0, step::give_up},
                      {5120ms, 0, step::end}}},
                 row{"a client that doesn't read its answer",
                     {{5000ms, 1, step::give_up}, {5699ms, 1, step::give_up}, {5700ms, 1, step::end}}},
                 row{"a process that was suspended", {{0ms, 3, step::serve}, {5200ms, 3, step::give_up}}});
    INFO(given.name);
    drain plan{begun, times};
    for (const auto& each : given.readings) {
        INFO("after " << each.at.count() << " ms");
        CHECK(plan.next(begun + each.at, each.in_hand) == each.step);
    }
}

TEST_CASE("the times of a drain fit into the grace", "[drain]") {
    const auto grace = GENERATE(600ms, 2000ms, 6000ms, 30'000ms);
    const auto made = drain_times_for(grace);
    CHECK(made.refuse > 0ms);
    CHECK(made.refuse < made.give_up);
    CHECK(made.give_up < made.end);
    CHECK(made.end < grace);
}

TEST_CASE("new requests are refused before those in hand are given up", "[drain]") {
    std::vector<std::string> done;
    int in_hand = 1;
    run_drain({0ms, 40ms, 10'000ms}, {[&] { return in_hand; }, [&] { done.emplace_back("refuse"); },
                                      [&] {
                                          done.emplace_back("give up");
                                          in_hand = 0;
                                      }});
    CHECK(done == std::vector<std::string>{"refuse", "give up"});
}

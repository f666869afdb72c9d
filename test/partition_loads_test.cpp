#include "cell/partition_loads.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cmath>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

const auto start = from_ms(9'000'000);

} // namespace

TEST_CASE("a job is handed on only to where it waits far less", "[loads]") {
    struct row {
        const char* name;
        milliseconds own;
        milliseconds other;
        milliseconds age;
        std::optional<int> taker;
    };
    const auto each = GENERATE(
        row{"there is room here", 0ms, 0ms, 0ms, {}}, row{"a short wait", 200ms, 0ms, 0ms, {}},
        row{"a long wait and room there", 800ms, 0ms, 0ms, 1},
        row{"as long a wait there", 800ms, 700ms, 0ms, {}}, row{"half the wait there", 800ms, 400ms, 0ms, 1},
        row{"nothing heard of late", 800ms, 0ms, 2000ms, {}});
    INFO(each.name);
    partition_loads loads;
    loads.learn(2, {0ms, 0ms, start}); // it isn't one of those that may take it
    loads.learn(1, {each.other, 0ms, start - each.age});
    CHECK(loads.better_than(start, each.own, {1}, 10ms) == each.taker);
}

TEST_CASE("a gang goes where no gang waits, other work where there is room", "[loads]") {
    partition_loads loads;
    loads.learn(1, {0ms, 900ms, start});
    loads.learn(2, {300ms, 300ms, start});
    const bool gang = GENERATE(false, true);
    CHECK(loads.better_than(start, 1000ms, {1, 2}, 10ms, gang) == (gang ? 2 : 1));
}

TEST_CASE("what was handed on counts until a later load is heard", "[loads]") {
    partition_loads loads;
    loads.learn(1, {0ms, 0ms, start});
    int handed_on = 0;
    while (handed_on < 100 && loads.better_than(start, 1000ms, {1}, 50ms))
        ++handed_on;
    CHECK(handed_on == 11); // up to half of the wait here
    loads.learn(1, {100ms, 0ms, start - 1ms});
    CHECK_FALSE(loads.better_than(start, 1000ms, {1}, 50ms));
    loads.learn(1, {100ms, 0ms, start + 1ms});
    CHECK(loads.better_than(start, 1000ms, {1}, 50ms) == 1);
}

TEST_CASE("one team's burst is spread over partitions that have room", "[loads][load]") {
    // Work a second for each of three partitions, in seconds of the whole partition, over 10 s: the first
    // keeps the team that sends far more than usual. All three hear each other's load every 300 ms.
    constexpr std::array<double, 3> sent{1.8, 0.6, 0.5};
    constexpr milliseconds tick{10};
    constexpr milliseconds heard{300};
    const bool hands_on = GENERATE(false, true);
    std::array<double, 3> waiting{};
    std::array<partition_loads, 3> loads;
    double longest = 0;
    for (milliseconds t{0}; t < 10s; t += tick) {
        const auto at = start + t;
        if (t % heard == 0ms) {
            for (auto& each : loads) {
                for (int i = 0; i < 3; ++i)
                    each.learn(i, {std::chrono::round<milliseconds>(std::chrono::duration<double>{
                                       waiting.at(static_cast<std::size_t>(i))}),
                                   0ms, at});
            }
        }
        for (std::size_t home = 0; home < 3; ++home) {
            const std::chrono::duration<double> work{sent.at(home) * 0.01};
            const auto wait =
                std::chrono::round<milliseconds>(std::chrono::duration<double>{waiting.at(home)});
            std::vector<int> others{0, 1, 2};
            std::erase(others, static_cast<int>(home));
            const auto taker = hands_on ? loads.at(home).better_than(at, wait, others, work) : std::nullopt;
            waiting.at(taker ? static_cast<std::size_t>(*taker) : home) += work.count();
        }
        for (auto& each : waiting)
            each = std::max(each - 0.01, 0.0);
        longest = std::max(longest, *std::ranges::max_element(waiting));
    }
    // The three have room for all of it; no partition should make work wait for long.
    CHECK((longest < 1) == hands_on);
}

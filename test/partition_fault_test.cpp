#include "fault_world.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using medlarhub::testing::fault_world;

namespace {

constexpr int steps = 250;

std::string joined(const std::vector<std::string>& lines) {
    std::string text;
    for (const auto& line : lines)
        text += line + "\n";
    return text;
}

/// Runs a world through `choices` and returns the first violation with its trace; empty when there is none.
std::string run_world(fault_world::options options, std::uint64_t seed,
                      const std::vector<std::uint32_t>& choices) {
    fault_world world{options, seed};
    for (const auto choice : choices) {
        world.step(choice);
        if (!world.violation().empty())
            return world.violation() + "\n" + joined(world.trace());
    }
    world.stop_faults();
    if (!world.violation().empty())
        return world.violation() + "\n" + joined(world.trace());
    const auto left = world.unfinished();
    return left.empty() ? left : left + "\n" + joined(world.trace());
}

std::string run_seed(fault_world::options options, int seed, int count) {
    std::mt19937 random{static_cast<std::mt19937::result_type>(seed)};
    std::vector<std::uint32_t> choices(static_cast<std::size_t>(count));
    for (auto& choice : choices)
        choice = random();
    return run_world(options, static_cast<std::uint64_t>(seed), choices);
}

/// Returns how many of `worlds` seeded worlds have a violation.
int count_failures(fault_world::options options, int worlds) {
    int failures = 0;
    for (int seed = 0; seed < worlds; ++seed)
        failures += run_seed(options, seed, steps).empty() ? 0 : 1;
    return failures;
}

} // namespace

struct shape {
    std::string name;
    fault_world::options options;
    int worlds = 0;
    int first_seed = 0;
};

TEST_CASE("every order of faults keeps the promises about tasks", "[partition][fault]") {
    const auto chosen = GENERATE(values<shape>({
        {"two targets", {.targets = 2, .slots = 2}, 1500, 0},
        {"one target", {.targets = 1, .slots = 2}, 300, 10'000},
        {"three small targets", {.targets = 3, .slots = 1}, 700, 20'000},
    }));
    for (int seed = chosen.first_seed; seed < chosen.first_seed + chosen.worlds; ++seed) {
        INFO(chosen.name << ", seed " << seed);
        const auto wrong = run_seed(chosen.options, seed, steps);
        INFO(wrong);
        REQUIRE(wrong.empty());
    }
}

TEST_CASE("a long random search finds no violation", "[.long]") {
    const auto chosen = GENERATE(values<shape>({
        {"two targets", {.targets = 2, .slots = 2}, 20'000, 100'000},
        {"three small targets", {.targets = 3, .slots = 1}, 20'000, 200'000},
    }));
    for (int seed = chosen.first_seed; seed < chosen.first_seed + chosen.worlds; ++seed) {
        INFO(chosen.name << ", seed " << seed);
        const auto wrong = run_seed(chosen.options, seed, 2 * steps);
        INFO(wrong);
        REQUIRE(wrong.empty());
    }
}

TEST_CASE("a property-based search with shrinking finds no violation", "[partition][fault]") {
    const bool held = rc::check("promises hold", [](const std::vector<std::uint32_t>& choices) {
        const auto wrong = run_world({.targets = 3, .slots = 1}, 7, choices);
        RC_ASSERT(wrong == "");
    });
    REQUIRE(held);
}

TEST_CASE("the checks fail without the mechanism they are for", "[partition][fault]") {
    constexpr int worlds = 300;
    CHECK(count_failures({.fencing = false}, worlds) > 0);
    CHECK(count_failures({.incarnation_check = false}, worlds) > 0);
    CHECK(count_failures({.settle_lost_starts = false}, worlds) > 0);
}

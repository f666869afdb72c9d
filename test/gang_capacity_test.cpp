#include "jobs/gang_capacity.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

using namespace medlarhub;

namespace {

resources cores(std::int64_t count) {
    return {count * 1000, 0, 0};
}

/// A target with the given free cores and preemptible runs of the given cores.
struct given_target {
    const char* name;
    std::int64_t free;
    std::map<std::string, std::int64_t> stoppable;
};

struct row {
    const char* name;
    std::int64_t need;
    std::int64_t count;
    std::int64_t most_on_one;
    std::vector<given_target> targets;
    std::optional<std::set<std::string>> used;
    std::set<std::string> stopped;
};

} // namespace

TEST_CASE("a gang uses free capacity first and preempts as little as possible, or nothing at all",
          "[gang][load]") {
    const auto given = GENERATE(
        row{"all is free", 4, 3, 9, {{"a", 8, {}}, {"b", 16, {}}, {"c", 4, {}}}, {{"b"}}, {}},
        row{"too little in all", 4, 5, 9, {{"a", 8, {{"x", 3}}}, {"b", 8, {}}}, {}, {}},
        row{"stops one", 4, 3, 9, {{"a", 8, {}}, {"b", 2, {{"x", 2}, {"y", 6}}}}, {{"a", "b"}}, {"x"}},
        row{"stops the least",
            4,
            2,
            9,
            {{"a", 0, {{"x", 8}}}, {"b", 3, {{"y", 1}}}, {"c", 3, {{"z", 2}}}},
            {{"b", "c"}},
            {"y", "z"}},
        row{"stops several for one member", 8, 1, 9, {{"a", 2, {{"x", 3}, {"y", 3}}}}, {{"a"}}, {"x", "y"}},
        row{"no more than allowed on one", 4, 2, 1, {{"a", 16, {}}, {"b", 16, {}}}, {{"a", "b"}}, {}},
        row{"not even by stopping, with so few on one",
            4,
            3,
            1,
            {{"a", 16, {}}, {"b", 0, {{"x", 16}}}},
            {},
            {}},
        row{"over its capacity after a resize", 4, 1, 9, {{"a", -4, {{"x", 4}}}, {"b", 4, {}}}, {{"b"}}, {}});
    INFO(given.name);
    std::vector<gang_offer> offers;
    for (const auto& target : given.targets) {
        gang_offer offer{target.name, cores(target.free), {}};
        for (const auto& [task, held] : target.stoppable)
            offer.stoppable.push_back({task, cores(held)});
        offers.push_back(std::move(offer));
    }
    const auto places = find_gang_capacity(cores(given.need), given.count, given.most_on_one, offers);
    REQUIRE(places.has_value() == given.used.has_value());
    if (!places)
        return;
    std::set<std::string> used;
    std::set<std::string> stopped;
    for (const auto& place : *places) {
        used.emplace(place.target);
        for (const auto task : place.stops)
            stopped.emplace(task);
    }
    CHECK(used == *given.used);
    CHECK(stopped == given.stopped);
}

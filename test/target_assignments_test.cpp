#include "cell/target_assignments.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace medlarhub;

namespace {

target_entry target_of(const std::string& id, const std::string& rack) {
    target_entry entry;
    entry.id = id;
    entry.data_centre = "kelowna";
    entry.rack = rack;
    return entry;
}

} // namespace

TEST_CASE("assignments don't depend on the order in which they were read", "[assignments]") {
    std::vector<target_assignment> all{{1, 1}, {0, 2}, {2, 3}, {1, 4}};
    std::ranges::sort(all, {}, &target_assignment::partition);
    do {
        target_assignments known;
        for (const auto& assignment : all)
            (void)known.learn({{"t1", assignment}});
        CHECK(known.of("t1", 0) == target_assignment{1, 4});
    } while (std::ranges::next_permutation(all, {}, &target_assignment::transfers).found);
}

TEST_CASE("a transferred target is assigned to exactly one partition", "[assignments]") {
    cell_layout layout;
    layout.partitions = 3;
    const std::vector<target_entry> targets{target_of("t0", "a"), target_of("t1", "a"), target_of("t2", "b")};
    layout.racks = {{"kelowna/a", 0}, {"kelowna/b", 1}};
    target_assignments known;
    CHECK(known.learn({{"t1", {2, 1}}}));
    CHECK_FALSE(known.learn({{"t1", {2, 1}}}));
    CHECK(assigned_targets(layout, known, targets, 0).size() == 1);
    CHECK(assigned_targets(layout, known, targets, 1).size() == 1);
    const auto transferred = assigned_targets(layout, known, targets, 2);
    REQUIRE(transferred.size() == 1);
    CHECK(transferred.front().home == 0);
    CHECK(transferred.front().transfers == 1);

    (void)known.learn({{"t1", {0, 2}}}); // it comes back
    const auto returned = assigned_targets(layout, known, targets, 0);
    REQUIRE(returned.size() == 2);
    CHECK(returned.back().transfers == 2);
    CHECK(assigned_targets(layout, known, targets, 2).empty());
}

TEST_CASE("a malformed assignment is rejected", "[assignments]") {
    CHECK(parse_assignment(to_text({2, 7})) == target_assignment{2, 7});
    CHECK_FALSE(parse_assignment("\xff\xff"));
    CHECK_FALSE(parse_assignment(to_text({-1, 7})));
    CHECK_FALSE(parse_assignment(to_text({1, 0})));
}

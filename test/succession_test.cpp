#include "cell/succession.h"

#include <catch2/catch.hpp>

using namespace medlarhub;

namespace {

std::vector<candidate_owner> nodes(const std::string& deaf) {
    std::vector<candidate_owner> made;
    for (const auto* name : {"n1", "n2", "n3", "n4"})
        made.push_back({name, deaf.find(name) == std::string::npos});
    return made;
}

} // namespace

TEST_CASE("a partition falls to a node that hears from the table, and never to the one that lost it",
          "[ownership]") {
    for (int partition = 0; partition < 50; ++partition) {
        const auto usual = successor_of(partition, nodes(""), "n1");
        CHECK(usual != "n1");
        // Cutting the usual one off hands the partition on; cutting another off changes nothing.
        const auto next = successor_of(partition, nodes(usual), "n1");
        CHECK(next != usual);
        CHECK(next != "n1");
        CHECK(successor_of(partition, nodes(next), "n1") == usual);
    }
}

TEST_CASE("when no node hears from the table all are asked, and the last one left stays", "[ownership]") {
    CHECK(successor_of(3, nodes("n1n2n3n4"), "n2") == successor_of(3, nodes(""), "n2"));
    CHECK(successor_of(3, {{"n2", true}}, "n2") == "n2");
    CHECK(successor_of(3, {}, "n2").empty());
}

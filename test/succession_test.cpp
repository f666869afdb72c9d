#include "cell/succession.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace medlarhub;

namespace {

std::vector<candidate_owner> nodes(const std::string& without_table) {
    std::vector<candidate_owner> made;
    for (const auto* name : {"n1", "n2", "n3", "n4"})
        made.push_back({name, without_table.find(name) == std::string::npos});
    return made;
}

} // namespace

TEST_CASE("the successor is a node that can reach the table, and never the former owner", "[ownership]") {
    for (int partition = 0; partition < 50; ++partition) {
        const auto usual = successor_of(partition, nodes(""), "n1");
        CHECK(usual != "n1");
        // If the usual successor can't reach the table, another one is chosen; other nodes don't matter.
        const auto next = successor_of(partition, nodes(usual), "n1");
        CHECK(next != usual);
        CHECK(next != "n1");
        CHECK(successor_of(partition, nodes(next), "n1") == usual);
    }
}

TEST_CASE("if no node can reach the table all are candidates, and a single node succeeds itself",
          "[ownership]") {
    CHECK(successor_of(3, nodes("n1n2n3n4"), "n2") == successor_of(3, nodes(""), "n2"));
    CHECK(successor_of(3, {{"n2", true}}, "n2") == "n2");
    CHECK(successor_of(3, {}, "n2").empty());
}

TEST_CASE("partitions go to nodes with the most CPU, and one to each while there are enough", "[ownership]") {
    std::vector<candidate_owner> live(16);
    for (std::size_t i = 0; i < live.size(); ++i) {
        const bool large = i < 4;
        live[i] = {(large ? "large" : "small") + std::to_string(i), true, large ? 500 : 120, 0};
    }
    std::set<std::string> owners;
    for (int partition = 0; partition < 4; ++partition) {
        const auto owner = successor_of(partition, live, {});
        CHECK(owner.starts_with("large"));
        owners.insert(owner);
        std::ranges::find(live, owner, &candidate_owner::node)->owned += 1;
    }
    CHECK(owners.size() == 4);
    // If none of the large nodes can reach the table, a small one takes over.
    for (auto& each : live)
        each.can_reach_table = each.cpu_milli < 500;
    CHECK(successor_of(0, live, {}).starts_with("small"));
}

TEST_CASE("a partition moves only to a clearly better node", "[ownership]") {
    struct row {
        const char* name;
        candidate_owner owner;
        candidate_owner successor;
        bool moves;
    };
    const auto given =
        GENERATE(row{"a far larger node", {"a", true, 120, 1}, {"b", true, 500, 3}, true},
                 row{"alike", {"a", true, 500, 1}, {"b", true, 500, 0}, false},
                 row{"two on one node", {"a", true, 500, 2}, {"b", true, 500, 0}, true},
                 row{"two, and a small idle node", {"a", true, 500, 2}, {"b", true, 120, 0}, false},
                 row{"without the table", {"a", true, 120, 1}, {"b", false, 500, 0}, false},
                 row{"itself", {"a", true, 120, 5}, {"a", true, 500, 0}, false});
    INFO(given.name);
    CHECK(is_better_owner(given.owner, given.successor) == given.moves);
}

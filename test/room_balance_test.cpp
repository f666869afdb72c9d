#include "jobs/room_balance.h"

#include <catch2/catch.hpp>

using namespace medlarhub;

namespace {

struct balance_case {
    const char* name = "";
    cpu_load giver;
    cpu_load taker;
    std::int64_t wanted = 0;
    std::int64_t passed = 0;
};

struct gang_case {
    const char* name = "";
    std::optional<waiting_gang> giver;
    std::optional<waiting_gang> taker;
    bool first = false;
};

} // namespace

TEST_CASE("a partition passes on what makes both equally loaded", "[room]") {
    const auto each =
        GENERATE(balance_case{"nothing is wanted", {0, 1000}, {2000, 1000}, 0, 0},
                 balance_case{"both are alike", {900, 1000}, {900, 1000}, 500, 0},
                 balance_case{"the giver has more to do", {1500, 1000}, {1100, 1000}, 500, 0},
                 balance_case{"a quarter against one", {250, 1000}, {1000, 1000}, 1000, 583},
                 balance_case{"an eighth against one", {125, 1000}, {1000, 1000}, 1000, 777},
                 balance_case{"the giver would be too busy", {500, 1000}, {2000, 1000}, 1000, 166},
                 balance_case{"the giver is busy", {600, 1000}, {2000, 1000}, 1000, 0},
                 balance_case{"less is wanted than that", {250, 1000}, {1000, 1000}, 100, 100},
                 balance_case{"an idle one keeps some", {0, 1000}, {1000, 1000}, 9000, 777},
                 balance_case{"nothing to do for both", {0, 0}, {0, 0}, 100, 0});
    INFO(each.name);
    CHECK(cpu_to_transfer(each.giver, {each.taker, each.wanted, {}}, false) == each.passed);
}

TEST_CASE("of two equal partitions none passes anything back", "[room]") {
    const cpu_load giver{250, 1000};
    const cpu_load taker{1000, 1000};
    const auto passed = cpu_to_transfer(giver, {taker, 1000, {}}, false);
    const cpu_load giver_after{250, 1000 - passed};
    const cpu_load taker_after{1000, 1000 + passed};
    CHECK(cpu_to_transfer(taker_after, {giver_after, 1000, {}}, false) == 0);
}

TEST_CASE("an older gang gets what it wants from a partition that is as loaded as its own", "[room]") {
    const capacity_shortage taker{{300, 1000}, 700, waiting_gang{10, 600}};
    CHECK(cpu_to_transfer({300, 1000}, taker, true) == 600);
    CHECK(cpu_to_transfer({300, 1000}, taker, false) == 0);
    CHECK(cpu_to_transfer({800, 1000}, taker, true) == 200); // the giver keeps what it needs
    CHECK(cpu_to_transfer({0, 1000}, {{300, 1000}, 9000, waiting_gang{10, 9000}}, true) == 875);
}

TEST_CASE("of two gangs that wait in two partitions the older goes first", "[room]") {
    const auto each = GENERATE(
        gang_case{"none waits", {}, {}, false}, gang_case{"only here", waiting_gang{10, 1}, {}, false},
        gang_case{"only there", {}, waiting_gang{10, 1}, true},
        gang_case{"the one here is older", waiting_gang{9, 1}, waiting_gang{10, 1}, false},
        gang_case{"the one there is older", waiting_gang{11, 1}, waiting_gang{10, 1}, true},
        gang_case{"as old", waiting_gang{10, 1}, waiting_gang{10, 1}, false});
    INFO(each.name);
    CHECK(is_destination_gang_first(each.giver, each.taker) == each.first);
}

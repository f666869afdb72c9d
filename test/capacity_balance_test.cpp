#include "jobs/capacity_balance.h"

#include <catch2/catch.hpp>

using namespace medlarhub;

namespace {

struct balance_case {
    const char* name = "";
    cpu_load source;
    cpu_load destination;
    std::int64_t wanted = 0;
    std::int64_t transferred = 0;
};

struct gang_case {
    const char* name = "";
    std::optional<waiting_gang> source;
    std::optional<waiting_gang> destination;
    bool first = false;
};

} // namespace

TEST_CASE("a transfer makes both partitions equally loaded", "[room]") {
    const auto each =
        GENERATE(balance_case{"nothing is requested", {0, 1000}, {2000, 1000}, 0, 0},
                 balance_case{"both are equally loaded", {900, 1000}, {900, 1000}, 500, 0},
                 balance_case{"the source has more work", {1500, 1000}, {1100, 1000}, 500, 0},
                 balance_case{"a quarter against one", {250, 1000}, {1000, 1000}, 1000, 583},
                 balance_case{"an eighth against one", {125, 1000}, {1000, 1000}, 1000, 777},
                 balance_case{"the source would become too busy", {500, 1000}, {2000, 1000}, 1000, 166},
                 balance_case{"the source is busy", {600, 1000}, {2000, 1000}, 1000, 0},
                 balance_case{"less is requested than that", {250, 1000}, {1000, 1000}, 100, 100},
                 balance_case{"an idle source keeps some", {0, 1000}, {1000, 1000}, 9000, 777},
                 balance_case{"both are idle", {0, 0}, {0, 0}, 100, 0});
    INFO(each.name);
    CHECK(cpu_to_transfer(each.source, {each.destination, each.wanted, {}}, false) == each.transferred);
}

TEST_CASE("equally loaded partitions transfer nothing back", "[room]") {
    const cpu_load source{250, 1000};
    const cpu_load destination{1000, 1000};
    const auto transferred = cpu_to_transfer(source, {destination, 1000, {}}, false);
    const cpu_load source_after{250, 1000 - transferred};
    const cpu_load destination_after{1000, 1000 + transferred};
    CHECK(cpu_to_transfer(destination_after, {source_after, 1000, {}}, false) == 0);
}

TEST_CASE("an older gang gets capacity from a partition that is as loaded as its own", "[room]") {
    const capacity_shortage destination{{300, 1000}, 700, waiting_gang{10, 600}};
    CHECK(cpu_to_transfer({300, 1000}, destination, true) == 600);
    CHECK(cpu_to_transfer({300, 1000}, destination, false) == 0);
    CHECK(cpu_to_transfer({800, 1000}, destination, true) == 200); // the source keeps what it needs
    CHECK(cpu_to_transfer({0, 1000}, {{300, 1000}, 9000, waiting_gang{10, 9000}}, true) == 875);
}

TEST_CASE("the older of two waiting gangs in different partitions goes first", "[room]") {
    const auto each = GENERATE(
        gang_case{"none waits", {}, {}, false},
        gang_case{"only in the source", waiting_gang{10, 1}, {}, false},
        gang_case{"only in the destination", {}, waiting_gang{10, 1}, true},
        gang_case{"the one in the source is older", waiting_gang{9, 1}, waiting_gang{10, 1}, false},
        gang_case{"the one in the destination is older", waiting_gang{11, 1}, waiting_gang{10, 1}, true},
        gang_case{"both are equally old", waiting_gang{10, 1}, waiting_gang{10, 1}, false});
    INFO(each.name);
    CHECK(is_destination_gang_first(each.source, each.destination) == each.first);
}

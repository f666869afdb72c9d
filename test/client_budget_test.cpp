#include "http/client_budget.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

const instant start{milliseconds{1'000'000}};
constexpr std::int64_t large = 100'000 + small_request_bytes;

http_limits small_limits() {
    http_limits limits;
    limits.connections = 4;
    limits.buffered_bytes = 250'000;
    return limits;
}

} // namespace

// Guards against clients that hold all connections of a process with idle or unfinished requests.
TEST_CASE("at the limit the connection of least use is closed", "[clients]") {
    struct row {
        const char* name;
        int handling; ///< connections whose requests are being handled
        int reading;  ///< connections with unfinished requests, the first ones stalled for longest
        std::optional<connection_id> closed;
        milliseconds later = 1s; ///< until the next connection
    };
    const auto given =
        GENERATE(row{"the longest idle", 0, 0, 1}, row{"a stalled request before idle ones", 0, 2, 1},
                 row{"none that is being handled", 2, 1, 3},
                 row{"an idle one before a request that makes progress", 0, 2, 3, 100ms},
                 row{"a request that makes progress, if there is nothing else", 0, 4, 1, 100ms},
                 row{"the new one, if all are being handled", 4, 0, 5});
    INFO(given.name);
    client_budget budget{small_limits()};
    for (connection_id id = 1; id <= 4; ++id) {
        const auto at = start + 10ms * static_cast<int>(id);
        REQUIRE_FALSE(budget.open(at, id));
        const auto number = static_cast<int>(id);
        if (number > given.handling && number <= given.handling + given.reading)
            REQUIRE(budget.grow(at, id, 100));
        if (number <= given.handling)
            budget.start_handling(id);
    }
    CHECK(budget.open(start + given.later, 5) == given.closed);
    CHECK(budget.connections() == 4);
}

// Guards against bodies that stop just short of their end and keep their memory until the process has none.
TEST_CASE("a large request gets the room of stalled ones, or is refused", "[clients]") {
    struct row {
        const char* name;
        milliseconds stalled;
        bool handled; ///< the earlier requests are whole and being handled
        std::int64_t bytes;
        std::optional<std::vector<connection_id>> closed;
    };
    using ids = std::vector<connection_id>;
    const auto given =
        GENERATE(row{"the longest stalled one is closed", 1s, false, large, ids{1}},
                 row{"as many as it needs", 1s, false, 2 * large, ids{1, 2}},
                 row{"requests that go on keep their room", 100ms, false, large, std::nullopt},
                 row{"requests that are handled keep their room", 1s, true, large, std::nullopt},
                 row{"a small request needs none", 100ms, false, small_request_bytes, ids{}});
    INFO(given.name);
    client_budget budget{small_limits()};
    for (connection_id id = 1; id <= 2; ++id) {
        REQUIRE_FALSE(budget.open(start, id));
        REQUIRE(budget.grow(start + 1ms * static_cast<int>(id), id, large));
        if (given.handled)
            budget.start_handling(id);
    }
    REQUIRE_FALSE(budget.open(start, 3));
    CHECK(budget.grow(start + given.stalled, 3, given.bytes) == given.closed);
    CHECK(budget.buffered_bytes() <= small_limits().buffered_bytes);
}

// Guards against a budget that shrinks with each request because bytes aren't given back.
TEST_CASE("the bytes of a request are given back with its response or its connection", "[clients]") {
    client_budget budget{small_limits()};
    const bool answered = GENERATE(true, false);
    REQUIRE_FALSE(budget.open(start, 1));
    REQUIRE(budget.grow(start, 1, large));
    budget.start_handling(1);
    CHECK(budget.buffered_bytes() == large - small_request_bytes);
    if (answered)
        budget.finish(start, 1);
    else
        budget.close(1);
    CHECK(budget.buffered_bytes() == 0);
    CHECK(budget.connections() == (answered ? 1 : 0));
}

TEST_CASE("limits follow the machine", "[clients]") {
    const auto limits = http_limits_for(160 << 20, 4100);
    CHECK(limits.buffered_bytes == 20 << 20);
    CHECK(limits.connections == 1950);
    CHECK(http_limits_for(0, 0).connections == http_limits{}.connections);
}

#include "jobs/overload_gate.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace std::chrono_literals;

// Guards against an idle owner that refuses wide jobs without end: it sends no start whose answer could show
// that it isn't overloaded any more.
TEST_CASE("a gate without answers opens, and one with slow answers stays", "[gate][load]") {
    overload_gate gate;
    instant at{100h};
    constexpr int wide = 64;
    const auto observe_for = [&](milliseconds time, milliseconds took) {
        for (const auto end = at + time; at < end; at += 20ms) {
            gate.observe(at, took);
            gate.tick(at);
        }
    };
    observe_for(2s, 300ms);
    REQUIRE(gate.limiting());
    CHECK_FALSE(gate.admit(at, "orchard", wide));
    observe_for(5s, 300ms);
    CHECK(gate.limiting());
    at += 4s;
    gate.tick(at);
    CHECK_FALSE(gate.limiting());
    CHECK(gate.late() == 0ms);
    CHECK(gate.admit(at, "orchard", wide));
}

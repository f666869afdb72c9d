#include "cell/call_patience.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace std::chrono_literals;

TEST_CASE("a lost call now and then is noticed soon, and a slow node isn't asked ever more often",
          "[patience][load]") {
    adaptive_timeout patience;
    for (int i = 0; i < 400; ++i) {
        const bool lost = i % 20 == 0;
        patience.observe(lost ? patience.timeout() : 20ms);
    }
    CHECK(patience.timeout() == adaptive_timeout::shortest);

    // All take 800 ms, so that at first none is answered in time.
    int repeated = 0;
    for (int i = 0; i < 100; ++i) {
        const auto timeout = patience.timeout();
        repeated += timeout < 800ms ? 1 : 0;
        patience.observe(std::min<milliseconds>(timeout, 800ms));
    }
    CHECK(repeated < 20);

    for (int i = 0; i < 40; ++i)
        patience.observe(20ms);
    CHECK(patience.timeout() == adaptive_timeout::shortest);
}

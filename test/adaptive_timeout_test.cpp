#include "cell/adaptive_timeout.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace std::chrono_literals;

TEST_CASE("occasional calls without a response time out early, and a slow node gets few repeated calls",
          "[patience][load]") {
    adaptive_timeout retry;
    for (int i = 0; i < 400; ++i) {
        const bool lost = i % 20 == 0;
        retry.observe(lost ? retry.timeout() : 20ms);
    }
    CHECK(retry.timeout() == adaptive_timeout::shortest);

    // Every call takes 800 ms, so at first none is answered before the timeout.
    int repeated = 0;
    for (int i = 0; i < 100; ++i) {
        const auto timeout = retry.timeout();
        repeated += timeout < 800ms ? 1 : 0;
        retry.observe(std::min<milliseconds>(timeout, 800ms));
    }
    CHECK(repeated < 20);

    for (int i = 0; i < 40; ++i)
        retry.observe(20ms);
    CHECK(retry.timeout() == adaptive_timeout::shortest);
}

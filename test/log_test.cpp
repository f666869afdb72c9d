#include "log_queue.h"

#include <catch2/catch.hpp>

using namespace medlarhub;

TEST_CASE("adding lines never waits for the output, and what was dropped is told", "[log]") {
    std::mutex output; // held: the output takes nothing
    std::string text;
    constexpr int lines = 60'000;
    {
        line_queue queue{[&](const std::string& more) {
            const std::lock_guard lock{output};
            text += more + "\n";
        }};
        output.lock();
        queue.start();
        for (int i = 0; i < lines; ++i)
            queue.add("line " + std::to_string(i));
        output.unlock();
    }
    CHECK(text.starts_with("line 0\n"));
    CHECK(text.find("\"event\":\"log_dropped\"") != std::string::npos);
    CHECK(std::ranges::count(text, '\n') < lines);
}

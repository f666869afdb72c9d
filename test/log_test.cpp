#include "log_queue.h"

#include <catch2/catch.hpp>

using namespace medlarhub;

TEST_CASE("adding lines never blocks on the output, and dropped lines are reported", "[log]") {
    std::mutex output; // while locked, the output blocks
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

TEST_CASE("a line added to an idle queue is written without a flush", "[log]") {
    std::mutex output;
    std::condition_variable written;
    std::string text;
    line_queue queue{[&](const std::string& more) {
        const std::lock_guard lock{output};
        text += more + "\n";
        written.notify_all();
    }};
    queue.start();
    for (const std::string expected : {"one\n", "one\ntwo\n"}) {
        std::this_thread::sleep_for(std::chrono::milliseconds{120}); // longer than the write period
        queue.add(expected == "one\n" ? "one" : "two");
        std::unique_lock lock{output};
        CHECK(written.wait_for(lock, std::chrono::seconds{2}, [&] { return text == expected; }));
    }
}

#include "log.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <thread>
#include <unistd.h>

using namespace medlarhub;

TEST_CASE("logging never waits for its output, and says how much it dropped", "[log]") {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    std::fflush(stdout);
    const int real_output = dup(STDOUT_FILENO);
    REQUIRE(dup2(ends[1], STDOUT_FILENO) >= 0);
    start_log("n", "vernon", "info");
    // Far more than the pipe and the queue hold, while nobody reads.
    constexpr int lines = 60'000;
    for (int i = 0; i < lines; ++i)
        log_event(log_level::info, "line", {{"number", std::to_string(i)}});
    std::string text;
    std::thread reader{[&] {
        std::string buffer(65'536, '\0');
        while (text.find("log_dropped") == std::string::npos) {
            const auto size = read(ends[0], buffer.data(), buffer.size());
            if (size <= 0)
                return;
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }};
    flush_log();
    flush_log();
    reader.join();
    std::fflush(stdout);
    REQUIRE(dup2(real_output, STDOUT_FILENO) >= 0);
    close(real_output);
    close(ends[0]);
    close(ends[1]);
    CHECK(text.find("\"number\":\"0\"") != std::string::npos);
    CHECK(text.find("\"event\":\"log_dropped\"") != std::string::npos);
}

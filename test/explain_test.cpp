#include "explain/explain.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

std::vector<log_line> lines_of(const std::vector<std::string>& texts) {
    std::vector<log_line> lines;
    for (const auto& text : texts) {
        const auto line = parse_log_line(text);
        REQUIRE(line);
        lines.push_back(*line);
    }
    return lines;
}

std::string text_of(const explanation& explained) {
    std::string all;
    for (const auto& line : explained.lines)
        all += line.node + " " + line.text + "\n";
    return all;
}

const std::string accepted =
    R"({"time":"2026-04-05T11:24:33.254Z","node":"n2","event":"answered","request":"j1","call":"submit","status":"200","reason":"","ms":"42"})";
const std::string placed =
    R"(  47.26 n1 {"time":"2026-04-05T11:24:34.300Z","node":"n1","event":"task_placed","request":"j1","detail":"t9 j1.0.0.0 run 3001, free cpu_milli 100"})";
const std::string late_step =
    R"({"time":"2026-04-05T11:24:34.200Z","node":"n1","event":"step_waits","request":"j1","detail":"0.0: its team's limit is used"})";
const std::string lost_start =
    R"({"time":"2026-04-05T11:24:34.800Z","node":"n1","event":"start_refused","request":"j1","detail":"t9 j1.0.0.0 run 3001: answer lost"})";
const std::string ended =
    R"({"time":"2026-04-05T11:24:36.000Z","node":"n1","event":"job_ended","request":"j1","detail":"completed"})";
const std::string load =
    R"({"time":"2026-04-05T11:24:33.800Z","node":"n1","event":"partition_load","waiting_tasks":"20","held_cpu_milli":"5","capacity_cpu_milli":"9","round_trip_ms":"3"})";
const std::string taken =
    R"({"time":"2026-04-05T11:24:34.000Z","node":"n1","event":"partition_taken","epoch":"4","open":"7"})";
const std::string silent =
    R"({"time":"2026-04-05T11:24:34.500Z","node":"n1","event":"target_suspect","detail":"t9"})";
const std::string other_silent =
    R"({"time":"2026-04-05T11:24:34.500Z","node":"n1","event":"target_suspect","detail":"t8"})";
const std::string other_job =
    R"({"time":"2026-04-05T11:24:34.400Z","node":"n1","event":"task_placed","request":"j11","detail":"t9 j11.0.0.0 run 1"})";

} // namespace

TEST_CASE("explain lists a request's events and related causes in time order, and nothing else",
          "[explain]") {
    const auto explained = explain_request(lines_of({ended, lost_start, other_job, other_silent, late_step,
                                                     silent, taken, load, placed, accepted}),
                                           "j1");
    REQUIRE(explained);
    CHECK(text_of(*explained) == "n2 responds 200 to submit after 42 ms\n"
                                 "n1 becomes the owner, epoch 4, with 7 unfinished jobs\n"
                                 "n1 a step waits longer than expected: 0.0: its team's limit is used\n"
                                 "n1 places a task: t9 j1.0.0.0 run 3001, free cpu_milli 100 (0.500 s "
                                 "before: 20 tasks waiting, 5 of 9 "
                                 "thousandths of a core in use, start round trip 3 ms)\n"
                                 "n1 a target doesn't respond: t9\n"
                                 "n1 a start failed: t9 j1.0.0.0 run 3001: answer lost\n"
                                 "n1 the job ended: completed\n");
    CHECK(explained->lines.back().since_first == 2746ms);
    CHECK(explained->summary ==
          "Accepted. Its first task was placed 1.046 s later. 1 tasks were placed, 1 starts or "
          "runs failed. It ended as completed, 2.746 s after its first log line.");
}

TEST_CASE("explain distinguishes refused from unknown requests", "[explain]") {
    const auto explained = explain_request(
        lines_of(
            {R"({"time":"2026-04-05T11:24:33.200Z","node":"n1","event":"table_lost","reason":"503"})",
             R"({"time":"2026-04-05T11:24:33.250Z","node":"n1","event":"job_refused","request":"j1","reason":"the table is out"})"}),
        "j1");
    REQUIRE(explained);
    CHECK(text_of(*explained) ==
          "n1 can't reach the table: 503\nn1 refuses the job; it never runs: the table is out\n");
    CHECK(explained->summary == "Refused; it never ran.");
    CHECK_FALSE(explain_request(lines_of({accepted}), "j2"));
}

TEST_CASE("a job that ran without a response to its caller is not reported as refused", "[explain]") {
    const auto refused = std::string{
        R"({"time":"2026-04-05T11:24:33.000Z","node":"n1","event":"job_refused","request":"j1","reason":"x"})"};
    const auto lost = std::string{
        R"({"time":"2026-04-05T11:24:33.900Z","node":"n2","event":"answered","request":"j1","call":"submit","status":"504","ms":"9"})"};
    const auto ran = explain_request(lines_of({refused, lost, placed}), "j1");
    REQUIRE(ran);
    CHECK(ran->summary.starts_with("It was recorded, though no caller received a confirmation. 1 tasks"));
    const auto open = explain_request(lines_of({refused, lost}), "j1");
    REQUIRE(open);
    CHECK(open->summary == "It may have been recorded, but no task was placed.");
}

TEST_CASE("lines that are not log lines are rejected", "[explain]") {
    const auto* text = GENERATE("", "no json", "{", "[]", R"({"event":"x"})", R"({"time":"yesterday"})");
    CHECK_FALSE(parse_log_line(text));
}

TEST_CASE("waits and preemptions are described in words", "[explain]") {
    struct row {
        const char* event;
        const char* detail;
        const char* words;
    };
    const auto each =
        GENERATE(row{"step_waited", "0.0: 900 ms: room 900", "a step no longer waits: 0.0: 900 ms: room 900"},
                 row{"run_yields", "t9 j1.0.0.0 run 1, to j2",
                     "preempts a run for more urgent work; it resumes later: t9 j1.0.0.0 run 1, to j2"});
    const auto line = R"({"time":"2026-04-05T11:24:35.000Z","node":"n1","event":")" +
                      std::string{each.event} + R"(","request":"j1","detail":")" + each.detail + R"("})";
    const auto explained = explain_request(lines_of({line}), "j1");
    REQUIRE(explained);
    CHECK(text_of(*explained) == "n1 " + std::string{each.words} + "\n");
}

#include "cell/admission.h"
#include "cell/partition_rows.h"
#include "platform/boot_settings.h"
#include "platform/codec.h"
#include "standin/memory_platform.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <catch2/catch.hpp>

using namespace medlarhub;

namespace {

constexpr milliseconds longest_lease{6000};

constexpr auto entry_text = R"({"service":"s","addr":"10.0.0.9:80","zone":"vernon","state":"ready",
    "capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a","r1-3"],"born":7,"seq":4})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("a valid worker entry is decoded, an invalid one is rejected with a reason", "[platform]") {
    const auto entry = platform::decode_worker("w1", entry_text);
    REQUIRE(entry);
    CHECK(entry->capacity == resources{16000, 32768, 1});
    CHECK(entry->rack == "r1-3");
    CHECK(entry->born_ms == 7);
    struct row {
        const char* name;
        std::string text;
    };
    const std::string good = entry_text;
    const auto bad = GENERATE_COPY(row{"bytes", "\xff\xfe{"}, row{"another type", "[1,2]"},
                                   row{"no service", replaced(good, "\"service\":\"s\",", "")},
                                   row{"service of another type", replaced(good, "\"s\"", "5")},
                                   row{"no capacity", replaced(good, "\"capacity\"", "\"other\"")},
                                   row{"unknown state", replaced(good, "ready", "asleep")},
                                   row{"nested deep", std::string(100'000, '[')});
    INFO(bad.name);
    CHECK_FALSE(platform::decode_worker("w1", bad.text));
    CHECK_FALSE(last_reason().empty());
}

TEST_CASE("a worker's response to a command tells its clock and why it refused, or neither", "[platform]") {
    struct row {
        const char* text;
        std::string reason;
        std::optional<std::int64_t> clock_ms;
    };
    const auto given = GENERATE(row{R"({"clock_ms":482113})", "", 482113},
                                row{R"({"clock_ms":482113,"reason":"old"})", "old", 482113},
                                row{R"({"clock_ms":"soon","reason":"old"})", "old", {}},
                                row{R"({"clock_ms":0})", "", {}}, row{"", "", {}}, row{"[4]", "", {}});
    INFO(given.text);
    const auto decoded = platform::decode_command_response(given.text);
    CHECK(decoded.reason == given.reason);
    CHECK(decoded.clock_ms == given.clock_ms);
}

TEST_CASE("a job's body is decoded completely or rejected", "[platform]") {
    const auto spec = platform::decode_job(
        "5c0e7a21d94b36f8", R"({"spec":"x","steps":[{"count":2,"cpu":500,"gang":true,"same_rack":true},
        {"count":1,"after":[0],"anti_affinity":1,"requires":"a","affinity":"r1-1","checkpoint":true}]})");
    REQUIRE(spec);
    CHECK(spec->steps(0).gang());
    CHECK(spec->steps(1).max_per_target() == 1);
    CHECK_FALSE(validation_error(*spec));
    struct row {
        const char* text;
        bool decodes;
    };
    const auto given =
        GENERATE(row{"", false}, row{"{", false}, row{"{}", false}, row{R"({"steps":5})", false},
                 row{R"({"steps":[5]})", false}, row{R"({"steps":[{"after":["x"]}]})", false},
                 row{R"({"steps":[]})", true}, row{R"({"steps":[{"count":0}]})", true},
                 row{R"({"steps":[{"count":1,"after":[0]}]})", true},
                 row{R"({"steps":[{"count":1,"cpu":-1}]})", true});
    INFO(given.text);
    const auto bad = platform::decode_job("5c0e7a21d94b36f8", given.text);
    CHECK(bad.has_value() == given.decodes);
    if (bad)
        CHECK(validation_error(*bad));
}

TEST_CASE("unreadable rows in a worker's run lists are skipped and counted", "[platform]") {
    const auto lists = platform::decode_run_lists(
        R"({"clock_ms":9,"born":3,"running":[["j.0.0.1",2,"s",41,7],["short"],5],
            "ended":[[58,"j.0.0.9",1,"done",""],[59,"j.0.0.8",1,"melted",""]]})");
    REQUIRE(lists);
    CHECK(lists->unreadable == 3);
    REQUIRE(lists->result.running.size() == 1);
    CHECK(lists->result.running[0].usage == 7);
    REQUIRE(lists->result.ended.size() == 1);
    CHECK(lists->result.ended[0].how == end_kind::done);
    CHECK_FALSE(platform::decode_run_lists("{}"));
}

// Guards against runs that are taken for gone because their ends didn't fit in the worker's answer.
TEST_CASE("a worker's run lists are complete unless they are full or partly unreadable", "[platform]") {
    struct row {
        const char* name;
        int ends;
        const char* running;
        bool complete;
    };
    const auto given =
        GENERATE(row{"no ends", 0, "", true}, row{"fewer than it lists at most", 499, "", true},
                 row{"as many as it lists at most", 500, "", false},
                 row{"an unreadable row", 1, R"(["j.0.0.1"])", false});
    INFO(given.name);
    std::string ended;
    for (int i = 1; i <= given.ends; ++i)
        ended += (i > 1 ? ",[" : "[") + std::to_string(i) + R"(,"j.0.0.)" + std::to_string(i) +
                 R"(",1,"done",""])";
    const auto lists =
        platform::decode_run_lists(R"({"clock_ms":9,"born":3,"running":[)" + std::string{given.running} +
                                   R"(],"ended":[)" + ended + "]}");
    REQUIRE(lists);
    CHECK(lists->result.complete == given.complete);
}

TEST_CASE("boot settings without a required field are rejected", "[platform]") {
    const std::string good = R"({"node":"n","zone":"z","ip":"10.1.0.17","listen":{"front":"10.1.0.17:1",
        "ready":"10.1.0.17:2"},"port_range":[7420,7435],"seeds":["10.2.0.15:8180"],"advice":"10.9.9.9:1",
        "platform":{"addr":"10.200.1.7:8182"},"bounds":{"hold_max_ms":6000,"grace_s":6},"new":{"field":1}})";
    const auto boot = platform::parse_boot_settings(good);
    REQUIRE(boot);
    CHECK(boot->peer_address == "10.1.0.17:7420");
    CHECK(boot->peer_seeds == std::vector<std::string>{"10.2.0.15:7420"});
    CHECK(boot->memory_mb == 0);
    CHECK(boot->learned_run_times);
    CHECK_FALSE(boot->fair_shares);
    const auto limited = platform::parse_boot_settings(replaced(
        good, R"("new")",
        R"("limits":{"memory_mb":160,"max_fds":4100},"scheduling":{"learned_run_times":false,"fair_shares":true},"new")"));
    REQUIRE(limited);
    CHECK(limited->memory_mb == 160);
    CHECK(limited->descriptors == 4100);
    CHECK_FALSE(limited->learned_run_times);
    CHECK(limited->fair_shares);
    for (const auto* missing : {"\"node\"", "\"ip\"", "\"front\"", "\"addr\"", "\"port_range\""})
        CHECK_FALSE(platform::parse_boot_settings(replaced(good, missing, "\"other\"")));
}

TEST_CASE("routes are chosen by host and longest prefix, teams by key", "[cell]") {
    const auto config = platform::decode_config(
        R"({"version":7,"routes":[{"name":"a","host":"h","path_prefix":"/x/","service":"s"},
        {"name":"b","host":"h","path_prefix":"/x/y/","service":"s","advice":{"decide_ms":5.6,"valid_ms":2000}}],
        "tenants":[{"name":"t","api_keys":["k1","k2"],"weight":3.5,"cap":{"cpu":5}}]})");
    REQUIRE(config);
    CHECK(find_queue(*config, "h", "/x/1")->name == "a");
    CHECK(find_queue(*config, "h", "/x/y/1")->name == "b");
    CHECK(find_queue(*config, "h", "/z/1") == nullptr);
    CHECK(find_queue(*config, "other", "/x/1") == nullptr);
    CHECK(find_team(*config, "k2")->name == "t");
    CHECK(find_team(*config, "k3") == nullptr);
    CHECK(find_team(*config, "") == nullptr);
}

TEST_CASE("writes of a deposed owner are rejected", "[rows]") {
    standin::memory_table table;
    partition_rows first{table, 0, "a/1", "10.0.0.1:1", longest_lease};
    partition_rows second{table, 0, "b/1", "10.0.0.2:1", longest_lease};
    REQUIRE(first.take() == 1);
    job_rows rows;
    rows.rows.push_back({"j1", "", "", false, false});
    CHECK(first.write(rows) == row_outcome::written);
    REQUIRE(second.take() == first.last_epoch() + 1);
    rows.rows[0].job = "j2";
    CHECK(first.write(rows) == row_outcome::ownership_lost);
    CHECK(first.confirm() == row_outcome::ownership_lost);
    const auto content = second.load();
    REQUIRE(content);
    CHECK(content->specs.size() == 1);
}

TEST_CASE("a write whose answer was lost counts once it is seen to have been carried out", "[rows]") {
    standin::memory_table table;
    partition_rows rows{table, 0, "a/1", "10.0.0.1:1", longest_lease};
    REQUIRE(rows.take());
    job_rows some;
    some.rows.push_back({"j1", "", "", false, false});
    table.set_mode(standin::platform_mode::drop_response);
    CHECK(rows.write(some) == row_outcome::written); // the head row shows that the write took effect
    table.set_mode(standin::platform_mode::down);
    CHECK(rows.write(some) == row_outcome::unavailable);
    table.set_mode(standin::platform_mode::up);
    CHECK(rows.write(some) == row_outcome::written);
    CHECK(rows.release() == row_outcome::written);
    CHECK(rows.current_head()->owner().empty());
}

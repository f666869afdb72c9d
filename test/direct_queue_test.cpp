#include "medlarhub/direct_queue.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

const instant start{milliseconds{1'000'000}};

vm_info vm(const std::string& id, int slots = 2) {
    vm_info made;
    made.id = id;
    made.address = id;
    made.data_centre = "vernon";
    made.capacity = {8000, 8192, 0};
    made.slots = slots;
    return made;
}

/// A pool of confirmed targets and a queue that uses it.
struct fixture {
    target_pool pool{{.eject_after = 3}};
    fair_share shares;
    direct_queue queue{pool, shares, 1};

    explicit fixture(int targets, int slots = 2) {
        std::vector<vm_info> fleet;
        fleet.reserve(static_cast<std::size_t>(targets));
        for (int i = 0; i < targets; ++i)
            fleet.push_back(vm("t" + std::to_string(i), slots));
        pool.set_fleet(fleet, [](const vm_info&) { return false; });
        for (int i = 0; i < targets; ++i)
            pool.find("t" + std::to_string(i))->confirmed = true;
        shares.set_capacity(pool.capacity());
    }
};

direct_request request(std::uint64_t token, const std::string& team, milliseconds deadline = 1s) {
    return {token, team, "check", {500, 256, 0}, 10ms, start + deadline};
}

} // namespace

TEST_CASE("a direct request is placed, queued or refused on arrival", "[direct_queue]") {
    fixture env{1, 2};
    CHECK(env.queue.admit(start, request(1, "a")).outcome == direct_outcome::placed);
    CHECK(env.queue.admit(start, request(2, "a")).outcome == direct_outcome::placed);
    CHECK(env.queue.admit(start, request(3, "a")).outcome == direct_outcome::queued);
    const auto refused = env.queue.admit(start, request(4, "a", 5ms));
    CHECK(refused.outcome == direct_outcome::refused);
    CHECK(refused.retry_after > 0ms);
    env.queue.finished(start + 10ms, 1, false);
    const auto ready = env.queue.start_ready(start + 10ms);
    REQUIRE(ready.size() == 1);
    CHECK(ready[0].token == 3);
}

TEST_CASE("queued requests that can't meet their deadline expire without running", "[direct_queue]") {
    fixture env{1, 1};
    REQUIRE(env.queue.admit(start, request(1, "a")).outcome == direct_outcome::placed);
    REQUIRE(env.queue.admit(start, request(2, "a", 100ms)).outcome == direct_outcome::queued);
    CHECK(env.queue.take_expired(start + 50ms).empty());
    CHECK(env.queue.take_expired(start + 95ms) == std::vector<std::uint64_t>{2});
    CHECK(env.queue.waiting() == 0);
}

TEST_CASE("a team with a long queue doesn't delay another team", "[direct_queue]") {
    fixture env{2, 2};
    std::uint64_t token = 0;
    for (int i = 0; i < 4; ++i)
        REQUIRE(env.queue.admit(start, request(++token, "hot")).outcome == direct_outcome::placed);
    for (int i = 0; i < 50; ++i)
        REQUIRE(env.queue.admit(start, request(++token, "hot")).outcome == direct_outcome::queued);
    REQUIRE(env.queue.admit(start, request(++token, "quiet")).outcome == direct_outcome::queued);
    env.queue.finished(start + 10ms, 1, false);
    const auto ready = env.queue.start_ready(start + 10ms);
    REQUIRE(ready.size() == 1);
    CHECK(ready[0].token == token);
}

TEST_CASE("requests of a team at its allotment wait, those of other teams don't", "[direct_queue]") {
    fixture env{2, 4};
    env.shares.set_allotment("limited", 500);
    CHECK(env.queue.admit(start, request(1, "limited")).outcome == direct_outcome::placed);
    CHECK(env.queue.admit(start, request(2, "limited")).outcome == direct_outcome::queued);
    CHECK(env.queue.admit(start, request(3, "free")).outcome == direct_outcome::placed);
}

TEST_CASE("a target that fails everything is left out, probed and taken back", "[target_pool]") {
    fixture env{3, 4};
    for (int i = 0; i < 3; ++i)
        env.pool.failed(start, "t0");
    CHECK(env.pool.find("t0")->ejected);
    CHECK_FALSE(env.pool.usable(start + 500ms, *env.pool.find("t0"), true));
    CHECK(env.pool.usable(start + 1s, *env.pool.find("t0"), true));
    CHECK_FALSE(env.pool.usable(start + 1s, *env.pool.find("t0"), false));
    env.pool.probe_started("t0");
    CHECK_FALSE(env.pool.usable(start + 1s, *env.pool.find("t0"), true));
    env.pool.failed(start + 1s, "t0");
    CHECK_FALSE(env.pool.usable(start + 2500ms, *env.pool.find("t0"), true));
    CHECK(env.pool.usable(start + 3s, *env.pool.find("t0"), true));
    env.pool.succeeded("t0");
    CHECK_FALSE(env.pool.find("t0")->ejected);
}

TEST_CASE("when all targets fail, only a third of them is ejected", "[target_pool]") {
    fixture env{6, 4};
    for (int target = 0; target < 6; ++target) {
        for (int i = 0; i < 5; ++i)
            env.pool.failed(start, "t" + std::to_string(target));
    }
    CHECK(std::ranges::count_if(env.pool.all(), &target_view::ejected) == 2);
}

TEST_CASE("no target is given more than it has", "[target_pool]") {
    struct capacity_case {
        std::string name;
        resources held;
        resources orphaned;
        std::int64_t observed_mb = 0;
        bool leaving = false;
        bool has_capacity = false;
    };
    const auto given = GENERATE(values<capacity_case>({
        {"empty", {}, {}, 0, false, true},
        {"CPUs held", {7000, 0, 0}, {}, 0, false, false},
        {"an earlier owner's work", {}, {7000, 0, 0}, 0, false, false},
        {"more memory in use than declared", {0, 1024, 0}, {}, 7000, false, false},
        {"leaving", {}, {}, 0, true, false},
    }));
    INFO(given.name);
    fixture env{1, 8};
    env.pool.hold("t0", given.held);
    auto& target = *env.pool.find("t0");
    target.orphaned = given.orphaned;
    target.observed_memory_mb = given.observed_mb;
    target.info.leaving = given.leaving;
    CHECK(env.pool.choose(start, {.need = {2000, 2048, 0}}).has_value() == given.has_capacity);
}

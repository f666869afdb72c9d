#include "medlarhub/escrow.h"
#include "medlarhub/membership.h"
#include "medlarhub/ownership.h"
#include "medlarhub/router.h"
#include "medlarhub/table_write_limiter.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

const instant start{milliseconds{1'000'000}};

pb::member member(const std::string& id, std::uint64_t incarnation = 1,
                  pb::member::phase state = pb::member::alive) {
    pb::member made;
    made.set_id(id);
    made.set_incarnation(incarnation);
    made.set_state(state);
    return made;
}

} // namespace

TEST_CASE("allotments never sum above the limit, through every order of moves", "[escrow]") {
    const bool held = rc::check("sum stays below the limit", [] {
        constexpr int partitions = 4;
        allotment_row row{10'000, 1, {}};
        std::map<int, std::int64_t> in_use;
        std::int64_t limit = row.limit_cpu_milli;
        std::int64_t revision = 1;
        const auto moves = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
            rc::gen::inRange(0, partitions), rc::gen::inRange(0, 6), rc::gen::inRange(0, 8000)));
        for (const auto& [partition, action, amount] : moves) {
            const auto part = row.parts.contains(partition) ? row.parts.at(partition) : 0;
            if (action == 0) {
                limit = amount;
                ++revision;
            } else if (action == 1) {
                in_use[partition] = std::max<std::int64_t>(0, in_use[partition] - amount);
            } else if (action == 2) {
                // An owner starts nothing beyond its own allotment.
                if (in_use[partition] + amount <= part)
                    in_use[partition] += amount;
            }
            const auto before = row.total();
            row = rebalance(row, {partition, in_use[partition], action > 2 ? amount : 0, limit, revision,
                                  idle_floor(limit, partitions)});
            RC_ASSERT(row.total() <= std::max(limit, before));
            const auto now = row.parts.contains(partition) ? row.parts.at(partition) : 0;
            RC_ASSERT(now >= 0);
            RC_ASSERT(now >= std::min(in_use[partition], part));
        }
        const auto again = parse_allotment(to_text(row));
        RC_ASSERT(again.has_value());
        RC_ASSERT(*again == row);
    });
    REQUIRE(held);
}

TEST_CASE("an older limit doesn't replace a newer one", "[escrow]") {
    const auto lowered = rebalance({10'000, 4, {}}, {0, 0, 4000, 2000, 5, 0});
    CHECK(lowered.limit_cpu_milli == 2000);
    CHECK(rebalance(lowered, {1, 0, 4000, 10'000, 4, 0}).limit_cpu_milli == 2000);
}

TEST_CASE("membership applies newer updates and refutes wrong ones about itself", "[membership]") {
    membership members{member("self"), {}, 1};
    members.merge(start, member("peer", 5));
    struct merge_case {
        std::string name;
        pb::member update;
        bool alive = false;
    };
    const auto given = GENERATE(values<merge_case>({
        {"older death", member("peer", 4, pb::member::dead), true},
        {"suspicion", member("peer", 5, pb::member::suspect), true},
        {"death", member("peer", 5, pb::member::dead), false},
        {"departure", member("peer", 5, pb::member::left), false},
        {"a replaced VM with the same name", member("peer", 6), true},
    }));
    INFO(given.name);
    members.merge(start, given.update);
    CHECK(members.alive("peer") == given.alive);
    const auto before = members.self().incarnation();
    members.merge(start, member("self", before, pb::member::suspect));
    CHECK(members.self().incarnation() == before + 1);
}

TEST_CASE("a member that fails its probe is declared dead unless it refutes in time", "[membership]") {
    const bool refutes = GENERATE(true, false);
    membership members{member("self"), {.suspect_after = 1500ms}, 1};
    members.merge(start, member("peer"));
    members.probe_failed(start, "peer");
    members.tick(start + 1400ms);
    CHECK(members.alive("peer"));
    if (refutes)
        members.merge(start + 1450ms, member("peer", 2));
    members.tick(start + 1600ms);
    CHECK(members.alive("peer") == refutes);
}

TEST_CASE("the number of updates in a message doesn't grow with the cluster", "[membership]") {
    const auto size = GENERATE(8, 190);
    membership members{member("self"), {.max_updates = 8}, 1};
    for (int i = 0; i < size; ++i)
        members.merge(start, member("n" + std::to_string(i)));
    CHECK(members.updates().size() <= 9);
}

TEST_CASE("a preferred owner takes over from dead owners and asks live ones for a release", "[ownership]") {
    const auto preferred = ownership::preferred_owner({"a", "b"}, 0);
    const auto other = preferred == "a" ? std::string{"b"} : std::string{"a"};
    struct plan_case {
        std::string name;
        std::string last_owner;
        milliseconds later{0};
        bool take = false;
        bool ask = false;
    };
    const auto given = GENERATE_COPY(values<plan_case>({
        {"owner dead", "gone", 0ms, true, false},
        {"never announced, not settled", "", 0ms, false, false},
        {"never announced, settled", "", 2s, true, false},
        {"owner alive, not settled", other, 0ms, false, false},
        {"owner alive, settled", other, 2s, false, true},
    }));
    INFO(given.name);
    ownership decides{1500ms};
    const ownership_view view{preferred, {0}, {"a", "b"}, {{0, given.last_owner}}, {}};
    (void)decides.plan(start, view);
    const auto plan = decides.plan(start + given.later, view);
    CHECK(plan.take.empty() != given.take);
    CHECK(plan.ask_release.empty() != given.ask);
}

TEST_CASE("only the partitions of a node that leaves get another preferred owner", "[ownership]") {
    const std::vector<std::string> before{"a", "b", "c", "d", "e", "f"};
    const std::vector<std::string> after{"a", "b", "c", "d", "e"};
    for (int partition = 0; partition < 200; ++partition) {
        const auto owner = ownership::preferred_owner(before, partition);
        if (owner != "f")
            CHECK(ownership::preferred_owner(after, partition) == owner);
    }
}

TEST_CASE("table writes keep to their rate and a failing table is probed with backoff",
          "[table_write_limiter]") {
    table_write_limiter limiter{{.writes_per_second = 40, .first_backoff = 50ms, .max_backoff = 5s}};
    int allowed = 0;
    for (auto at = start; at < start + 10s; at += 1ms)
        allowed += limiter.acquire(at) == 0ms ? 1 : 0;
    CHECK(allowed <= 40 * 10 + 11);
    CHECK(allowed >= 40 * 10);

    int probes = 0;
    limiter.failed(start + 10s, 0.5);
    CHECK(limiter.is_table_down());
    for (auto at = start + 10s; at < start + 70s; at += 1ms) {
        if (limiter.acquire(at) == 0ms) {
            ++probes;
            limiter.failed(at, 0.5);
        }
    }
    CHECK(probes <= 25);
    limiter.succeeded();
    CHECK_FALSE(limiter.is_table_down());
}

TEST_CASE("a request goes to the better of two partitions", "[router]") {
    router routes{1};
    for (int partition = 0; partition < 2; ++partition) {
        pb::partition_summary summary;
        summary.set_partition(partition);
        summary.set_owner("n" + std::to_string(partition));
        summary.set_epoch(1);
        summary.set_version(1);
        summary.set_free_slots(partition == 0 ? 0 : 8);
        summary.set_free_cpu_milli(partition == 0 ? 0 : 8000);
        summary.set_wait_ms(partition == 0 ? 40 : 0);
        summary.set_slots(8);
        routes.update_summary(start, summary);
    }
    int better = 0;
    constexpr int picks = 400;
    for (int i = 0; i < picks; ++i)
        better += routes.pick({500, "vernon"}) == 1 ? 1 : 0;
    CHECK(better == picks);
    CHECK(routes.pick({500, "vernon"}, 1) == 0);

    pb::partition_summary stale;
    stale.set_partition(1);
    stale.set_owner("old");
    stale.set_epoch(0);
    stale.set_version(99);
    routes.update_summary(start, stale);
    CHECK(routes.owner(1) == "n1");
}

TEST_CASE("a partition without a target in service is not chosen", "[router]") {
    router routes{1};
    for (int partition = 0; partition < 3; ++partition) {
        pb::partition_summary summary;
        summary.set_partition(partition);
        summary.set_owner("n");
        summary.set_epoch(1);
        summary.set_version(1);
        summary.set_slots(partition == 2 ? 8 : 0);
        summary.set_data_centre(partition == 2 ? "far" : "here");
        routes.update_summary(start, summary);
    }
    for (int i = 0; i < 50; ++i)
        CHECK(routes.pick({500, "here"}) == 2);
}

TEST_CASE("the home partition of a request doesn't depend on the order of partitions", "[router]") {
    const std::vector<int> partitions{0, 1, 2, 3};
    for (int i = 0; i < 50; ++i) {
        const auto id = "r" + std::to_string(i);
        CHECK(home_partition(partitions, "orchard", id) == home_partition({3, 1, 0, 2}, "orchard", id));
    }
    CHECK_FALSE(home_partition({}, "orchard", "r"));
}

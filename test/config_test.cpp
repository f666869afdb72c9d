#include "medlarhub/config.h"
#include "medlarhub/config_guard.h"
#include "medlarhub/reason.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

pb::config_change put(std::int64_t revision, const std::string& kind, const std::string& name,
                      const std::string& text) {
    pb::config_change change;
    change.set_revision(revision);
    change.mutable_put()->set_kind(kind);
    change.mutable_put()->set_name(name);
    change.mutable_put()->set_text(text);
    return change;
}

pb::config_change team(std::int64_t revision, const std::string& name) {
    return put(revision, "team", name, "[team]\nname = " + name + "\n");
}

std::string service_text(const std::string& owner) {
    return "[service]\nname = check\nteam = " + owner + "\nkind = request\n[needs]\ncpus = 1\nmemory = 1GB\n";
}

pb::config_change grant(std::int64_t revision, const std::string& digest) {
    pb::config_change change;
    change.set_revision(revision);
    change.mutable_grant()->set_digest(digest);
    change.mutable_grant()->set_team("orchard");
    return change;
}

pb::config_change withdraw(std::int64_t revision, const std::string& digest) {
    pb::config_change change;
    change.set_revision(revision);
    change.mutable_withdraw()->set_digest(digest);
    return change;
}

} // namespace

TEST_CASE("a change is applied only if it has the next revision", "[config]") {
    config_state state;
    REQUIRE(state.apply(team(1, "orchard")));
    CHECK_FALSE(state.apply(team(1, "tearoom")));
    CHECK_FALSE(state.apply(team(3, "tearoom")));
    CHECK(state.revision() == 1);
    CHECK(state.team("tearoom") == nullptr);
}

TEST_CASE("a withdrawn key authenticates no team", "[config]") {
    config_state state;
    REQUIRE(state.apply(team(1, "orchard")));
    REQUIRE(state.apply(grant(2, "abc")));
    CHECK(state.team_of("abc") == "orchard");
    REQUIRE(state.apply(withdraw(3, "abc")));
    CHECK_FALSE(state.team_of("abc"));
}

TEST_CASE("operators that race get a conflict", "[config]") {
    config_state state;
    REQUIRE(state.apply(team(1, "orchard")));
    REQUIRE(state.apply(team(2, "tearoom")));
    struct race_case {
        std::string name;
        pb::config_change change;
        std::optional<std::int64_t> expected;
        std::string reason;
    };
    const auto given = GENERATE_COPY(values<race_case>({
        {"latest revision expected", team(0, "orchard"), 1, ""},
        {"older revision expected", team(0, "orchard"), 0, "conflict"},
        {"new document", put(0, "service", "check", service_text("orchard")), 0, ""},
        {"new document that already exists", team(0, "tearoom"), 0, "conflict"},
        {"unknown team", put(0, "service", "check", service_text("nobody")), {}, "team nobody"},
        {"unknown key", withdraw(0, "nothing"), {}, "no such key"},
    }));
    INFO(given.name);
    const auto from = state.check(given.change, given.expected);
    CHECK(from.has_value() == given.reason.empty());
    if (!from)
        CHECK(last_reason().find(given.reason) == 0);
}

TEST_CASE("a service can't change its team, nor a rack its partition", "[config]") {
    config_state state;
    REQUIRE(state.apply(team(1, "orchard")));
    REQUIRE(state.apply(team(2, "tearoom")));
    REQUIRE(state.apply(put(3, "service", "check", service_text("orchard"))));
    CHECK_FALSE(state.check(put(0, "service", "check", service_text("tearoom")), {}));
    const std::string cell =
        "[cell]\nname = c\n[partition.0]\nracks = a/r0 a/r1\n[partition.1]\nracks = b/r0\n";
    REQUIRE(state.apply(put(4, "cell", "c", cell)));
    struct move_case {
        std::string name;
        std::string text;
        bool allowed = false;
    };
    const auto given = GENERATE(values<move_case>({
        {"a new rack",
         "[cell]\nname = c\n[partition.0]\nracks = a/r0 a/r1 a/r2\n[partition.1]\nracks = b/r0\n", true},
        {"a rack removed", "[cell]\nname = c\n[partition.0]\nracks = a/r0\n[partition.1]\nracks = b/r0\n",
         true},
        {"a rack moved", "[cell]\nname = c\n[partition.0]\nracks = a/r0\n[partition.1]\nracks = b/r0 a/r1\n",
         false},
        {"a partition removed", "[cell]\nname = c\n[partition.0]\nracks = a/r0 a/r1\n", false},
        {"a partition added",
         "[cell]\nname = c\n[partition.0]\nracks = a/r0 a/r1\n[partition.1]\nracks = "
         "b/r0\n[partition.2]\nracks = d/r0\n",
         false},
    }));
    INFO(given.name);
    CHECK(state.check(put(0, "cell", "c", given.text), {}).has_value() == given.allowed);
}

TEST_CASE("a snapshot restores the whole configuration", "[config]") {
    config_state state;
    REQUIRE(state.apply(team(1, "orchard")));
    REQUIRE(state.apply(grant(2, "abc")));
    pb::config_change drain;
    drain.set_revision(3);
    drain.mutable_set_drain()->set_scope("data_centre");
    drain.mutable_set_drain()->set_name("vernon");
    drain.mutable_set_drain()->set_drained(true);
    REQUIRE(state.apply(drain));
    const auto restored = config_state::from_snapshot(state.to_snapshot());
    REQUIRE(restored);
    CHECK(restored->revision() == 3);
    CHECK(restored->team_of("abc") == "orchard");
    CHECK(restored->is_drained("t1", "vernon"));
    CHECK_FALSE(restored->is_drained("t1", "kelowna"));
}

TEST_CASE("a node acts only on a configuration it knows to be current", "[config_guard]") {
    const instant start{milliseconds{1'000'000}};
    struct guard_case {
        std::string name;
        milliseconds store_read{0};                                       ///< before now
        std::vector<std::pair<std::string, milliseconds>> peer_reports{}; ///< peers, before now
        milliseconds peer_store_age{100'000};
        std::int64_t peer_revision = 5;
        bool current = false;
    };
    const auto given = GENERATE(values<guard_case>({
        {"the store was just read", 1s, {}, 100s, 5, true},
        {"no contact with the store or peers", 4s, {}, 100s, 5, false},
        {"store down, reports from all peers",
         60s,
         {{"b", 1s}, {"c", 1s}, {"d", 1s}, {"e", 1s}},
         100s,
         5,
         true},
        {"store down, reports from a bare majority", 60s, {{"b", 1s}, {"c", 1s}}, 100s, 5, true},
        {"store down, reports from a minority", 60s, {{"b", 1s}}, 100s, 5, false},
        {"store down, old reports only", 60s, {{"b", 9s}, {"c", 9s}}, 100s, 5, false},
        {"unregistered nodes don't count", 60s, {{"x", 1s}, {"y", 1s}, {"z", 1s}}, 100s, 5, false},
        {"one peer reads the store", 60s, {{"b", 1s}}, 500ms, 5, true},
        {"a peer has a newer revision", 1s, {{"b", 1s}}, 500ms, 6, false},
    }));
    INFO(given.name);
    config_guard guard{3s};
    guard.set_registered({"a", "b", "c", "d", "e"});
    guard.store_confirmed(start - given.store_read);
    for (const auto& [peer, before] : given.peer_reports)
        guard.peer_reported(start - before, peer, given.peer_revision, given.peer_store_age);
    CHECK(guard.current(start, "a", 5) == given.current);
}

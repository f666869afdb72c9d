#include "node/config_sync.h"
#include "node/journal.h"
#include "standin/memory_platform.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace medlarhub::standin;

namespace {

pb::record accept(const std::string& id) {
    pb::record entry;
    auto& item = *entry.mutable_accept()->mutable_item();
    item.set_team("orchard");
    item.set_request_id(id);
    item.add_tasks();
    return entry;
}

struct platform {
    memory_table rows;
    memory_object_store objects;
    shared_write_limiter write_limiter{{.writes_per_second = 1000}};
};

std::size_t jobs_after_load(platform& fake_platform) {
    partition core{{}};
    journal reader{fake_platform.rows, fake_platform.objects, fake_platform.write_limiter, 0, "reader"};
    REQUIRE(reader.load(core));
    return core.job_count();
}

} // namespace

TEST_CASE("a group whose answer was lost is written once", "[journal]") {
    platform fake_platform;
    partition core{{}};
    journal writer{fake_platform.rows, fake_platform.objects, fake_platform.write_limiter, 0, "a"};
    REQUIRE(writer.load(core));
    fake_platform.rows.set_mode(platform_mode::drop_response);
    CHECK(writer.append({accept("r1")}) == append_outcome::unavailable);
    CHECK(fake_platform.write_limiter.is_table_down());
    fake_platform.rows.set_mode(platform_mode::up);
    CHECK(writer.append({accept("r1")}) == append_outcome::committed);
    CHECK(writer.append({accept("r2")}) == append_outcome::committed);
    CHECK(writer.last_sequence() == 2);
    CHECK(jobs_after_load(fake_platform) == 2);
}

TEST_CASE("an owner is deposed and writes nothing when another owner has appended first", "[journal]") {
    platform fake_platform;
    partition first_core{{}};
    partition second_core{{}};
    journal first{fake_platform.rows, fake_platform.objects, fake_platform.write_limiter, 0, "a"};
    journal second{fake_platform.rows, fake_platform.objects, fake_platform.write_limiter, 0, "b"};
    REQUIRE(first.load(first_core));
    REQUIRE(second.load(second_core));
    CHECK(second.append({accept("r1")}) == append_outcome::committed);
    CHECK(first.is_still_owner() == false);
    CHECK(first.append({accept("r2")}) == append_outcome::ownership_lost);
    CHECK(jobs_after_load(fake_platform) == 1);
}

TEST_CASE("recovery reads the snapshot and the rows after it", "[journal]") {
    platform fake_platform;
    partition core{{}};
    journal writer{fake_platform.rows, fake_platform.objects, fake_platform.write_limiter, 0, "a"};
    REQUIRE(writer.load(core));
    for (int i = 0; i < 5; ++i) {
        REQUIRE(writer.append({accept("r" + std::to_string(i))}) == append_outcome::committed);
        core.replay(accept("r" + std::to_string(i)), writer.last_sequence());
        if (i == 1 || i == 3)
            REQUIRE(writer.save_snapshot(core.snapshot(writer.last_sequence())));
    }
    CHECK(jobs_after_load(fake_platform) == 5);
    // The rows that the first snapshot covered are removed.
    CHECK(fake_platform.rows.list("journal/0/", "", 100)->size() == 3);
}

TEST_CASE("a deposed owner's late snapshot doesn't replace a newer one", "[journal]") {
    platform fake_platform;
    partition core{{}};
    journal late{fake_platform.rows, fake_platform.objects, fake_platform.write_limiter, 0, "a"};
    REQUIRE(late.load(core));
    REQUIRE(late.append({accept("r0")}) == append_outcome::committed);
    core.replay(accept("r0"), 1);
    const auto old_snapshot = core.snapshot(1);

    partition next{{}};
    journal owner{fake_platform.rows, fake_platform.objects, fake_platform.write_limiter, 0, "b"};
    REQUIRE(owner.load(next));
    REQUIRE(owner.append({accept("r1")}) == append_outcome::committed);
    next.replay(accept("r1"), 2);
    REQUIRE(owner.save_snapshot(next.snapshot(2)));
    CHECK_FALSE(late.save_snapshot(old_snapshot));
    CHECK(jobs_after_load(fake_platform) == 2);
}

TEST_CASE("loading the journal fails while the table is unavailable", "[journal]") {
    platform fake_platform;
    fake_platform.rows.set_mode(platform_mode::down);
    partition core{{}};
    journal reader{fake_platform.rows, fake_platform.objects, fake_platform.write_limiter, 0, "a"};
    CHECK_FALSE(reader.load(core));
}

namespace {

pb::config_change put_team(const std::string& name, const std::string& extra = {}) {
    pb::config_change change;
    change.mutable_put()->set_kind("team");
    change.mutable_put()->set_name(name);
    change.mutable_put()->set_text("[team]\nname = " + name + "\n" + extra);
    return change;
}

} // namespace

TEST_CASE("operators that race at two nodes get a conflict, nothing is overwritten", "[config_sync]") {
    platform fake_platform;
    config_sync first{fake_platform.rows,
                      fake_platform.objects,
                      fake_platform.write_limiter,
                      {"a", "", "", milliseconds{3000}}};
    config_sync second{fake_platform.rows,
                       fake_platform.objects,
                       fake_platform.write_limiter,
                       {"b", "", "", milliseconds{3000}}};
    REQUIRE(first.propose(put_team("orchard"), "alice", 0).outcome == propose_outcome::applied);
    REQUIRE(second.poll());
    REQUIRE(second.propose(put_team("orchard", "share = 2\n"), "bob", 1).outcome == propose_outcome::applied);
    const auto late = first.propose(put_team("orchard", "share = 3\n"), "alice", 1);
    CHECK(late.outcome == propose_outcome::refused);
    CHECK(first.state()->team("orchard")->share == 2);
    const auto trail = first.audit(0, 10);
    REQUIRE(trail);
    REQUIRE(trail->size() == 2);
    CHECK(trail->at(1).who() == "bob");
    CHECK(trail->at(1).put().revision() == 1);
}

TEST_CASE("a change whose answer was lost is found, not repeated", "[config_sync]") {
    platform fake_platform;
    config_sync node{fake_platform.rows,
                     fake_platform.objects,
                     fake_platform.write_limiter,
                     {"a", "", "", milliseconds{3000}}};
    REQUIRE(node.poll());
    fake_platform.rows.set_mode(platform_mode::drop_response);
    CHECK(node.propose(put_team("orchard"), "alice", 0).outcome == propose_outcome::applied);
    CHECK(node.state()->revision() == 1);
}

TEST_CASE("pushed changes apply in order and never take a node back", "[config_sync]") {
    platform fake_platform;
    config_sync source{fake_platform.rows,
                       fake_platform.objects,
                       fake_platform.write_limiter,
                       {"a", "", "", milliseconds{3000}}};
    config_sync peer{fake_platform.rows,
                     fake_platform.objects,
                     fake_platform.write_limiter,
                     {"b", "", "", milliseconds{3000}}};
    REQUIRE(source.propose(put_team("orchard"), "alice", {}).outcome == propose_outcome::applied);
    REQUIRE(source.propose(put_team("tearoom"), "alice", {}).outcome == propose_outcome::applied);
    const auto all = *source.changes_after(0);
    CHECK(peer.merge({all[1]}) == 0);
    CHECK(peer.merge(all) == 2);
    CHECK(peer.merge({all[0]}) == 2);
}

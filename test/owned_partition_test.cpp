#include "cell/clocks.h"
#include "cell/lease.h"
#include "cell/owned_partition.h"
#include "cell/partition_rows.h"

#include "standin/memory_platform.h"
#include "standin/unreachable_targets.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds longest_lease{6000};

/// A table whose transactions can be held before they are executed; meanwhile reads fail.
class held_table final : public table {
public:
    write_result transact(const std::vector<table_write>& writes) override {
        std::unique_lock lock{m_mutex};
        ++m_waiting;
        m_changed.notify_all();
        m_changed.wait(lock, [&] { return !m_held; });
        --m_waiting;
        return m_rows.transact(writes);
    }
    std::optional<std::vector<table_row>> read(const std::string& key) override {
        return is_held() ? std::nullopt : m_rows.read(key);
    }
    std::optional<std::vector<table_row>> list(const std::string& prefix, const std::string& after,
                                               int limit) override {
        return is_held() ? std::nullopt : m_rows.list(prefix, after, limit);
    }

    void hold(bool held) {
        const std::lock_guard lock{m_mutex};
        m_held = held;
        m_changed.notify_all();
    }
    void await_held() {
        std::unique_lock lock{m_mutex};
        m_changed.wait(lock, [&] { return m_held && m_waiting > 0; });
    }

private:
    bool is_held() {
        const std::lock_guard lock{m_mutex};
        return m_held;
    }

    standin::memory_table m_rows;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_held = false;
    int m_waiting = 0;
};

declarations one_queue() {
    auto config = std::make_shared<cell_config>();
    config->version = 1;
    config->queues["checks"].name = "checks";
    config->teams["orchard"].name = "orchard";
    return {config, {}};
}

pb::job_call submission(const std::string& id) {
    pb::job_call call;
    call.set_what(pb::job_call::submit);
    call.set_id(id);
    call.set_queue("checks");
    call.set_team("orchard");
    call.set_timeout_ms(60'000);
    auto& spec = *call.mutable_spec();
    spec.set_id(id);
    spec.set_queue("checks");
    spec.set_team("orchard");
    spec.add_steps()->set_count(1);
    return call;
}

class partition_under_test {
public:
    partition_under_test() { take("n1/1"); }

    /// Replaces the owner.
    void take(const std::string& owner) {
        if (owned)
            owned->join();
        partition_environment environment;
        environment.rows = &rows;
        environment.commands = &m_targets;
        environment.counters = &m_counters;
        environment.ask = [](const advice_request&, auto done) { done(std::nullopt); };
        owned = std::make_unique<owned_partition>(
            owned_partition_options{0, 1, owner, "10.0.0.1:1", longest_lease}, environment);
        owned->set_declarations(one_queue());
        owned->start();
        while (owned->status() == partition_status::taking_over)
            std::this_thread::sleep_for(1ms);
    }

    std::future<pb::job_answer> submit(const std::string& id) { return call(submission(id)); }

    std::future<pb::job_answer> call(const pb::job_call& call) {
        const auto promise = std::make_shared<std::promise<pb::job_answer>>();
        owned->call(call, [promise](pb::job_answer answer) { promise->set_value(std::move(answer)); });
        return promise->get_future();
    }

    /// Ticks for `time`. Returns how many polls were sent meanwhile.
    int polls_in(milliseconds time) {
        const auto before = m_targets.polls.load();
        for (const auto end = now() + time; now() < end; std::this_thread::sleep_for(tick_period))
            owned->tick();
        return m_targets.polls - before;
    }

    held_table rows;

private:
    standin::unreachable_targets m_targets;
    metrics m_counters;

public:
    std::unique_ptr<owned_partition> owned; ///< its thread uses all of the above
};

} // namespace

TEST_CASE("an owner that closes says that a job in a write may be recorded, and lets others be tried as new",
          "[ownership][recovery]") {
    partition_under_test partition;
    REQUIRE(partition.owned->status() == partition_status::active);
    CHECK(partition.submit("before").get().result() == pb::job_answer::ok);

    partition.rows.hold(true);
    auto in_write = partition.submit("in_write");
    partition.rows.await_held();
    auto again = partition.submit("in_write"); // the caller retries meanwhile
    auto unseen = partition.submit("unseen");
    partition.owned->close_as_lost("another node owns the partition");
    CHECK(in_write.get().result() == pb::job_answer::unknown);
    CHECK(again.get().result() == pb::job_answer::unknown);
    CHECK(unseen.get().result() == pb::job_answer::not_owner);
    partition.rows.hold(false);
    partition.owned->join();

    // The write was executed after all.
    const auto recorded = partition.rows.list("p0/spec/", "", 10);
    REQUIRE(recorded);
    REQUIRE(recorded->size() == 2);
    CHECK((*recorded)[1].key == "p0/spec/in_write");
}

TEST_CASE("while the table gives no answer to a write, what isn't in it is refused",
          "[ownership][recovery]") {
    partition_under_test partition;
    partition.rows.hold(true);
    auto in_write = partition.submit("in_write");
    partition.rows.await_held();
    auto unseen = partition.submit("unseen");
    while (unseen.wait_for(5ms) != std::future_status::ready)
        partition.owned->tick();
    CHECK(unseen.get().result() == pb::job_answer::not_run);
    const auto refused = partition.submit("later").get();
    CHECK(refused.result() == pb::job_answer::not_run);
    CHECK(refused.retry_after_ms() > 0);
    CHECK(in_write.wait_for(0ms) == std::future_status::timeout); // it may be recorded
    partition.rows.hold(false);
    CHECK(in_write.get().result() == pb::job_answer::ok);
    CHECK(partition.submit("unseen").get().result() == pb::job_answer::ok);
}

// Guards against tasks that run twice because an owner that is cut off goes on while a successor takes over:
// no report of other nodes, and no silence, shows that there is none.
// Guards against callers who wait without end for a partition that is given up while the table is silent.
TEST_CASE("callers of a partition that is given up are answered by their deadline", "[ownership][drain]") {
    partition_under_test world;
    world.rows.hold(true);
    auto call = submission("waiting");
    call.set_timeout_ms(200);
    auto answer = world.call(call);
    world.rows.await_held();
    world.owned->release(0ms);
    const auto by = now() + 20s;
    while (answer.wait_for(0ms) != std::future_status::ready && now() < by) {
        world.owned->tick();
        std::this_thread::sleep_for(1ms);
    }
    const bool answered = answer.wait_for(0ms) == std::future_status::ready;
    CHECK(world.owned->status() == partition_status::releasing);
    world.rows.hold(false);
    REQUIRE(answered);
    CHECK(answer.get().result() == pb::job_answer::unknown);
}

TEST_CASE("an owner whose ownership isn't confirmed stops commanding targets until it is",
          "[ownership][recovery]") {
    partition_under_test partition;
    target_entry target;
    target.id = "t0";
    target.address = "10.0.0.9:1";
    target.rack = "r1";
    auto layout = std::make_shared<cell_layout>();
    layout->partitions = 1;
    layout->racks[rack_of(target)] = 0;
    partition.owned->set_targets(layout, std::make_shared<std::vector<target_entry>>(1, target));
    REQUIRE(partition.polls_in(1s) > 0);
    partition.rows.hold(true);
    // A successor counts on it that the owner before it has stopped after 2.5 s.
    (void)partition.polls_in(2700ms);
    CHECK(partition.polls_in(1s) == 0);
    partition.rows.hold(false);
    CHECK(partition.polls_in(1500ms) > 0);
}

TEST_CASE("a new owner knows when no previous owner can send commands to targets", "[ownership][recovery]") {
    struct row {
        const char* name;
        const char* before; // empty: nobody owned it
        bool released;
        const char* owner;
        bool sole;
    };
    const auto given = GENERATE(row{"nobody owned it", "", false, "n1/10", true},
                                row{"the last owner released it", "n2/10", true, "n1/10", true},
                                row{"an earlier incarnation of this node", "n1/7", false, "n1/10", true},
                                row{"another node", "n2/10", false, "n1/10", false},
                                row{"a node with the same name prefix", "n11/10", false, "n1/10", false},
                                row{"the same incarnation", "n1/10", false, "n1/10", false});
    INFO(given.name);
    standin::memory_table rows;
    if (*given.before != '\0') {
        partition_rows before{rows, 0, given.before, "a", longest_lease};
        REQUIRE(before.take());
        if (given.released)
            REQUIRE(before.release() == row_outcome::written);
    }
    partition_rows next{rows, 0, given.owner, "b", longest_lease};
    REQUIRE(next.take());
    CHECK(next.sole_owner() == given.sole);
}

TEST_CASE("a new owner waits for the leases that owners before it asked for", "[ownership][recovery]") {
    struct row {
        const char* name;
        std::vector<milliseconds> longest; ///< longest lease that targets grant, of each owner in turn
        bool known = false;                ///< the owners knew all running tasks
        bool told = true;                  ///< the head row contains the lease
        milliseconds waits{0};
    };
    const auto given =
        GENERATE(row{"the first owner", {}, false, true, 0s},
                 row{"the same lease", {6s}, false, true, lease_to_request(6s)},
                 row{"one of two owners ago", {6s, 3s}, false, true, lease_to_request(6s)},
                 row{"two owners ago, and its runs have ended", {6s, 3s}, true, true, lease_to_request(3s)},
                 row{"an earlier release, which stored none", {3s}, false, false, 10s});
    INFO(given.name);
    standin::memory_table rows;
    int number = 0;
    for (const auto longest : given.longest) {
        partition_rows owner{rows, 0, "n" + std::to_string(++number) + "/1", "a", longest};
        REQUIRE(owner.take());
        if (given.known)
            owner.forget_earlier_lease();
        REQUIRE(owner.write({}) == row_outcome::written);
    }
    if (!given.told) {
        const auto head = rows.list({}, {}, 1)->front();
        pb::partition_head without;
        REQUIRE(without.ParseFromString(head.value));
        without.clear_lease_ms();
        REQUIRE(rows.transact({{head.key, without.SerializeAsString(), write_condition::none, 0, false}})
                    .outcome == write_outcome::committed);
    }
    partition_rows next{rows, 0, "n9/1", "a", 10s};
    REQUIRE(next.take());
    CHECK(next.earlier_lease() == given.waits);
}

namespace {

/// Takes the partition over as the release before did, with a single epoch, and returns it.
std::uint64_t take_as_earlier_release(standin::memory_table& rows, const std::string& owner) {
    const auto row = rows.list({}, {}, 1);
    pb::partition_head head;
    if (!row->empty())
        REQUIRE(head.ParseFromString(row->front().value));
    head.set_owner(owner);
    head.set_epoch(head.epoch() + 1);
    head.set_sequence(head.sequence() + 1);
    REQUIRE(rows.transact({{"p0/head/owner", head.SerializeAsString(), write_condition::none, 0, false}})
                .outcome == write_outcome::committed);
    return head.epoch();
}

} // namespace

// Guards against a target that refuses an owner for good: its fences have to be above all that earlier owners
// may have used, whichever release they were of.
TEST_CASE("a later owner has later epochs, in any order of this release and the one before",
          "[ownership][outdated][upgrade]") {
    const std::string order = GENERATE("nnnn", "onon", "oonn", "nnoo", "nono", "onno");
    INFO(order);
    standin::memory_table rows;
    std::uint64_t used = 0;
    int number = 0;
    for (const auto release : order) {
        const auto owner = "n" + std::to_string(++number) + "/1";
        if (release == 'o') {
            const auto epoch = take_as_earlier_release(rows, owner);
            REQUIRE(epoch > used);
            used = epoch;
            continue;
        }
        partition_rows next{rows, 0, owner, "a", longest_lease};
        const auto first = next.take();
        REQUIRE(first);
        CHECK(*first > used);
        CHECK(next.last_epoch() > *first); // it can raise fences at once
        for (int i = 0; i < 3; ++i) {      // it needs more of them
            next.set_wanted_epoch(next.last_epoch() + 20);
            REQUIRE(next.write({}) == row_outcome::written);
            CHECK(next.confirm() == row_outcome::written);
        }
        REQUIRE(next.release() == row_outcome::written);
        used = next.last_epoch();
    }
}

// Guards against an owner that takes its own write, whose answer was lost, for that of another owner.
TEST_CASE("an owner recognises its own later epochs", "[ownership][outdated]") {
    standin::memory_table rows;
    partition_rows owner{rows, 0, "n1/1", "a", longest_lease};
    REQUIRE(owner.take());
    const auto head = rows.list({}, {}, 1)->front();
    pb::partition_head written;
    REQUIRE(written.ParseFromString(head.value));
    owner.set_wanted_epoch(written.epoch() + 16);
    written.set_epoch(written.epoch() + 16);
    REQUIRE(
        rows.transact({{head.key, written.SerializeAsString(), write_condition::none, 0, false}}).outcome ==
        write_outcome::committed);
    CHECK(owner.confirm() == row_outcome::written);
    written.set_owner("n2/1");
    REQUIRE(
        rows.transact({{head.key, written.SerializeAsString(), write_condition::none, 0, false}}).outcome ==
        write_outcome::committed);
    CHECK(owner.confirm() == row_outcome::ownership_lost);
}

TEST_CASE("a suspension shows as time since boot that the process's clock didn't count", "[ownership]") {
    const instant start{1h};
    suspension_guard guard;
    CHECK_FALSE(guard.has_suspended(5s, start));
    CHECK_FALSE(guard.has_suspended(9s, start + 4s));
    CHECK(guard.has_suspended(9200ms, start + 4s + 100ms));
    CHECK_FALSE(guard.has_suspended(10s, start + 4900ms));
}

// Guards against a successor that starts a task again while a target that restarted holds a longer lease.
TEST_CASE("a new owner waits for the longest lease if the owner before it may have granted that",
          "[ownership][recovery][restarts]") {
    standin::memory_table rows;
    partition_rows owner{rows, 0, "n1/1", "a", 6s};
    REQUIRE(owner.take());
    owner.set_lease(6s);
    REQUIRE(owner.release() == row_outcome::written);
    partition_rows next{rows, 0, "n2/1", "a", 6s};
    REQUIRE(next.take());
    CHECK(next.earlier_lease() == 6s);
}

TEST_CASE("work of silent targets doesn't wait longer where longer leases are allowed", "[ownership]") {
    CHECK(lease_to_request(3s) < 3s);
    CHECK(lease_to_request(6s) < 6s);
    CHECK(lease_to_request(10s) == lease_to_request(6s));
    CHECK(lease_to_request(1h) == lease_to_request(6s));
}

// Guards against targets that a new owner takes for silent since then, though an owner in between that
// doesn't know the row had leases there.
TEST_CASE("the row of silent targets counts unless an owner of an earlier release came after it",
          "[owned][recovery][silent]") {
    struct row {
        const char* name;
        bool earlier_release;
    };
    const auto given = GENERATE(row{"the next owner knows it", false}, row{"it doesn't", true});
    INFO(given.name);
    standin::memory_table table;
    const auto load_as = [&](partition_rows& rows) {
        REQUIRE(rows.take());
        const auto content = rows.load();
        REQUIRE(content);
        return content->silent_targets.leases_end_ms_size();
    };
    partition_rows first{table, 0, "n1/1", "10.0.0.1:1", longest_lease};
    CHECK(load_as(first) == 0);
    pb::silent_targets silent;
    (*silent.mutable_leases_end_ms())["t0"] = 5000;
    job_rows written;
    written.silent_targets = silent.SerializeAsString();
    REQUIRE(first.write(written) == row_outcome::written);
    if (given.earlier_release) {
        const auto stored = table.read("p0/head/owner");
        REQUIRE((stored && stored->size() == 1));
        pb::partition_head head;
        REQUIRE(head.ParseFromString(stored->front().value));
        head.set_owner("n2/1");
        head.set_epoch(head.epoch() + epochs_at_once);
        REQUIRE(table.transact({{"p0/head/owner", head.SerializeAsString(), write_condition::none, 0, false}})
                    .outcome == write_outcome::committed);
    }
    const int expected = given.earlier_release ? 0 : 1;
    partition_rows second{table, 0, "n3/1", "10.0.0.3:1", longest_lease};
    CHECK(load_as(second) == expected); // and dies before it writes anything
    partition_rows third{table, 0, "n4/1", "10.0.0.4:1", longest_lease};
    CHECK(load_as(third) == expected);
    REQUIRE(third.write({}) == row_outcome::written);
    partition_rows fourth{table, 0, "n5/1", "10.0.0.5:1", longest_lease};
    CHECK(load_as(fourth) == expected);
}

#include "job_world.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

/// Two partitions of one cell: "t0" and a silent target belong to the first, "t2" to the other.
class two_partitions {
public:
    two_partitions() {
        for (int i = 0; i < 2; ++i) {
            m_parts.push_back(std::make_unique<job_world>(
                job_world::options{.targets = i == 0 ? 2 : 1, .work = 1s, .partition = i}, 1, m_fleet));
        }
        run_for(1s);
        part(0).make_unresponsive("t1", 1h);
        run_for(6s);
    }

    job_world& part(int number) { return *m_parts.at(static_cast<std::size_t>(number)); }
    standin::job_target& target(const std::string& id) { return m_fleet->targets.at(id); }

    void run_for(milliseconds time) {
        constexpr milliseconds simulation_tick{20};
        for (milliseconds passed{0}; passed < time; passed += simulation_tick) {
            for (const auto& part : m_parts)
                part->run_for(simulation_tick);
        }
    }

    /// Transfers from partition 0 to the other, which wants all targets.
    int transfer_targets() {
        return part(0).transfer_targets(1, {{1'000'000, 4000}, 1'000'000, waiting_gang{0, 1'000'000}});
    }

    void tell() {
        for (const auto& transfer : part(0).take_completed_transfers())
            part(1).learn({{transfer.target, transfer.to}});
    }

private:
    std::shared_ptr<job_fleet> m_fleet = std::make_shared<job_fleet>();
    std::vector<std::unique_ptr<job_world>> m_parts;
};

} // namespace

TEST_CASE("an empty target is transferred and runs work of the other partition", "[transfers]") {
    two_partitions cell;
    cell.part(1).submit(simple_job("wide", {simple_step(8, 1000)}));
    REQUIRE(cell.transfer_targets() == 1);
    CHECK(cell.part(0).entries().size() == 1);
    cell.tell();
    cell.run_for(300ms);
    CHECK(cell.target("t0").running().size() == 4);
    CHECK(cell.target("t2").running().size() == 4);
    cell.run_for(3s);
    CHECK(cell.part(1).owner().state("wide") == pb::job_answer::completed);
    CHECK(cell.part(0).owner().count().targets == 1);
}

TEST_CASE("a target isn't transferred while state of its runs could be lost", "[transfers]") {
    struct row {
        const char* name;
        std::function<void(two_partitions&)> before;
    };
    const auto given = GENERATE(row{"it runs a task",
                                    [](two_partitions& cell) {
                                        cell.part(0).submit(simple_job("a", {simple_step(1, 1000)}));
                                        cell.run_for(200ms);
                                    }},
                                row{"a start may yet be carried out",
                                    [](two_partitions& cell) {
                                        cell.part(0).delay_commands(9s);
                                        cell.part(0).submit(simple_job("a", {simple_step(1, 1000)}));
                                        cell.run_for(700ms);
                                    }},
                                row{"the end of a task isn't recorded",
                                    [](two_partitions& cell) {
                                        cell.part(0).submit(simple_job("a", {simple_step(1, 1000)}));
                                        cell.run_for(900ms);
                                        cell.part(0).hold_writes(true);
                                        cell.run_for(400ms);
                                    }},
                                row{"it is silent",
                                    [](two_partitions& cell) {
                                        cell.part(0).make_unresponsive("t0", 20s);
                                        cell.run_for(7s);
                                    }},
                                row{"it hasn't answered a new owner yet",
                                    [](two_partitions& cell) {
                                        cell.part(0).make_unresponsive("t0", 20s);
                                        cell.part(0).take_over();
                                    }},
                                row{"it is being transferred", [](two_partitions& cell) {
                                        cell.part(0).hold_writes(true);
                                        REQUIRE(cell.transfer_targets() == 1);
                                    }});
    INFO(given.name);
    two_partitions cell;
    given.before(cell);
    CHECK(cell.transfer_targets() == 0);
}

TEST_CASE("nothing starts on a target once its transfer is decided", "[transfers]") {
    two_partitions cell;
    cell.part(0).hold_writes(true);
    REQUIRE(cell.transfer_targets() == 1);
    cell.part(0).submit(simple_job("a", {simple_step(1, 1000)}));
    cell.run_for(1s);
    CHECK(cell.target("t0").running().empty());
    CHECK(cell.part(1).entries().size() == 1); // not announced before it is written
    cell.part(0).hold_writes(false);
    cell.run_for(100ms);
    cell.tell();
    CHECK(cell.part(1).entries().size() == 2);
}

TEST_CASE("a target belongs to one partition after takeovers of both", "[transfers][recovery]") {
    struct row {
        const char* name;
        bool written; ///< the row was written before the source's owner died
        bool notified;
    };
    const auto given = GENERATE(row{"before the row is written", false, false},
                                row{"before the other partition is notified", true, false},
                                row{"after it was notified", true, true});
    const auto destination_too = GENERATE(false, true);
    INFO(given.name << (destination_too ? ", and the other's owner dies too" : ""));
    two_partitions cell;
    cell.part(0).hold_writes(!given.written);
    REQUIRE(cell.transfer_targets() == 1);
    if (given.notified)
        cell.tell();
    cell.part(0).take_over();
    cell.part(0).hold_writes(false);
    if (destination_too)
        cell.part(1).take_over();
    cell.run_for(2s);
    const auto givers = cell.part(0).entries().size();
    const auto takers = cell.part(1).entries().size();
    CHECK(givers + takers <= 3);
    if (given.written)
        CHECK(givers == 1);
    if (destination_too || given.notified)
        CHECK(givers + takers == 3);
}

TEST_CASE("a refused command of an earlier target assignment doesn't fence the owner",
          "[transfers][ownership]") {
    two_partitions cell;
    auto& source = cell.part(0).owner();
    start_stop_command late;
    late.target = "t0";
    late.task = {"a", 0, 0, 0};
    late.run = 1;
    late.fence = 1; // of the first assignment and epoch
    late.deadline_ms = 1'000'000;
    REQUIRE(cell.transfer_targets() == 1);
    cell.tell();
    cell.run_for(300ms);
    CHECK(cell.target("t0").start(cell.part(1).at(), late, {}, 1s) == command_outcome::fenced);
    source.handle_command_result(cell.part(0).at(), late, {command_outcome::fenced, {}});
    CHECK_FALSE(source.fenced());

    // It returns: a refusal of the earlier assignment's fence still says nothing about the owner; one of the
    // current fence does.
    REQUIRE(cell.part(1).transfer_targets(0, {{1'000'000, 0}, 1'000'000, waiting_gang{0, 1'000'000}}) >= 1);
    for (const auto& transfer : cell.part(1).take_completed_transfers())
        cell.part(0).learn({{transfer.target, transfer.to}});
    cell.run_for(300ms);
    source.handle_command_result(cell.part(0).at(), late, {command_outcome::fenced, {}});
    CHECK_FALSE(source.fenced());
    late.fence = (std::uint64_t{2} << 24) | 1;
    source.handle_command_result(cell.part(0).at(), late, {command_outcome::fenced, {}});
    CHECK(source.fenced());
}

TEST_CASE("the fence of a later target assignment is higher whatever the epochs", "[transfers][ownership]") {
    target_state target;
    std::uint64_t before = 0;
    for (const std::uint64_t transfers : {0, 1, 2, 700}) {
        target.entry.transfers = transfers;
        for (const std::uint64_t epoch : {1, 2, 90'000}) {
            CHECK(target.fence(epoch) > before);
            before = target.fence(epoch);
        }
    }
}

TEST_CASE("a transferred target returns home once it isn't needed", "[transfers]") {
    two_partitions cell;
    REQUIRE(cell.transfer_targets() == 1);
    cell.tell();
    cell.run_for(3s);
    CHECK(cell.part(1).entries().size() == 2);
    cell.run_for(6s);
    for (const auto& transfer : cell.part(1).take_completed_transfers())
        cell.part(0).learn({{transfer.target, transfer.to}});
    cell.run_for(100ms);
    CHECK(cell.part(0).entries().size() == 2);
    CHECK(cell.part(1).entries().size() == 1);
}

TEST_CASE("an owner that can't write starts nothing on a target transferred to it",
          "[transfers][ownership]") {
    two_partitions cell;
    cell.part(1).submit(simple_job("wide", {simple_step(8, 1000)}));
    cell.run_for(100ms);
    REQUIRE(cell.target("t2").running().size() == 4);
    cell.part(1).hold_writes(true); // another node may own the partition by now
    REQUIRE(cell.transfer_targets() == 1);
    cell.tell();
    cell.run_for(500ms);
    CHECK(cell.target("t0").running().empty());
    cell.part(1).hold_writes(false);
    cell.run_for(100ms);
    CHECK(cell.target("t0").running().size() == 4);
}

TEST_CASE("a new owner recovers runs on targets transferred to its partition, not on those transferred away",
          "[transfers][recovery]") {
    two_partitions cell;
    cell.part(1).submit(simple_job("wide", {simple_step(8, 1000)}));
    REQUIRE(cell.transfer_targets() == 1);
    cell.tell();
    cell.run_for(300ms);
    REQUIRE(cell.target("t0").running().size() == 4);
    cell.part(1).make_unresponsive("t0", 400ms);
    cell.part(1).take_over();
    cell.run_for(200ms);
    CHECK_FALSE(cell.part(1).owner().runs_known());
    cell.part(0).take_over();
    cell.run_for(100ms);
    CHECK(cell.part(0).owner().count().unconfirmed_targets == 1); // the silent one
    cell.run_for(9s);
    CHECK(cell.part(1).violation().empty());
    CHECK(cell.part(1).owner().state("wide") == pb::job_answer::completed);
}

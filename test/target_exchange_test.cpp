#include "cell/target_exchange.h"

#include "standin/memory_platform.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

/// Targets that run nothing and answer at once.
class idle_targets final : public target_port {
public:
    void send(const start_stop_command& /*command*/, milliseconds /*timeout*/,
              std::function<void(command_reply)> done) override {
        done({command_outcome::not_sent, {}});
    }
    void poll(const target_poll_command& /*command*/, milliseconds /*timeout*/,
              std::function<void(poll_result)> done) override {
        poll_result result;
        result.outcome = command_outcome::done;
        result.clock_ms = 1;
        result.complete = true;
        done(result);
    }
};

/// A cell of two partitions over one table, both owned by this node or one of them by another.
class cell_under_test final : public owner_lookup {
public:
    cell_under_test() {
        auto layout = std::make_shared<cell_layout>();
        layout->partitions = 2;
        auto targets = std::make_shared<std::vector<target_entry>>();
        for (int i = 0; i < 8; ++i) {
            auto& added = targets->emplace_back();
            added.id = "t" + std::to_string(i);
            added.rack = std::to_string(i);
            added.capacity = {4000, 8000, 0};
            layout->racks[rack_of(added)] = i % 2;
        }
        m_layout = layout;
        m_targets = targets;
    }

    std::shared_ptr<owned_partition> own(int number, const std::string& owner) {
        partition_environment environment;
        environment.rows = &m_rows;
        environment.commands = &m_commands;
        environment.counters = &m_counters;
        environment.ask = [](const advice_request&, auto done) { done(std::nullopt); };
        environment.announce = [this](const std::vector<target_transfer>& transfers) {
            exchange.announce(now(), transfers);
            announced += static_cast<int>(transfers.size());
        };
        owned_partition_options options{number, 2, owner, "10.0.0.1:1", 6000ms};
        auto owned = std::make_shared<owned_partition>(options, environment);
        owned->set_declarations({std::make_shared<cell_config>(), {}});
        owned->set_targets(m_layout, m_targets);
        owned->start();
        while (owned->status() == partition_status::taking_over)
            std::this_thread::sleep_for(1ms);
        return owned;
    }

    /// Makes partition 0 transfer all but one of its targets, and waits until that is written.
    void transfer_targets(owned_partition& from) {
        pb::target_request request;
        request.set_to(1);
        request.set_demand_cpu_milli(1'000'000);
        request.set_capacity_cpu_milli(16'000);
        request.set_wanted_cpu_milli(12'000);
        int promised = 0;
        while (promised == 0) {
            from.tick();
            promised = exchange.answer(request).targets();
            std::this_thread::sleep_for(1ms);
        }
        while (announced < promised)
            std::this_thread::sleep_for(1ms);
    }

    std::shared_ptr<owned_partition> local_partition(int number) const override {
        const auto found = local.find(number);
        return found == local.end() ? nullptr : found->second;
    }
    std::string remote_owner(int /*number*/) const override { return "10.0.0.2:1"; }

    std::map<int, std::shared_ptr<owned_partition>> local;
    std::vector<pb::target_notice> notices; ///< sent to other nodes
    std::vector<pb::target_request> requests;
    bool answers = false; ///< other nodes confirm notices
    std::atomic<int> announced{0};
    target_exchange exchange{
        *this,
        {[this](const std::string&, const pb::target_request& request,
                const peer_callback<pb::target_promise>&) { requests.push_back(request); },
         [this](const std::string&, const pb::target_notice& notice,
                const peer_callback<pb::target_notice_reply>& done) {
             notices.push_back(notice);
             pb::target_notice_reply reply;
             reply.set_taken(answers);
             done(peer_delivery::answered, reply);
         }},
        1};

private:
    standin::memory_table m_rows;
    idle_targets m_commands;
    metrics m_counters;
    std::shared_ptr<const cell_layout> m_layout;
    std::shared_ptr<const std::vector<target_entry>> m_targets;
};

} // namespace

TEST_CASE("transferred targets belong to the other partition, with or without a notice",
          "[transfers][recovery]") {
    const bool told = GENERATE(true, false);
    INFO((told ? "with a notice" : "without a notice"));
    cell_under_test cell;
    const auto source = cell.local[0] = cell.own(0, "n1/1");
    if (told)
        cell.local[1] = cell.own(1, "n1/1");
    cell.transfer_targets(*source);
    const auto remaining = source->targets().size();
    CHECK(remaining < 4);
    if (!told)
        cell.local[1] = cell.own(1, "n1/1"); // a new owner reads the transfer from the table
    CHECK(remaining + cell.local[1]->targets().size() == 8);
    source->join();
    const auto next = cell.own(0, "n2/1"); // nor does a new owner of the source take them back
    CHECK(next->targets().size() == remaining);
    next->join();
    cell.local[1]->join();
}

TEST_CASE("transfers are announced until another node confirms them", "[transfers]") {
    cell_under_test cell;
    const instant start{1h};
    cell.exchange.announce(start, {{"t0", {1, 1}}, {"t2", {1, 1}}});
    REQUIRE(cell.notices.size() == 1);
    CHECK(cell.notices[0].to() == 1);
    CHECK(cell.notices[0].transfers().size() == 2);
    cell.exchange.tick(start + 10ms, 2, {});
    CHECK(cell.notices.size() == 1);
    cell.answers = true;
    cell.exchange.tick(start + 1s, 2, {});
    CHECK(cell.notices.size() == 2);
    cell.exchange.tick(start + 2s, 2, {});
    CHECK(cell.notices.size() == 2);
}

TEST_CASE("a node that doesn't own the partition promises and accepts no targets", "[transfers]") {
    cell_under_test cell;
    pb::target_request request;
    request.set_from(0);
    request.set_to(1);
    request.set_demand_cpu_milli(1'000'000);
    request.set_wanted_cpu_milli(1'000'000);
    CHECK(cell.exchange.answer(request).targets() == 0);
    pb::target_notice notice;
    notice.set_to(1);
    (*notice.mutable_transfers())["t0"] = 1;
    CHECK_FALSE(cell.exchange.handle_notice(notice).taken());
}

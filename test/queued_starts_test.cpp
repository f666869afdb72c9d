// An owner, its queue of commands and a relay's, with targets that leave commands unanswered.

#include "cell/command_relay.h"
#include "cell/owned_partition.h"
#include "cell/relayed_targets.h"
#include "cell/target_command_limiter.h"

#include "standin/memory_platform.h"

#include <catch2/catch.hpp>

#include <future>
#include <mutex>
#include <thread>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

constexpr int wide = 64;

/// Answers polls at once, as an empty target, and commands when the test says so. Thread-safe.
class slow_targets final : public target_port {
public:
    using pending = std::pair<start_stop_command, std::function<void(command_reply)>>;

    void send(const start_stop_command& command, milliseconds /*timeout*/,
              std::function<void(command_reply)> done) override {
        const std::lock_guard lock{m_mutex};
        m_pending.emplace_back(command, std::move(done));
    }
    void poll(const target_poll_command& /*command*/, milliseconds /*timeout*/,
              std::function<void(poll_result)> done) override {
        poll_result lists;
        lists.outcome = command_outcome::done;
        lists.clock_ms = to_ms(now());
        lists.complete = true;
        done(lists);
    }
    std::vector<pending> take() {
        const std::lock_guard lock{m_mutex};
        return std::exchange(m_pending, {});
    }
    std::size_t waiting() {
        const std::lock_guard lock{m_mutex};
        return m_pending.size();
    }

private:
    std::mutex m_mutex;
    std::vector<pending> m_pending;
};

/// The owner of a partition with one target, whose commands go directly or through a relay.
class queueing_owner {
public:
    explicit queueing_owner(bool relayed) {
        target_entry target;
        target.id = "t1";
        target.data_centre = "near";
        target.capacity = {32'000, 64'000, 0};
        if (relayed) {
            m_relayed.set_targets({target});
            m_relayed.set_relays({{"n2", "10.0.0.2:1", "near"}});
        }
        partition_environment environment;
        environment.rows = &m_rows;
        environment.commands = &m_relayed;
        environment.counters = &m_counters;
        environment.ask = [](const advice_request&, auto done) { done(std::nullopt); };
        m_owned = std::make_unique<owned_partition>(
            owned_partition_options{0, 1, "n1/1", "10.0.0.1:1", 6000ms}, environment);
        auto config = std::make_shared<cell_config>();
        config->version = 1;
        config->queues["checks"].name = "checks";
        config->queues["checks"].latency_goal = 60s;
        config->teams["orchard"].name = "orchard";
        m_owned->set_declarations({config, {}});
        m_owned->start();
        await([this] { return m_owned->status() == partition_status::active; });
        auto layout = std::make_shared<cell_layout>();
        layout->partitions = 1;
        layout->racks[rack_of(target)] = 0;
        m_owned->set_targets(layout, std::make_shared<std::vector<target_entry>>(1, target));
    }

    /// Runs the owner and the relay until `ready`, or for a long time.
    template <typename Ready> bool await(Ready ready) {
        for (const auto end = now() + 20s; now() < end; std::this_thread::sleep_for(1ms)) {
            if (ready())
                return true;
            m_owned->tick();
            m_relay.tick(now());
            m_relayed.tick(now());
        }
        return false;
    }

    pb::job_answer::outcome call(pb::job_call::kind what, const std::string& id) {
        pb::job_call call;
        call.set_what(what);
        call.set_id(id);
        call.set_queue("checks");
        call.set_team("orchard");
        call.set_timeout_ms(60'000);
        auto& spec = *call.mutable_spec();
        spec.set_id(id);
        spec.set_queue("checks");
        spec.set_team("orchard");
        auto& step = *spec.add_steps();
        step.set_count(wide);
        step.set_estimate_ms(2000);
        step.mutable_need()->set_cpu_milli(500);
        const auto answer = std::make_shared<std::promise<pb::job_answer::outcome>>();
        m_owned->call(call, [answer](const pb::job_answer& made) { answer->set_value(made.result()); });
        auto answered = answer->get_future();
        await([&] { return answered.wait_for(0ms) == std::future_status::ready; });
        return answered.get();
    }

    slow_targets targets;

private:
    standin::memory_table m_rows;
    metrics m_counters;
    target_command_limiter m_owner_queue{targets};
    target_command_limiter m_relay_queue{targets};
    command_relay m_relay{m_relay_queue};
    relayed_targets m_relayed{"n1/1", m_owner_queue,
                              [this](const std::string& /*address*/, const pb::relay_call& call,
                                     milliseconds /*timeout*/, peer_callback<pb::relay_answer> done) {
                                  m_relay.take(now(), call, [done](pb::relay_answer answer) {
                                      done(peer_delivery::answered, std::move(answer));
                                  });
                              }};
    std::unique_ptr<owned_partition> m_owned; ///< its thread uses all of the above
};

} // namespace

// Guards against a task of a cancelled job that begins seconds after the acknowledgement, by a start that
// waited behind others without an answer.
TEST_CASE("starts that wait in a queue aren't sent once their job is cancelled", "[queued][limits]") {
    const bool relayed = GENERATE(false, true);
    INFO((relayed ? "through a relay" : "directly"));
    queueing_owner owner{relayed};
    REQUIRE(owner.call(pb::job_call::submit, "j") == pb::job_answer::ok);
    REQUIRE(owner.await([&] { return owner.targets.waiting() == max_commands_per_target; }));
    auto unanswered = owner.targets.take();
    REQUIRE(owner.call(pb::job_call::cancel, "j") == pb::job_answer::ok);
    int starts = 0;
    for (int rounds = 0; rounds < wide; ++rounds) {
        for (const auto& [command, done] : std::exchange(unanswered, {}))
            done({command_outcome::lost, {}});
        (void)owner.await([&] { return owner.targets.waiting() > 0 || rounds > 3; });
        unanswered = owner.targets.take();
        for (const auto& [command, done] : unanswered)
            starts += command.kind == command_kind::start ? 1 : 0;
    }
    CHECK(starts == 0);
}

// Guards against a gate that takes the time behind unanswered commands for its owner's load, and refuses a
// wide job in an idle cell.
TEST_CASE("the time that commands wait for a slot doesn't count as load", "[queued][load]") {
    queueing_owner owner{false};
    REQUIRE(owner.call(pb::job_call::submit, "j") == pb::job_answer::ok);
    int answered = 0;
    while (answered < wide) {
        REQUIRE(owner.await([&] { return owner.targets.waiting() > 0; }));
        std::this_thread::sleep_for(120ms);
        for (const auto& [command, done] : owner.targets.take()) {
            command_reply reply{command_outcome::done, {}};
            reply.queued = 1h; // as if it had waited for a slot all the time
            done(reply);
            ++answered;
        }
    }
    CHECK(owner.call(pb::job_call::submit, "k") == pb::job_answer::ok);
}

#include "cell/owned_partition.h"

#include "cell/adaptive_timeout.h"
#include "cell/admission.h"
#include "cell/clocks.h"
#include "cell/lease.h"
#include "cell/partition_reporter.h"
#include "cell/partition_rows.h"
#include "jobs/overload_gate.h"
#include "log.h"

#include "medlarhub/reason.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace medlarhub {

namespace {

using namespace std::chrono_literals;

/// Group commit: how long a write waits for further rows to share its transaction.
constexpr milliseconds group_commit_delay{5};
constexpr milliseconds write_retry{50};
constexpr milliseconds idle_wait{50};
/// The table counts as unavailable after writes have failed for this long.
constexpr milliseconds table_unavailable_after{400};
/// The owner confirms its ownership at least this often.
constexpr milliseconds confirm_period{1500};
/// Without a confirmation for this long no commands are sent, whatever other nodes report: one that isn't
/// heard may have taken the partition over.
constexpr milliseconds confirmation_expiry{2500};
/// A write without a response for this long counts as failing.
constexpr milliseconds slow_write_threshold{700};
constexpr milliseconds stall_tolerance{700};
constexpr milliseconds stop_timeout{500};
constexpr milliseconds poll_grace{1000};
constexpr milliseconds answer_margin{30};
constexpr milliseconds default_retry{500};
constexpr milliseconds outage_retry{1000};
constexpr milliseconds longest_retry{5000};
constexpr milliseconds report_period{1000};
constexpr double max_clock_drift = 1.02;

/// Every job produces ends of steps; all other events are rare enough for the info level.
bool wanted_at_info(const std::string& event) {
    return event != "step_done";
}

} // namespace

pb::job_answer make_job_answer(pb::job_answer::outcome outcome, std::string_view reason,
                               milliseconds retry_after) {
    pb::job_answer answer;
    answer.set_result(outcome);
    answer.set_reason(std::string{reason});
    answer.set_retry_after_ms(retry_after.count());
    return answer;
}

class owned_partition::impl : public std::enable_shared_from_this<impl> {
public:
    impl(owned_partition_options options, partition_environment environment)
        : m_options{std::move(options)},
          m_environment{std::move(environment)}, m_rows{*m_environment.rows, m_options.number,
                                                        m_options.owner, m_options.peer_address,
                                                        m_options.longest_lease},
          m_reporter{m_options.number, *m_environment.counters}, m_guard{stall_tolerance} {}

    void start() {
        m_thread = std::thread{[self = shared_from_this()] { self->work(); }};
    }

    void release(milliseconds longest) {
        locked([&](instant) {
            if (m_status != partition_status::active)
                return;
            m_status = partition_status::releasing;
            m_engine->withdraw_all_starts();
        });
        std::unique_lock lock{m_mutex};
        m_wake.notify_all();
        m_closed.wait_for(lock, longest, [&] { return m_status == partition_status::closed; });
    }

    void join() {
        {
            const std::lock_guard lock{m_mutex};
            m_stopping = true;
        }
        m_wake.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

    void set_declarations(const declarations& declared) {
        locked([&](instant) {
            m_declared = declared;
            if (m_engine) {
                m_engine->set_config(declared.config);
                m_engine->set_drained(declared.drained_data_centres);
            }
        });
    }

    void set_targets(std::shared_ptr<const cell_layout> layout,
                     std::shared_ptr<const std::vector<target_entry>> targets) {
        locked([&](instant at) {
            m_layout = std::move(layout);
            m_cell_targets = std::move(targets);
            update_engine_targets(at);
        });
    }

    std::vector<target_entry> targets() const {
        const std::lock_guard lock{m_mutex};
        return own_targets();
    }

    void update_assignments(const std::map<std::string, target_assignment>& assignments) {
        locked([&](instant at) {
            if (m_assignments.learn(assignments))
                update_engine_targets(at);
        });
    }

    std::optional<capacity_shortage> shortage() const {
        const std::lock_guard lock{m_mutex};
        return m_status == partition_status::active ? m_engine->shortage() : std::nullopt;
    }

    bool transfer_targets(const pb::target_request& request, pb::target_promise& promise) {
        bool owner = false;
        locked([&](instant at) {
            owner = m_status == partition_status::active;
            if (!owner || request.to() < 0 || request.to() >= m_options.partitions)
                return;
            capacity_shortage shortage{
                {request.demand_cpu_milli(), request.capacity_cpu_milli()}, request.wanted_cpu_milli(), {}};
            if (request.has_gang_accepted_ms())
                shortage.gang = waiting_gang{request.gang_accepted_ms(), request.gang_wanted_cpu_milli()};
            const auto load = m_engine->load();
            promise.set_demand_cpu_milli(load.demand_cpu_milli);
            promise.set_capacity_cpu_milli(load.capacity_cpu_milli);
            promise.set_targets(m_engine->transfer_targets(at, request.to(), shortage));
            if (promise.targets() == 0)
                return;
            log_event(log_level::info, "targets_promised",
                      {{"partition", std::to_string(m_options.number)},
                       {"to", std::to_string(request.to())},
                       {"targets", std::to_string(promise.targets())},
                       {"demand_cpu_milli", std::to_string(load.demand_cpu_milli)},
                       {"capacity_cpu_milli", std::to_string(load.capacity_cpu_milli)},
                       {"their_demand_cpu_milli", std::to_string(request.demand_cpu_milli())},
                       {"their_capacity_cpu_milli", std::to_string(request.capacity_cpu_milli())},
                       {"their_gang_accepted_ms", std::to_string(request.gang_accepted_ms())}});
        });
        return owner;
    }

    void record_load(int partition, const cpu_load& load) {
        const std::lock_guard lock{m_mutex};
        m_reporter.record_load(now(), partition, load);
    }

    void set_advice_relays(const std::vector<std::string>& nodes) {
        const std::lock_guard lock{m_mutex};
        m_advisers = nodes;
        if (m_engine)
            m_engine->set_advice_relays(nodes);
    }

    void call(const pb::job_call& call, job_callback done) {
        locked([&](instant at) {
            if (m_status != partition_status::active)
                return answer(done,
                              make_job_answer(pb::job_answer::not_owner, "not the owner", default_retry));
            switch (call.what()) {
            case pb::job_call::submit:
                return submit(at, call, std::move(done));
            case pb::job_call::cancel:
                return cancel(at, call, std::move(done));
            case pb::job_call::claim:
                return claim(at, call, std::move(done));
            case pb::job_call::holds: {
                const auto result =
                    m_engine->known(call.id()) ? pb::job_answer::ok : pb::job_answer::not_found;
                return answer(done, make_job_answer(result, {}, 0ms));
            }
            case pb::job_call::count_pending: {
                auto made = make_job_answer(pb::job_answer::ok, {}, 0ms);
                made.set_pending(m_engine->pending(call.queue()));
                return answer(done, std::move(made));
            }
            default: {
                auto made = make_job_answer(pb::job_answer::ok, {}, 0ms);
                made.set_state(m_engine->state(call.id()));
                if (made.state() == pb::job_answer::none || !is_accessible(call))
                    made = make_job_answer(pb::job_answer::not_found, "no such job", 0ms);
                return answer(done, std::move(made));
            }
            }
        });
    }

    void tick() {
        const auto boot = boot_time();
        locked([&](instant at) {
            if (m_guard.beat(boot))
                require_confirmation("the process was paused");
            if (!m_engine || m_status == partition_status::closed)
                return;
            if (m_status == partition_status::active)
                m_engine->tick(at);
            answer_expired_waiters(at);
            m_gate.tick(at);
            if (m_status == partition_status::active && at >= m_next_report) {
                m_next_report = at + report_period;
                report(at);
                m_claim_checks = m_engine->claims().take_due_checks(at);
            }
        });
    }

    partition_status status() const {
        const std::lock_guard lock{m_mutex};
        return m_status;
    }

    bool is_table_failing() const {
        const auto at = now();
        const std::lock_guard lock{m_mutex};
        if (m_status != partition_status::active)
            return false;
        return failing_since(at) != instant{};
    }

    void close_as_lost(std::string_view reason) {
        if (status() == partition_status::active)
            close(std::string{reason});
    }

    std::uint64_t epoch() const {
        const std::lock_guard lock{m_mutex};
        return m_epoch;
    }

private:
    /// A caller that waits until a job, or a claim of its id, is written.
    struct waiter {
        std::string job;
        job_callback done;
        instant deadline;
        std::optional<pb::job_answer> claim_answer; ///< the answer once the claim is written
    };

    /// Effects that were decided under the lock and are carried out after releasing it.
    struct outbox {
        std::vector<start_stop_command> commands;
        milliseconds start_timeout{0};
        std::vector<start_id> withdrawals;
        std::vector<target_poll_command> polls;
        std::vector<advice_request> advice_requests;
        std::vector<id_claims::check> claim_checks;
        std::vector<engine_event> events;
        std::vector<std::function<void()>> answers;
        bool wake = false;
    };

    template <typename Body> void locked(Body body) {
        outbox out;
        {
            const std::lock_guard lock{m_mutex};
            const auto began = std::chrono::steady_clock::now();
            const auto at = now();
            if (m_suspension.has_suspended(boot_time(), at) && m_engine)
                m_engine->forget_clocks();
            body(at);
            collect(at, out);
            m_engine_time += std::chrono::steady_clock::now() - began;
        }
        flush(out);
    }

    void answer(const job_callback& done, pb::job_answer made) {
        m_answers.emplace_back([done, made = std::move(made)] { done(made); });
    }

    [[nodiscard]] std::vector<target_entry> own_targets() const {
        return m_cell_targets && m_layout
                   ? assigned_targets(*m_layout, m_assignments, *m_cell_targets, m_options.number)
                   : std::vector<target_entry>{};
    }

    void update_engine_targets(instant at) {
        if (m_engine && m_cell_targets)
            m_engine->set_targets(at, own_targets());
    }

    void require_confirmation(std::string_view reason) {
        m_needs_confirmation = true;
        log_event(log_level::warning, "owner_stalled",
                  {{"partition", std::to_string(m_options.number)}, {"reason", std::string{reason}}});
    }

    /// Whether this node may still send commands to targets: its ownership was confirmed recently enough.
    bool may_command() {
        const auto boot = boot_time();
        if (m_guard.is_stalled(boot) && !m_needs_confirmation)
            require_confirmation("a long gap between ticks");
        if (m_needs_confirmation)
            return false;
        const auto age = boot - m_confirmed;
        if ((age > confirmation_expiry) != m_confirmation_expired) {
            m_confirmation_expired = !m_confirmation_expired;
            log_event(
                m_confirmation_expired ? log_level::warning : log_level::info,
                m_confirmation_expired ? "ownership_unconfirmed" : "ownership_confirmed",
                {{"partition", std::to_string(m_options.number)}, {"age_ms", std::to_string(age.count())}});
        }
        return !m_confirmation_expired;
    }

    void collect(instant at, outbox& out) {
        out.answers.swap(m_answers);
        if (!m_engine)
            return;
        if (m_status == partition_status::active && may_command())
            take_commands(at, out);
        out.events = m_engine->take_events();
        out.withdrawals = m_engine->take_withdrawals();
        if (m_status != partition_status::active)
            return;
        out.advice_requests = m_engine->take_advice_requests();
        out.claim_checks.swap(m_claim_checks);
        if (m_engine->fenced())
            m_needs_confirmation = true;
        out.wake = m_engine->write_due(at) || m_needs_confirmation;
    }

    void take_commands(instant at, outbox& out) {
        out.commands = m_engine->take_commands(at);
        out.start_timeout = m_start_timeout.timeout();
        out.polls = m_engine->take_polls(at);
    }

    void flush(outbox& out) {
        if (out.wake)
            m_wake.notify_all();
        for (const auto& start : out.withdrawals)
            m_environment.commands->withdraw(start);
        for (const auto& command : out.commands)
            send(command, command.kind == command_kind::start ? out.start_timeout : stop_timeout);
        for (const auto& command : out.polls)
            poll(command);
        for (const auto& request : out.advice_requests)
            ask(request);
        for (const auto& check : out.claim_checks)
            check_claim(check);
        for (const auto& answer : out.answers)
            answer();
        for (const auto& event : out.events)
            log_event(wanted_at_info(event.what) ? log_level::info : log_level::debug, event.what,
                      {{"request", event.job}, {"detail", event.detail}});
    }

    void send(const start_stop_command& command, milliseconds timeout) {
        m_environment.counters->count(command.kind == command_kind::start ? "starts_total" : "stops_total");
        const auto sent = now();
        m_environment.commands->send(command, timeout,
                                     [self = shared_from_this(), command, sent](const command_reply& reply) {
                                         self->locked([&](instant at) {
                                             self->observe(at, sent, command, reply);
                                             if (self->m_engine)
                                                 self->m_engine->handle_command_result(at, command, reply);
                                         });
                                     });
    }

    /// Learns from the time that a command took once there was a slot for it. The time before that shows that
    /// others to its target had no answer, and nothing about this owner.
    void observe(instant at, instant sent, const start_stop_command& command, const command_reply& reply) {
        if (is_never_sent(reply.outcome)) {
            const bool expired = reply.outcome == command_outcome::expired;
            m_environment.counters->count("commands_unsent_total",
                                          {{"reason", expired ? "expired" : "withdrawn"}});
            return;
        }
        const auto took = std::max(at - sent - reply.queued, 0ms);
        if (command.kind == command_kind::start)
            m_start_timeout.observe(took);
        // Targets answer immediately, so a slow answer was delayed by this owner's load.
        if (reply.outcome == command_outcome::done)
            m_gate.observe(at, took);
    }

    void poll(const target_poll_command& command) {
        m_environment.counters->count("polls_total");
        const auto sent = now();
        m_environment.commands->poll(command, command.wait + poll_grace,
                                     [self = shared_from_this(), command, sent](const poll_result& result) {
                                         self->locked([&](instant at) {
                                             if (self->m_engine)
                                                 self->m_engine->handle_poll_result(at, sent, command,
                                                                                    result);
                                         });
                                     });
    }

    void ask(const advice_request& request) {
        m_environment.counters->count("advice_total");
        m_environment.ask(request, [self = shared_from_this(), request](std::optional<advice_reply> reply) {
            self->locked([&](instant at) {
                if (!self->m_engine)
                    return;
                if (reply)
                    self->m_engine->handle_advice(at, request, reply->good, reply->valid_for);
                else
                    self->m_engine->handle_advice_failure(at, request);
            });
        });
    }

    /// Asks the partition that has the id whether it still knows the job.
    void check_claim(const id_claims::check& check) {
        m_environment.holds(check.partition, check.job,
                            [self = shared_from_this(), job = check.job](std::optional<bool> known) {
                                if (!known)
                                    return;
                                self->locked([&](instant at) {
                                    if (self->m_engine)
                                        self->m_engine->claims().handle_check(at, job, *known);
                                });
                            });
    }

    // ---- Callers ----

    /// Whether the job exists and is the caller's.
    bool is_accessible(const pb::job_call& call) const {
        const auto origin = m_engine->origin(call.id());
        return origin && may_access(call, *origin);
    }

    /// Returns since when writes to the table fail; unset while they succeed. A write without any response
    /// counts as failing before it times out.
    instant failing_since(instant at) const {
        if (m_failing_since != instant{})
            return m_failing_since;
        const bool waits = m_write_sent != instant{} && at - m_write_sent > slow_write_threshold;
        return waits ? m_write_sent + slow_write_threshold : instant{};
    }

    bool is_table_unavailable(instant at) const {
        const auto since = failing_since(at);
        return since != instant{} && at - since > table_unavailable_after;
    }

    void submit(instant at, const pb::job_call& call, job_callback done) {
        const auto& id = call.spec().id();
        if (!m_engine->known(id) && is_table_unavailable(at)) {
            log_event(log_level::info, "job_refused", {{"request", id}, {"reason", "the table is out"}});
            return answer(done, make_job_answer(pb::job_answer::not_run, "the table is out", outage_retry));
        }
        if (const auto fault = validation_error(call.spec()))
            return answer(done, make_job_answer(pb::job_answer::invalid, *fault, 0ms));
        if (const auto origin = m_engine->origin(id)) {
            if (may_repeat(call, *origin))
                return answer_when_durable(at, call, id, std::move(done));
            log_event(log_level::info, "id_in_use",
                      {{"request", id},
                       {"team", call.team()},
                       {"queue", call.queue()},
                       {"job_team", origin->team},
                       {"job_queue", origin->queue}});
            return answer(done, make_job_answer(pb::job_answer::conflict, "the id is in use", 0ms));
        }
        if (const auto holder = m_engine->claims().holder(id); holder && !call.claimed()) {
            auto elsewhere = make_job_answer(pb::job_answer::held_elsewhere, "the id was claimed", 0ms);
            elsewhere.set_held_by(*holder);
            return answer_when_claimed(at, call, std::move(elsewhere), std::move(done));
        }
        if (call.has_home() && call.home() != m_options.number) {
            // An earlier arrival was decided to be stored here, and wasn't; the id is free again once its
            // claim is removed. Here the job would run beside the limit of its team.
            log_event(log_level::info, "job_refused",
                      {{"request", id},
                       {"reason", "claimed for another home"},
                       {"home", std::to_string(call.home())},
                       {"partition", std::to_string(m_options.number)}});
            return answer(done, make_job_answer(pb::job_answer::not_run, "the id is claimed for another home",
                                                longest_retry));
        }
        const bool accepted_before = call.spec().accepted_ms() != 0;
        if (!accepted_before && refuse_if_overloaded(at, call.spec(), done))
            return;
        (void)m_engine->accept(at, call.spec());
        answer_when_durable(at, call, id, std::move(done));
    }

    bool refuse_if_overloaded(instant at, const pb::job_spec& spec, const job_callback& done) {
        int tasks = 0;
        for (const auto& step : spec.steps())
            tasks += step.count();
        const auto wait = m_engine->wait_if_too_late(at, spec);
        const bool too_many = !wait && !m_engine->has_memory_for(at, spec);
        if (!wait && !too_many && m_gate.admit(at, spec.team(), tasks))
            return false;
        const auto* reason = wait       ? "what is queued ahead of it takes too long"
                             : too_many ? "the owner has no memory for more tasks"
                                        : "the owner is overloaded";
        m_environment.counters->count("jobs_refused_total", {{"reason", wait       ? "backlog"
                                                                        : too_many ? "memory"
                                                                                   : "overload"}});
        const auto retry = wait ? std::min(*wait, longest_retry) : outage_retry;
        log_event(log_level::info, "job_refused",
                  {{"request", spec.id()},
                   {"team", spec.team()},
                   {"reason", reason},
                   {"wait_ms", std::to_string(wait.value_or(0ms).count())},
                   {"retry_after_ms", std::to_string(retry.count())}});
        answer(done, make_job_answer(pb::job_answer::not_run, reason, retry));
        return true;
    }

    /// Gives the id to the caller's home, unless another partition has it.
    void claim(instant at, const pb::job_call& call, job_callback done) {
        auto made = make_job_answer(pb::job_answer::ok, {}, 0ms);
        made.set_held_by(m_options.number);
        if (m_engine->known(call.id()))
            return answer(done, std::move(made));
        if (is_table_unavailable(at))
            return answer(done, make_job_answer(pb::job_answer::not_run, "the table is out", outage_retry));
        made.set_held_by(m_engine->claims().claim(at, call.id(), call.home()));
        m_environment.counters->count("claims_total");
        log_event(log_level::info, "id_claimed",
                  {{"request", call.id()},
                   {"arbiter", std::to_string(m_options.number)},
                   {"home", std::to_string(call.home())},
                   {"held_by", std::to_string(made.held_by())}});
        answer_when_claimed(at, call, std::move(made), std::move(done));
    }

    void answer_when_claimed(instant at, const pb::job_call& call, pb::job_answer made, job_callback done) {
        if (m_engine->claims().durable(call.id()))
            return answer(done, std::move(made));
        m_waiters.push_back({call.id(), std::move(done), at + milliseconds{call.timeout_ms()} - answer_margin,
                             std::move(made)});
    }

    void cancel(instant at, const pb::job_call& call, job_callback done) {
        if (!is_accessible(call) || !m_engine->cancel(at, call.id()))
            return answer(done, make_job_answer(pb::job_answer::not_found, "no such job", 0ms));
        answer_when_durable(at, call, call.id(), std::move(done));
    }

    void answer_when_durable(instant at, const pb::job_call& call, const std::string& id, job_callback done) {
        if (m_engine->durable(id))
            return answer(done, make_job_answer(pb::job_answer::ok, {}, 0ms));
        m_waiters.push_back({id, std::move(done), at + milliseconds{call.timeout_ms()} - answer_margin, {}});
    }

    void report(instant at) {
        partition_load_details details;
        details.epoch = m_epoch;
        details.deciding = std::chrono::round<milliseconds>(std::exchange(m_engine_time, {}));
        details.round_trip = m_gate.late();
        details.limiting = m_gate.limiting();
        details.callers = m_waiters.size();
        m_reporter.report(at, *m_engine, details);
    }

    void answer_durable_waiters() {
        std::erase_if(m_waiters, [&](const waiter& waiting) {
            const bool claim = waiting.claim_answer.has_value();
            if (claim ? !m_engine->claims().durable(waiting.job) : !m_engine->durable(waiting.job))
                return false;
            answer(waiting.done, waiting.claim_answer.value_or(make_job_answer(pb::job_answer::ok, {}, 0ms)));
            return true;
        });
    }

    void answer_expired_waiters(instant at) {
        std::erase_if(m_waiters, [&](const waiter& waiting) {
            // A claim that may be recorded harms nobody: its job is as free to be submitted as before.
            if (is_table_unavailable(at) && (waiting.claim_answer || m_engine->withdraw(waiting.job))) {
                answer(waiting.done,
                       make_job_answer(pb::job_answer::not_run, "the table is out", outage_retry));
                return true;
            }
            if (at < waiting.deadline)
                return false;
            answer(waiting.done, make_job_answer(pb::job_answer::unknown, "not recorded before the deadline",
                                                 default_retry));
            return true;
        });
    }

    // ---- Worker thread: ownership and writes ----

    void work() {
        if (!take()) {
            close("not taken: " + last_reason());
            return;
        }
        std::unique_lock lock{m_mutex};
        while (!m_stopping && m_status != partition_status::closed) {
            const auto due = [&] {
                return m_stopping || m_needs_confirmation || m_status == partition_status::releasing ||
                       m_engine->write_due(now());
            };
            m_wake.wait_for(lock, idle_wait, due);
            if (m_stopping)
                break;
            if (m_status == partition_status::releasing && !m_engine->write_due(now())) {
                lock.unlock();
                give_up();
                return;
            }
            const bool confirm = m_needs_confirmation || boot_time() - m_confirmed > confirm_period;
            if (m_engine->write_due(now())) {
                lock.unlock();
                std::this_thread::sleep_for(group_commit_delay);
                write();
                lock.lock();
            } else if (confirm) {
                lock.unlock();
                check_ownership();
                lock.lock();
            }
        }
    }

    /// Retries `read` until it succeeds; returns nothing once this node no longer owns the partition.
    template <typename Read> auto until_read(Read read) -> decltype(read()) {
        auto found = read();
        while (!found && !m_stopping && m_rows.confirm() != row_outcome::ownership_lost) {
            std::this_thread::sleep_for(write_retry);
            found = read();
        }
        return found;
    }

    std::optional<target_assignments> read_all_assignments() {
        target_assignments all;
        for (int partition = 0; partition < m_options.partitions && m_options.partitions > 1; ++partition) {
            const auto read = read_assignments(*m_environment.rows, partition);
            if (!read)
                return {};
            (void)all.learn(*read);
        }
        return all;
    }

    /// Nothing is claimed in a cell of one partition.
    std::optional<std::map<std::string, int>> read_own_claims() {
        if (m_options.partitions <= 1)
            return std::map<std::string, int>{};
        return read_claims(*m_environment.rows, m_options.number);
    }

    bool take() {
        const auto began = now();
        const auto epoch = m_rows.take();
        if (!epoch)
            return false;
        const auto fenced = now();
        const auto content = until_read([this] { return m_rows.load(); });
        const auto assignments =
            content ? until_read([this] { return read_all_assignments(); }) : std::nullopt;
        const auto claims = assignments ? until_read([this] { return read_own_claims(); }) : std::nullopt;
        if (!claims)
            return false;
        engine_options options;
        options.partition = m_options.number;
        options.epoch = *epoch;
        options.last_epoch = m_rows.last_epoch();
        options.lease = lease_to_request(m_options.longest_lease);
        options.earlier_lease = m_rows.earlier_lease();
        options.longest_lease = m_options.longest_lease;
        options.max_kept_tasks = m_options.max_kept_tasks;
        options.learned_run_times = m_options.learned_run_times;
        options.fair_shares = m_options.fair_shares;
        const auto lease_expiry_ms = static_cast<double>(m_rows.earlier_lease().count()) * max_clock_drift;
        // A previous owner may send commands until it notices that another node owns the partition.
        options.max_unknown_run_time = (m_rows.sole_owner() ? max_command_delay : confirmation_expiry) +
                                       milliseconds{static_cast<std::int64_t>(lease_expiry_ms)};
        locked([&](instant at) {
            m_engine = std::make_unique<job_engine>(options);
            if (m_declared.config)
                m_engine->set_config(m_declared.config);
            m_engine->set_drained(m_declared.drained_data_centres);
            m_engine->set_advice_relays(m_advisers);
            m_engine->restore(content->specs, content->progress);
            m_engine->restore_run_times(content->run_times);
            m_engine->restore_claims(at, *claims);
            (void)m_assignments.learn(*assignments);
            if (const auto& clock = m_rows.table_clock())
                m_engine->set_table_clock(*clock);
            m_engine->restore_roster(at, content->roster, content->silent_targets);
            update_engine_targets(at);
            m_epoch = m_rows.last_epoch();
            m_confirmed = boot_time();
            m_guard.beat(m_confirmed);
            m_status = partition_status::active;
        });
        log_event(log_level::info, "partition_taken",
                  {{"partition", std::to_string(m_options.number)},
                   {"epoch", std::to_string(*epoch)},
                   {"open", std::to_string(content->specs.size())},
                   {"kept", std::to_string(content->progress.size())},
                   {"claims", std::to_string(claims->size())},
                   {"earlier_lease_ms", std::to_string(m_rows.earlier_lease().count())},
                   {"fence_ms", std::to_string((fenced - began).count())},
                   {"load_ms", std::to_string((now() - fenced).count())}});
        return true;
    }

    void write() {
        job_rows rows;
        {
            const std::lock_guard lock{m_mutex};
            rows = m_engine->take_rows(now());
            m_rows.set_lease(m_engine->longest_granted(now()));
            if (m_engine->runs_known())
                m_rows.forget_earlier_lease();
            m_rows.set_wanted_epoch(m_engine->wanted_epoch());
        }
        std::vector<target_transfer> transfers;
        for (;;) {
            const auto sent = boot_time();
            set_write_sent(now());
            const auto outcome = m_rows.write(rows);
            set_write_sent({});
            m_environment.counters->count("table_writes_total");
            if (outcome == row_outcome::ownership_lost)
                return close("another node owns the partition");
            if (outcome == row_outcome::written) {
                locked([&](instant at) {
                    confirmed(sent);
                    if (m_failing_since != instant{})
                        log_event(log_level::info, "table_back", {});
                    m_failing_since = {};
                    m_epoch = m_rows.last_epoch();
                    m_engine->set_last_epoch(m_epoch);
                    if (const auto& clock = m_rows.table_clock())
                        m_engine->set_table_clock(*clock);
                    m_engine->rows_written(at);
                    answer_durable_waiters();
                    transfers = m_engine->take_completed_transfers();
                    for (const auto& transfer : transfers)
                        (void)m_assignments.learn({{transfer.target, transfer.to}});
                });
                if (!transfers.empty())
                    m_environment.announce(transfers);
                return;
            }
            {
                const std::lock_guard lock{m_mutex};
                if (m_stopping || m_status == partition_status::closed)
                    return;
                failing(now());
            }
            std::this_thread::sleep_for(write_retry);
        }
    }

    void set_write_sent(instant at) {
        const std::lock_guard lock{m_mutex};
        m_write_sent = at;
    }

    void failing(instant at) {
        if (m_failing_since != instant{})
            return;
        m_failing_since = at;
        log_event(log_level::warning, "table_lost", {{"reason", last_reason()}});
    }

    void confirmed(milliseconds sent) {
        m_confirmed = std::max(m_confirmed, sent);
        m_needs_confirmation = false;
    }

    void check_ownership() {
        const auto sent = boot_time();
        const auto outcome = m_rows.confirm();
        if (outcome == row_outcome::ownership_lost)
            return close("another node owns the partition");
        if (outcome == row_outcome::written) {
            locked([&](instant) {
                if (m_engine->fenced())
                    return;
                confirmed(sent);
                m_failing_since = {};
            });
            return;
        }
        {
            const std::lock_guard lock{m_mutex};
            failing(now());
        }
        std::this_thread::sleep_for(write_retry);
    }

    void give_up() {
        {
            const std::lock_guard lock{m_mutex};
            m_rows.set_lease(m_engine->longest_granted(now()));
        }
        const auto outcome = m_rows.release();
        close(outcome == row_outcome::written ? "released" : "released, but the table gave no answer");
    }

    void close(const std::string& reason) {
        locked([&](instant) {
            if (m_status == partition_status::closed)
                return;
            m_status = partition_status::closed;
            if (m_engine)
                m_engine->withdraw_all_starts();
            // A job that is part of a write may have been recorded; only one that never was is safe to
            // resubmit as new.
            for (const auto& waiting : m_waiters) {
                const bool surely_not_run =
                    waiting.claim_answer || (m_engine && m_engine->withdraw(waiting.job));
                const auto outcome = surely_not_run ? pb::job_answer::not_owner : pb::job_answer::unknown;
                answer(waiting.done, make_job_answer(outcome, "the partition moved", default_retry));
            }
            m_waiters.clear();
        });
        m_closed.notify_all();
        log_event(log_level::info, "partition_closed",
                  {{"partition", std::to_string(m_options.number)}, {"reason", reason}});
    }

    owned_partition_options m_options;
    partition_environment m_environment;
    partition_rows m_rows; ///< used by the worker thread only

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_closed;
    std::unique_ptr<job_engine> m_engine;
    partition_status m_status = partition_status::taking_over;
    std::uint64_t m_epoch = 0;
    declarations m_declared;
    std::shared_ptr<const cell_layout> m_layout;
    std::shared_ptr<const std::vector<target_entry>> m_cell_targets;
    target_assignments m_assignments;
    partition_reporter m_reporter;
    std::vector<std::string> m_advisers;
    std::vector<waiter> m_waiters;
    std::vector<id_claims::check> m_claim_checks; ///< to be sent
    std::vector<std::function<void()>> m_answers;
    stall_guard m_guard;
    suspension_guard m_suspension;
    milliseconds m_confirmed{0}; ///< `boot_time` of the last confirmation
    bool m_needs_confirmation = false;
    bool m_confirmation_expired = false;
    overload_gate m_gate;
    adaptive_timeout m_start_timeout;          ///< for starts
    std::chrono::nanoseconds m_engine_time{0}; ///< time spent in the engine since the last report
    instant m_next_report{};
    instant m_failing_since{};
    instant m_write_sent{}; ///< of the write in flight
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

owned_partition::owned_partition(owned_partition_options options, partition_environment environment)
    : m_impl{std::make_shared<impl>(std::move(options), std::move(environment))} {}
owned_partition::~owned_partition() {
    m_impl->join();
}

void owned_partition::start() {
    m_impl->start();
}
void owned_partition::release(milliseconds longest) {
    m_impl->release(longest);
}
void owned_partition::join() {
    m_impl->join();
}
void owned_partition::set_declarations(const declarations& declared) {
    m_impl->set_declarations(declared);
}
void owned_partition::set_targets(std::shared_ptr<const cell_layout> layout,
                                  std::shared_ptr<const std::vector<target_entry>> targets) {
    m_impl->set_targets(std::move(layout), std::move(targets));
}
std::vector<target_entry> owned_partition::targets() const {
    return m_impl->targets();
}
void owned_partition::update_assignments(const std::map<std::string, target_assignment>& assignments) {
    m_impl->update_assignments(assignments);
}
std::optional<capacity_shortage> owned_partition::shortage() const {
    return m_impl->shortage();
}
bool owned_partition::transfer_targets(const pb::target_request& request, pb::target_promise& promise) {
    return m_impl->transfer_targets(request, promise);
}
void owned_partition::record_load(int partition, const cpu_load& load) {
    m_impl->record_load(partition, load);
}
void owned_partition::set_advice_relays(const std::vector<std::string>& nodes) {
    m_impl->set_advice_relays(nodes);
}
void owned_partition::call(const pb::job_call& call, job_callback done) {
    m_impl->call(call, std::move(done));
}
void owned_partition::close_as_lost(std::string_view reason) {
    m_impl->close_as_lost(reason);
}
bool owned_partition::is_table_failing() const {
    return m_impl->is_table_failing();
}
void owned_partition::tick() {
    m_impl->tick();
}
partition_status owned_partition::status() const {
    return m_impl->status();
}
std::uint64_t owned_partition::epoch() const {
    return m_impl->epoch();
}

} // namespace medlarhub

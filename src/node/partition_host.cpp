#include "node/partition_host.h"

#include "log.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <thread>

namespace medlarhub {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_group_bytes = 200'000;
constexpr milliseconds poll_spacing{50};
constexpr milliseconds poll_retry{500};
constexpr int failed_polls_until_silent = 2; ///< consecutive polls without a usable answer
/// A caller gets its final answer this long before its deadline, so that it arrives in time.
constexpr milliseconds answer_margin{5};
constexpr milliseconds max_result_wait{10'000}; ///< how long a start call may wait at a target for the result
constexpr milliseconds call_grace{1000}; ///< the lease of a quick request ends this long after its deadline
constexpr milliseconds ownership_check_interval{3000};
/// Leases are renewed for this long after the store last confirmed the ownership.
constexpr milliseconds ownership_validity{8000};
constexpr milliseconds release_timeout{5000};
constexpr milliseconds max_write_delay{200}; ///< for records that no caller waits for
constexpr milliseconds default_retry_after{200};

/// Makes the answer that tells a caller the state of its job. The answer to a single request has the outcome
/// and result of its task.
pb::answer make_state_answer(const pb::job& item) {
    pb::answer answer;
    answer.set_request_id(item.request_id());
    *answer.mutable_item() = item;
    answer.mutable_item()->clear_body();
    if (item.type() != pb::job::request) {
        answer.set_result(item.finished_ms() != 0 ? pb::answer::done : pb::answer::accepted);
        return answer;
    }
    const auto& task = item.tasks(0);
    switch (task.state()) {
    case pb::task::done:
        answer.set_result(pb::answer::done);
        answer.set_body(task.result());
        break;
    case pb::task::failed:
        answer.set_result(pb::answer::failed);
        answer.set_reason(task.reason());
        answer.set_body(task.result());
        break;
    case pb::task::cancelled:
        // If it was cancelled during or after its start at a target, it may have run in part.
        answer.set_result(task.may_have_run() || !task.target().empty() ? pb::answer::cancelled
                                                                        : pb::answer::not_run);
        answer.set_reason("cancelled");
        break;
    case pb::task::unknown:
        answer.set_result(pb::answer::unknown);
        answer.set_reason(task.reason());
        break;
    default:
        answer.set_result(pb::answer::accepted);
    }
    return answer;
}

} // namespace

pb::answer make_answer(pb::answer::outcome outcome, std::string_view reason, milliseconds retry_after) {
    pb::answer answer;
    answer.set_result(outcome);
    answer.set_reason(std::string{reason});
    answer.set_retry_after_ms(retry_after.count());
    return answer;
}

class partition_host::impl : public std::enable_shared_from_this<impl> {
public:
    impl(host_environment environment, int number)
        : m_environment{std::move(environment)}, m_number{number}, m_partition{std::make_unique<partition>(
                                                                       make_partition_options())},
          m_journal{m_environment.rows, m_environment.objects, m_environment.write_limiter, number,
                    m_environment.writer} {}

    void start() {
        m_thread = std::thread{[self = shared_from_this()] { self->run_journal(); }};
    }

    void join() {
        {
            const std::lock_guard lock{m_mutex};
            m_stopping = true;
        }
        m_wake_journal.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

    void set_fleet(const std::vector<vm_info>& targets) {
        const std::lock_guard lock{m_mutex};
        m_target_vms = targets;
        if (m_status == host_status::active)
            m_partition->set_fleet(m_target_vms, *m_environment.config());
    }

    void config_changed() {
        with_lock([&](instant at) {
            if (m_status == host_status::active)
                apply_config(at);
        });
    }

    void tick(instant at) {
        with_lock([&](instant) {
            if (m_status != host_status::active)
                return;
            m_partition->tick(at);
            answer_expiring_callers(at);
            advance_direct_queue(at);
            poll_targets(at);
        });
    }

    void submit(const pb::call& call, answer_callback done) {
        with_lock([&](instant at) { submit_locked(at, call, std::move(done)); });
    }

    void run(const pb::call& call, answer_callback done) {
        with_lock([&](instant at) { run_locked(at, call, std::move(done)); });
    }

    void query(const pb::call& call, answer_callback done) {
        with_lock([&](instant) {
            if (m_status != host_status::active)
                return queue_answer(std::move(done), call, not_owner());
            const auto id = make_job_id(call.team(), call.request_id());
            const auto* item = m_partition->find(id);
            if (item == nullptr)
                return queue_answer(std::move(done), call,
                                    make_answer(pb::answer::not_found, "no such request"));
            if (!m_partition->durable(id))
                return queue_answer(std::move(done), call,
                                    make_answer(pb::answer::unknown,
                                                "the request's record is not confirmed yet",
                                                default_retry_after));
            auto answer = make_state_answer(*item);
            queue_answer(std::move(done), call, std::move(answer));
        });
    }

    void cancel(const pb::call& call, answer_callback done) {
        with_lock([&](instant at) {
            if (m_status != host_status::active)
                return queue_answer(std::move(done), call, not_owner());
            const auto id = make_job_id(call.team(), call.request_id());
            if (m_partition->find(id) == nullptr)
                return queue_answer(std::move(done), call,
                                    make_answer(pb::answer::not_found, "no such request"));
            if (m_environment.write_limiter.is_table_down())
                return queue_answer(std::move(done), call, make_outage_answer(at));
            m_partition->cancel(at, id);
            if (!m_partition->has_uncommitted()) {
                auto answer = make_state_answer(*m_partition->find(id));
                return queue_answer(std::move(done), call, std::move(answer));
            }
            m_cancel_waiters.push_back({m_partition->generation(), call, std::move(done)});
        });
    }

    void release(std::function<void(bool)> done) {
        const std::lock_guard lock{m_mutex};
        if (m_status != host_status::active) {
            done(m_status == host_status::closed);
            return;
        }
        m_status = host_status::releasing;
        m_release_deadline = now() + release_timeout;
        m_release_done = std::move(done);
        m_wake_journal.notify_all();
    }

    std::vector<pb::job> jobs(const std::string& team, std::size_t limit) const {
        const std::lock_guard lock{m_mutex};
        return m_status == host_status::active ? m_partition->jobs(team, limit) : std::vector<pb::job>{};
    }

    host_status status() const {
        const std::lock_guard lock{m_mutex};
        return m_status;
    }

    pb::partition_summary summary() const {
        const std::lock_guard lock{m_mutex};
        pb::partition_summary summary;
        summary.set_partition(m_number);
        if (m_status != host_status::active)
            return summary;
        const auto free = m_partition->pool().free();
        summary.set_owner(m_environment.options.node);
        summary.set_epoch(m_partition->epoch());
        summary.set_free_cpu_milli(free.cpu_milli);
        summary.set_slots(m_partition->pool().slots());
        summary.set_free_slots(m_partition->pool().free_slots());
        summary.set_wait_ms(m_partition->direct().expected_wait().count());
        summary.set_version(++m_summary_version);
        if (!m_partition->pool().all().empty())
            summary.set_data_centre(m_partition->pool().all().front().info.data_centre);
        return summary;
    }

    std::map<std::string, partition::demand> demands() const {
        const std::lock_guard lock{m_mutex};
        return m_status == host_status::active ? m_partition->demands()
                                               : std::map<std::string, partition::demand>{};
    }

    void set_allotment(const std::string& team, std::optional<std::int64_t> cpu_milli) {
        const std::lock_guard lock{m_mutex};
        m_partition->set_allotment(team, cpu_milli);
    }

    bool is_usage_known(instant at) const {
        const std::lock_guard lock{m_mutex};
        if (m_status != host_status::active)
            return false;
        const auto& targets = m_partition->pool().all();
        if (std::ranges::all_of(targets, &target_view::confirmed))
            return true;
        return at - m_active_since > ownership_validity + max_result_wait;
    }

    int number() const { return m_number; }

    std::map<std::string, std::int64_t> counts() const {
        const std::lock_guard lock{m_mutex};
        std::map<std::string, std::int64_t> counts;
        if (m_status != host_status::active)
            return counts;
        counts["jobs"] = static_cast<std::int64_t>(m_partition->job_count());
        counts["queued_tasks"] = static_cast<std::int64_t>(m_partition->queued_tasks());
        counts["placed_tasks"] = static_cast<std::int64_t>(m_partition->placed_tasks());
        counts["direct_running"] = static_cast<std::int64_t>(m_partition->direct().running());
        counts["direct_waiting"] = static_cast<std::int64_t>(m_partition->direct().waiting());
        counts["waiting_callers"] = static_cast<std::int64_t>(m_waiters.size());
        return counts;
    }

    std::map<std::string, team_holding> teams() const {
        const std::lock_guard lock{m_mutex};
        std::map<std::string, team_holding> teams;
        for (const auto& team : m_partition->shares().teams())
            teams[team] = {m_partition->shares().held(team).cpu_milli, m_partition->shares().allotment(team)};
        return teams;
    }

    std::vector<target_view> targets() const {
        const std::lock_guard lock{m_mutex};
        return m_partition->pool().all();
    }

private:
    struct waiter {
        pb::call call;
        answer_callback done;
        instant deadline;
        bool wait_for_end = false; ///< answered when the job has ended, otherwise once it is recorded
    };

    struct cancel_waiter {
        std::uint64_t generation = 0;
        pb::call call;
        answer_callback done;
    };

    struct direct_call {
        pb::call call;
        answer_callback done;
    };

    struct poll_state {
        bool outstanding = false;
        std::uint64_t version = 0;
        int lost = 0;
        instant next{};
    };

    partition_options make_partition_options() const {
        partition_options options;
        options.number = m_number;
        options.seed = random_bits();
        options.retention = m_environment.options.retention;
        return options;
    }

    /// Runs `body` and carries out the resulting effects under the lock, then answers callers without it.
    template <typename Body> void with_lock(Body body) {
        std::vector<std::function<void()>> answers;
        {
            const std::lock_guard lock{m_mutex};
            body(now());
            apply_effects(now());
            answers.swap(m_queued_answers);
        }
        for (const auto& answer : answers)
            answer();
    }

    /// Queues an answer that `with_lock` sends after it has released the lock.
    void queue_answer(answer_callback done, const pb::call& call, pb::answer answer) {
        answer.set_request_id(call.request_id());
        answer.set_correlation(call.correlation());
        answer.set_body_bytes(answer.body().size());
        m_queued_answers.emplace_back(
            [done = std::move(done), answer = std::move(answer)]() mutable { done(std::move(answer)); });
    }

    pb::answer not_owner() const {
        auto answer =
            make_answer(pb::answer::not_owner, "this node doesn't own the partition", default_retry_after);
        return answer;
    }

    pb::answer make_outage_answer(instant at) const {
        return make_answer(pb::answer::not_run, "the platform's table is unavailable",
                           m_environment.write_limiter.retry_after(at));
    }

    // ---- Durable work ----

    void submit_locked(instant at, const pb::call& call, answer_callback done) {
        if (m_status != host_status::active)
            return queue_answer(std::move(done), call, not_owner());
        const auto& item = call.item();
        const auto id = make_job_id(item.team(), item.request_id());
        const bool known = m_partition->find(id) != nullptr;
        if (!known && m_environment.write_limiter.is_table_down())
            return queue_answer(std::move(done), call, make_outage_answer(at));
        if (m_waiters.size() >= static_cast<std::size_t>(m_environment.options.max_waiting))
            return queue_answer(
                std::move(done), call,
                make_answer(pb::answer::not_run, "too many requests wait", default_retry_after));
        const auto config = m_environment.config();
        const auto* doc = config->service(item.service());
        if (!known && doc != nullptr && doc->when_full == full_policy::refuse &&
            !m_partition->has_capacity(at, item))
            return queue_answer(
                std::move(done), call,
                make_answer(pb::answer::not_run, "the partition has no free capacity", default_retry_after));
        switch (m_partition->submit(at, item)) {
        case submit_outcome::conflict:
            return queue_answer(
                std::move(done), call,
                make_answer(pb::answer::conflict, "the request id was already used with another body"));
        case submit_outcome::impossible:
            return queue_answer(
                std::move(done), call,
                make_answer(pb::answer::impossible, "no VM of the partition can hold what it needs"));
        case submit_outcome::known:
        case submit_outcome::accepted:
            break;
        }
        const auto* present = m_partition->find(id);
        const bool wait_for_end = present->type() == pb::job::request;
        if (m_partition->durable(id) && (present->finished_ms() != 0 || !wait_for_end)) {
            auto answer = make_state_answer(*present);
            return queue_answer(std::move(done), call, std::move(answer));
        }
        m_waiters.emplace(id, waiter{call, std::move(done), from_ms(call.deadline_ms()), wait_for_end});
    }

    void answer_waiters(const std::string& id, bool ended) {
        const auto* item = m_partition->find(id);
        if (item == nullptr)
            return;
        auto [it, last] = m_waiters.equal_range(id);
        while (it != last) {
            if (it->second.wait_for_end && !ended) {
                ++it;
                continue;
            }
            auto answer = make_state_answer(*item);
            if (answer.result() == pb::answer::not_run)
                answer.set_retry_after_ms(default_retry_after.count());
            queue_answer(std::move(it->second.done), it->second.call, std::move(answer));
            it = m_waiters.erase(it);
        }
    }

    /// Gives each caller whose deadline is imminent its final answer.
    void answer_expiring_callers(instant at) {
        if (at < m_next_deadline_check)
            return;
        m_next_deadline_check = at + answer_margin;
        for (auto it = m_waiters.begin(); it != m_waiters.end();) {
            const auto& id = it->first;
            auto& waiting = it->second;
            const auto* item = m_partition->find(id);
            // Unplaced work is cancelled early enough for the record to be written before the deadline.
            if (item != nullptr && waiting.wait_for_end && !item->cancelled() &&
                !m_environment.write_limiter.is_table_down() &&
                at + cancel_margin(waiting) >= waiting.deadline && m_partition->durable(id))
                m_partition->cancel_unplaced(at, id);
            if (at + answer_margin < waiting.deadline) {
                ++it;
                continue;
            }
            const bool durable = m_partition->durable(id);
            auto answer = durable
                              ? make_answer(pb::answer::accepted,
                                            "the work continues; query the request for its outcome",
                                            default_retry_after)
                              : make_answer(pb::answer::unknown,
                                            "it is unknown whether the request was recorded; query it again",
                                            m_environment.write_limiter.retry_after(at));
            if (durable && item != nullptr) {
                *answer.mutable_item() = *item;
                answer.mutable_item()->clear_body();
            }
            queue_answer(std::move(waiting.done), waiting.call, std::move(answer));
            it = m_waiters.erase(it);
        }
    }

    static milliseconds cancel_margin(const waiter& waiting) {
        constexpr milliseconds longest{100};
        const auto whole = milliseconds{waiting.call.item().deadline_ms()};
        return std::min(longest, whole / 5);
    }

    // ---- Quick requests ----

    void run_locked(instant at, const pb::call& call, answer_callback done) {
        if (m_status != host_status::active)
            return queue_answer(std::move(done), call, not_owner());
        if (m_direct_calls.size() >= static_cast<std::size_t>(m_environment.options.max_waiting))
            return queue_answer(
                std::move(done), call,
                make_answer(pb::answer::not_run, "too many requests wait", default_retry_after));
        const auto& item = call.item();
        direct_request request;
        request.token = ++m_last_token;
        request.team = item.team();
        request.service = item.service();
        request.need = {item.need().cpu_milli(), item.need().memory_mb(), item.need().accelerators()};
        request.run_estimate = milliseconds{item.run_ms()};
        request.deadline = from_ms(call.deadline_ms());
        if (!m_partition->pool().all().empty() && !m_partition->pool().could_fit(request.need))
            return queue_answer(
                std::move(done), call,
                make_answer(pb::answer::impossible, "no VM of the partition can hold what it needs"));
        const auto decision = m_partition->direct().admit(at, request);
        if (decision.outcome == direct_outcome::refused)
            return queue_answer(std::move(done), call,
                                make_answer(pb::answer::not_run, decision.reason, decision.retry_after));
        m_direct_calls.emplace(request.token, direct_call{call, std::move(done)});
        if (decision.outcome == direct_outcome::placed)
            send_direct(at, request.token, decision.target);
    }

    void advance_direct_queue(instant at) {
        for (const auto token : m_partition->direct().take_expired(at))
            finish_direct(token,
                          make_answer(pb::answer::not_run, "the deadline can't be met",
                                      std::max(m_partition->direct().expected_wait(), default_retry_after)));
        for (const auto& started : m_partition->direct().start_ready(at))
            send_direct(at, started.token, started.target);
    }

    void finish_direct(std::uint64_t token, pb::answer answer) {
        const auto found = m_direct_calls.find(token);
        if (found == m_direct_calls.end())
            return;
        queue_answer(std::move(found->second.done), found->second.call, std::move(answer));
        m_direct_calls.erase(found);
    }

    void send_direct(instant at, std::uint64_t token, const std::string& name) {
        const auto found = m_direct_calls.find(token);
        const auto* target = m_partition->pool().find(name);
        if (found == m_direct_calls.end() || target == nullptr)
            return;
        if (const auto reason = reason_not_to_send(target->info)) {
            m_partition->direct().refused(at, token);
            return finish_direct(token, make_answer(pb::answer::not_run, *reason, default_retry_after));
        }
        const auto& call = found->second.call;
        start_command command;
        command.task_id = "direct/" + m_environment.writer + "/" + std::to_string(token);
        command.need = {call.item().need().cpu_milli(), call.item().need().memory_mb(),
                        call.item().need().accelerators()};
        command.run_time = milliseconds{call.item().run_ms()};
        command.wait = std::max(from_ms(call.deadline_ms()) - at, 1ms);
        command.lease = command.wait + call_grace;
        command.timeout = command.wait;
        command.direct = true;
        command.incarnation = target->incarnation;
        command.body = call.item().body();
        m_environment.targets.start(
            target->info, authority(), command, [self = shared_from_this(), token](start_answer answer) {
                self->with_lock([&](instant then) { self->direct_answered(then, token, answer); });
            });
    }

    void direct_answered(instant at, std::uint64_t token, start_answer& answer) {
        auto& direct = m_partition->direct();
        switch (answer.outcome) {
        case start_outcome::done: {
            direct.finished(at, token, false);
            pb::answer reply = make_answer(pb::answer::done, {});
            reply.set_body(std::move(answer.result));
            finish_direct(token, std::move(reply));
            break;
        }
        case start_outcome::failed:
            direct.finished(at, token, true);
            finish_direct(token, make_answer(pb::answer::failed, "the target reported a failure"));
            break;
        case start_outcome::refused:
            direct.finished(at, token, true);
            finish_direct(token, make_answer(pb::answer::not_run, answer.reason, default_retry_after));
            break;
        case start_outcome::running:
        case start_outcome::lost:
            direct.finished(at, token, true);
            finish_direct(token, make_answer(pb::answer::unknown,
                                             "no response from the target; the outcome is unknown",
                                             default_retry_after));
            break;
        }
        advance_direct_queue(at);
    }

    // ---- Targets ----

    target_authority authority() const { return {m_number, m_partition->epoch()}; }

    /// Checks whether work may be sent to a target now. Returns the reason when it may not.
    std::optional<std::string> reason_not_to_send(const vm_info& target) const {
        if (!m_environment.config_current())
            return "this node can't tell whether its configuration is current";
        const auto config = m_environment.config();
        if (config->is_drained(target.id, target.data_centre))
            return "the target is drained";
        return {};
    }

    void apply_effects(instant at) {
        if (m_status != host_status::active && m_status != host_status::releasing)
            return;
        for (const auto& action : m_partition->take_effects(at))
            apply_effect(at, action);
        for (const auto& id : m_partition->take_accepted())
            answer_waiters(id, false);
        for (const auto& id : m_partition->take_ended())
            answer_waiters(id, true);
        const auto committed = m_partition->committed_generation();
        for (auto it = m_cancel_waiters.begin(); it != m_cancel_waiters.end();) {
            if (it->generation > committed) {
                ++it;
                continue;
            }
            const auto* item = m_partition->find(make_job_id(it->call.team(), it->call.request_id()));
            auto answer = item == nullptr ? make_answer(pb::answer::not_found, "no such request")
                                          : make_state_answer(*item);
            queue_answer(std::move(it->done), it->call, std::move(answer));
            it = m_cancel_waiters.erase(it);
        }
        if (m_partition->has_uncommitted())
            m_wake_journal.notify_all();
    }

    void apply_effect(instant at, const effect& action) {
        const auto* target = m_partition->pool().find(action.target);
        const auto self = shared_from_this();
        const auto task = action.task;
        if (target == nullptr || !target->listed) {
            if (action.kind == effect_kind::start)
                m_partition->start_not_sent(at, task, "the target left the list");
            return;
        }
        switch (action.kind) {
        case effect_kind::start:
            start_task(at, task, target->info);
            break;
        case effect_kind::stop:
            m_environment.targets.stop(target->info, authority(), task.to_string(),
                                       [self, task](bool stopped) {
                                           self->with_lock([&](instant then) {
                                               self->m_partition->stop_answered(then, task, stopped);
                                           });
                                       });
            break;
        case effect_kind::settle:
            m_environment.targets.settle(target->info, authority(), task.to_string(),
                                         [self, task](start_answer answer) {
                                             self->with_lock([&](instant then) {
                                                 self->m_partition->start_answered(then, task, answer);
                                             });
                                         });
            break;
        case effect_kind::throttle:
            break;
        }
    }

    void start_task(instant at, const task_ref& task, const vm_info& target) {
        const auto* item = m_partition->find(task.job_id);
        if (const auto reason = reason_not_to_send(target)) {
            m_partition->start_not_sent(at, task, *reason);
            return;
        }
        start_command command;
        command.task_id = task.to_string();
        command.incarnation = item->tasks(task.index).boot();
        command.need = {item->need().cpu_milli(), item->need().memory_mb(), item->need().accelerators()};
        if (item->type() != pb::job::replicated)
            command.run_time = milliseconds{item->run_ms()};
        command.lease = milliseconds{item->lease_ms()};
        if (item->type() == pb::job::request)
            command.wait = std::clamp(milliseconds{item->deadline_ms()}, 1ms, max_result_wait);
        command.timeout = command.wait + m_environment.options.target_poll;
        command.body = item->body();
        m_environment.counters.count("starts_total");
        m_environment.targets.start(
            target, authority(), command, [self = shared_from_this(), task](const start_answer& answer) {
                self->with_lock([&](instant then) { self->m_partition->start_answered(then, task, answer); });
            });
    }

    /// Returns whether this node may still renew leases: see docs/design/ownership.md.
    bool may_renew(instant at) const { return at - m_ownership_confirmed_at <= ownership_validity; }

    void poll_targets(instant at) {
        const bool renew = may_renew(at);
        for (const auto& target : m_partition->pool().all()) {
            auto& poll = m_polls[target.info.id];
            if (poll.outstanding || at < poll.next || target.info.address.empty())
                continue;
            poll.outstanding = true;
            poll_command command;
            command.since = poll.version;
            command.wait =
                poll.lost == 0 && target.confirmed ? m_environment.options.target_poll : milliseconds{0};
            command.renew = renew && poll.lost < failed_polls_until_silent;
            command.acknowledged = m_partition->acknowledgements(target.info.id);
            const auto asked = m_partition->begin_poll(at, target.info.id, command.renew);
            m_environment.targets.poll(
                target.info, authority(), command,
                [self = shared_from_this(), id = target.info.id, acks = command.acknowledged,
                 asked](poll_answer answer) {
                    answer.inventory.asked = asked;
                    self->with_lock([&](instant then) { self->poll_answered(then, id, acks, answer); });
                });
        }
    }

    void poll_answered(instant at, const std::string& id, const std::vector<std::string>& acks,
                       poll_answer& answer) {
        auto& poll = m_polls[id];
        poll.outstanding = false;
        if (answer.outcome == poll_outcome::answered) {
            poll.lost = 0;
            poll.version = answer.inventory.version;
            poll.next = at + poll_spacing;
            m_partition->acknowledged(id, acks);
            m_partition->inventory(at, answer.inventory);
            return;
        }
        poll.next = at + poll_retry;
        if (answer.outcome == poll_outcome::fenced) {
            m_check_ownership_now = true;
            m_wake_journal.notify_all();
        }
        if (++poll.lost >= failed_polls_until_silent)
            m_partition->poll_failed(id);
    }

    void apply_config(instant at) {
        const auto config = m_environment.config();
        m_partition->set_fleet(m_target_vms, *config);
        m_partition->apply_config(at, *config, config->partitions());
    }

    // ---- Journal thread ----

    void run_journal() {
        if (!recover()) {
            close("the takeover did not complete");
            return;
        }
        for (;;) {
            std::vector<pb::record> group;
            std::optional<pb::snapshot> snapshot;
            bool check = false;
            {
                std::unique_lock lock{m_mutex};
                m_wake_journal.wait_for(lock, 250ms, [&] {
                    return m_stopping || m_check_ownership_now || is_write_due() ||
                           m_status == host_status::releasing;
                });
                if (m_stopping)
                    break;
                check = m_check_ownership_now || now() - m_ownership_confirmed_at > ownership_check_interval;
                m_check_ownership_now = false;
                group = m_partition->take_records(max_group_bytes);
                m_oldest_pending_record = {};
                if (!group.empty() && !m_partition->has_pending() &&
                    m_journal.rows_since_snapshot() >=
                        static_cast<std::uint64_t>(m_environment.options.snapshot_rows))
                    snapshot = m_partition->snapshot(m_journal.last_sequence() + 1);
                if (group.empty() && m_status == host_status::releasing && !m_partition->has_uncommitted()) {
                    pb::record entry;
                    entry.mutable_release()->set_node(m_environment.options.node);
                    group.push_back(entry);
                }
            }
            if (group.empty()) {
                if (check && !confirm_ownership())
                    break;
                continue;
            }
            if (!write_group(group))
                break;
            if (group.front().has_release()) {
                finish_release(true);
                close("released");
                return;
            }
            if (snapshot)
                save_snapshot(*snapshot);
        }
        finish_release(false);
        close(m_stopping ? "stopped" : "deposed");
    }

    /// Returns whether the pending records must be written now. Records that no caller waits for are delayed
    /// by up to `max_write_delay`, so that several share a write.
    bool is_write_due() {
        if (!m_partition->has_uncommitted())
            return false;
        if (m_oldest_pending_record == instant{})
            m_oldest_pending_record = now();
        return m_partition->write_awaited() || !m_cancel_waiters.empty() ||
               now() - m_oldest_pending_record >= max_write_delay;
    }

    void save_snapshot(pb::snapshot& snapshot) {
        snapshot.set_owner(m_environment.options.node);
        if (!m_journal.save_snapshot(snapshot))
            log_event(log_level::warning, "snapshot_failed",
                      {{"partition", std::to_string(m_number)}, {"reason", last_reason()}});
    }

    /// Returns false when another node has taken over the partition. No answer from the store is no evidence
    /// of that.
    bool confirm_ownership() {
        const auto asked = now();
        const auto owner = m_journal.is_still_owner();
        if (!owner)
            return true;
        if (!*owner)
            return false;
        const std::lock_guard lock{m_mutex};
        m_ownership_confirmed_at = asked;
        return true;
    }

    /// Writes one group, and retries until its outcome is known. Returns false when another node has taken
    /// over the partition or the host stops.
    bool write_group(const std::vector<pb::record>& group) {
        for (;;) {
            if (!wait_for_write_budget())
                return false;
            const auto began = now();
            const auto outcome = m_journal.append(group);
            m_environment.counters.count("table_writes_total", {{"kind", "journal"}});
            if (outcome == append_outcome::ownership_lost)
                return false;
            if (outcome == append_outcome::committed) {
                const auto took = now() - began;
                m_environment.counters.observe("journal_write_seconds",
                                               std::chrono::duration<double>(took).count());
                m_environment.counters.count("journal_records_total", {}, static_cast<double>(group.size()));
                with_lock([&](instant) {
                    m_ownership_confirmed_at = began;
                    m_partition->committed();
                });
                return true;
            }
            log_event(log_level::warning, "journal_write_failed",
                      {{"partition", std::to_string(m_number)}, {"reason", last_reason()}});
        }
    }

    /// Waits until the node's write budget allows a write. Returns false when the host stops or the release
    /// times out meanwhile.
    bool wait_for_write_budget() {
        for (;;) {
            const auto wait = m_environment.write_limiter.acquire(now());
            std::unique_lock lock{m_mutex};
            if (m_stopping || (m_status == host_status::releasing && now() > m_release_deadline))
                return false;
            if (wait == milliseconds{0})
                return true;
            m_wake_journal.wait_for(lock, std::min(wait, 100ms), [&] { return m_stopping; });
        }
    }

    bool recover() {
        const auto began = now();
        for (;;) {
            if (!wait_for_write_budget())
                return false;
            auto core = std::make_unique<partition>(make_partition_options());
            if (!m_journal.load(*core)) {
                m_environment.write_limiter.failed(now());
                log_event(log_level::warning, "recovery_delayed",
                          {{"partition", std::to_string(m_number)}, {"reason", last_reason()}});
                continue;
            }
            pb::record take;
            take.mutable_take()->set_node(m_environment.options.node);
            for (;;) {
                const auto outcome = m_journal.append({take});
                if (outcome == append_outcome::ownership_lost)
                    return false;
                if (outcome == append_outcome::committed)
                    break;
                if (!wait_for_write_budget())
                    return false;
            }
            const auto sequence = m_journal.last_sequence();
            core->replay(take, sequence);
            activate(std::move(core), sequence);
            log_event(log_level::info, "partition_taken",
                      {{"partition", std::to_string(m_number)},
                       {"epoch", std::to_string(sequence)},
                       {"took_ms", std::to_string((now() - began).count())}});
            return true;
        }
    }

    void activate(std::unique_ptr<partition> core, std::uint64_t sequence) {
        with_lock([&](instant at) {
            m_partition = std::move(core);
            m_partition->set_epoch(sequence, at);
            m_status = host_status::active;
            m_active_since = at;
            m_ownership_confirmed_at = at;
            apply_config(at);
        });
    }

    void finish_release(bool released) {
        std::function<void(bool)> done;
        {
            const std::lock_guard lock{m_mutex};
            done.swap(m_release_done);
        }
        if (done)
            done(released);
    }

    /// Ends the ownership. Waiting callers get `not_owner`, upon which their calls are retried at the next
    /// owner; there the request id finds the record, if there is one, so that the work can't run twice.
    void close(std::string_view reason) {
        std::vector<std::function<void()>> answers;
        {
            const std::lock_guard lock{m_mutex};
            m_status = host_status::closed;
            for (auto& [id, waiting] : m_waiters)
                queue_answer(std::move(waiting.done), waiting.call, not_owner());
            m_waiters.clear();
            for (auto& waiting : m_cancel_waiters)
                queue_answer(std::move(waiting.done), waiting.call, not_owner());
            m_cancel_waiters.clear();
            for (const auto token : m_partition->direct().take_queued())
                finish_direct(token, not_owner());
            answers.swap(m_queued_answers);
        }
        for (const auto& answer : answers)
            answer();
        log_event(log_level::info, "partition_closed",
                  {{"partition", std::to_string(m_number)}, {"reason", std::string{reason}}});
    }

    host_environment m_environment;
    int m_number;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake_journal;
    std::unique_ptr<partition> m_partition;
    journal m_journal;
    host_status m_status = host_status::recovering;
    std::vector<vm_info> m_target_vms;
    std::multimap<std::string, waiter> m_waiters;
    std::vector<cancel_waiter> m_cancel_waiters;
    std::map<std::uint64_t, direct_call> m_direct_calls;
    std::uint64_t m_last_token = 0;
    std::map<std::string, poll_state> m_polls;
    std::vector<std::function<void()>> m_queued_answers;
    instant m_active_since{};
    instant m_ownership_confirmed_at{};
    instant m_next_deadline_check{};
    instant m_release_deadline{};
    instant m_oldest_pending_record{};
    std::function<void(bool)> m_release_done;
    bool m_stopping = false;
    bool m_check_ownership_now = false;
    mutable std::uint64_t m_summary_version = 0;
    std::thread m_thread;
};

partition_host::partition_host(host_environment environment, int partition)
    : m_impl{std::make_shared<impl>(std::move(environment), partition)} {}
partition_host::~partition_host() {
    m_impl->join();
}

void partition_host::start() {
    m_impl->start();
}
void partition_host::set_fleet(const std::vector<vm_info>& targets) {
    m_impl->set_fleet(targets);
}
void partition_host::config_changed() {
    m_impl->config_changed();
}
void partition_host::tick(instant at) {
    m_impl->tick(at);
}
void partition_host::submit(const pb::call& call, answer_callback done) {
    m_impl->submit(call, std::move(done));
}
void partition_host::run(const pb::call& call, answer_callback done) {
    m_impl->run(call, std::move(done));
}
void partition_host::query(const pb::call& call, answer_callback done) {
    m_impl->query(call, std::move(done));
}
void partition_host::cancel(const pb::call& call, answer_callback done) {
    m_impl->cancel(call, std::move(done));
}

std::vector<pb::job> partition_host::jobs(const std::string& team, std::size_t limit) const {
    return m_impl->jobs(team, limit);
}

void partition_host::release(std::function<void(bool)> done) {
    m_impl->release(std::move(done));
}
void partition_host::stop() {
    m_impl->join();
}
host_status partition_host::status() const {
    return m_impl->status();
}
pb::partition_summary partition_host::summary() const {
    return m_impl->summary();
}
std::map<std::string, partition::demand> partition_host::demands() const {
    return m_impl->demands();
}

void partition_host::set_allotment(const std::string& team, std::optional<std::int64_t> cpu_milli) {
    m_impl->set_allotment(team, cpu_milli);
}

bool partition_host::is_usage_known(instant at) const {
    return m_impl->is_usage_known(at);
}
int partition_host::number() const {
    return m_impl->number();
}
std::map<std::string, std::int64_t> partition_host::counts() const {
    return m_impl->counts();
}
std::map<std::string, team_holding> partition_host::teams() const {
    return m_impl->teams();
}
std::vector<target_view> partition_host::targets() const {
    return m_impl->targets();
}

} // namespace medlarhub

// Ends of runs at targets: reported ends, restarts of targets, expired leases, and incomplete gangs.

#include "jobs/engine.h"

#include <algorithm>
#include <span>

namespace medlarhub {

namespace {

constexpr milliseconds retry_delay{50};
/// Consecutive failures, of different jobs, after which a target gets no work for a while.
constexpr int failing_threshold = 3;
constexpr milliseconds pause_after_failures{4000};
constexpr int max_failing_doublings = 2;
/// After a takeover, how long members of a gang may wait for others that haven't been found.
constexpr milliseconds partial_gang_wait{1000};
constexpr milliseconds gang_check_period{250};

/// For the log: at most this many targets are named.
constexpr std::size_t max_targets_named = 20;

std::string list_of(const std::vector<std::string>& targets) {
    std::string text;
    for (const auto& id : std::span{targets}.first(std::min(targets.size(), max_targets_named)))
        text += (text.empty() ? ": " : " ") + id;
    return targets.size() > max_targets_named ? text + " ..." : text;
}

bool add_if_absent(std::vector<int>& numbers, int number) {
    if (std::ranges::find(numbers, number) != numbers.end())
        return false;
    numbers.push_back(number);
    return true;
}

} // namespace

// ---- Ends ----

void job_engine::release(target_state& target, live_run& run) {
    withdraw_start(target, run);
    target.held -= run.held;
    m_held[run.team] -= run.held;
    if (run.passed_at_limit)
        m_passed_at_limit[run.team] -= run.held;
    job_state* job = nullptr;
    auto* step = find_step(run.task, &job);
    if (step != nullptr)
        std::erase(step->tasks[static_cast<std::size_t>(run.task.index)].run_targets, target.entry.id);
    m_changed = true;
}

void job_engine::drop_run(instant at, target_state& target, const std::string& text, std::string_view why) {
    const auto found = target.runs.find(text);
    if (found == target.runs.end())
        return;
    auto run = std::move(found->second);
    target.runs.erase(found);
    release(target, run);
    job_state* job = nullptr;
    auto* step = find_step(run.task, &job);
    add_event("run_dropped", run.task.job,
              target.entry.id + " " + text + " run " + std::to_string(run.number) + ": " + std::string{why} +
                  "; " + describe_evidence(at, run));
    if (step == nullptr)
        return;
    auto& task = step->tasks[static_cast<std::size_t>(run.task.index)];
    if (!run.saved_state.empty())
        task.saved_state = run.saved_state;
    task.not_before = std::max(task.not_before, at);
    stop_gang(*job, run.task);
}

void job_engine::drop_expired(instant at, target_state& target) {
    const bool all = at >= target.longest_lease_expiry(m_options.longest_lease);
    std::vector<std::string> texts;
    for (const auto& [text, run] : target.runs) {
        // Another send of its start may reach a later incarnation.
        const bool may_start_again = run.start_in_flight || run.unanswered_starts > 0;
        if (all || (run.incarnation != 0 && !may_start_again))
            texts.push_back(text);
    }
    if (!texts.empty())
        add_event("target_lease_over", {},
                  target.entry.id + ": " + std::to_string(target.granted_ms - target.clock_ms) +
                      " ms were granted by its clock of " + std::to_string((at - target.clock_read).count()) +
                      " ms ago, " + std::to_string(texts.size()) + " runs");
    for (const auto& text : texts)
        drop_run(at, target, text, "its lease expired");
    target.orphans.clear();
}

void job_engine::stop_gang(job_state& job, const task_name& name) {
    if (!job.spec.steps(name.step).gang())
        return;
    auto& step = job.occurrences.at(name.occurrence).steps[static_cast<std::size_t>(name.step)];
    if (step.open_tasks == 0)
        return;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const task_name member{name.job, name.occurrence, name.step, static_cast<int>(i)};
        for (const auto& target : step.tasks[i].run_targets) {
            auto& run = m_targets.at(target).runs.at(member.to_string());
            if (!run.saved_state.empty())
                step.gang_saved_state = run.saved_state;
            request_stop(run);
        }
    }
}

void job_engine::process_end(instant at, target_state& target, const reported_end& end) {
    if (end.number <= target.seen_upto)
        return;
    target.seen_upto = end.number;
    const auto name = parse_task_name(end.task);
    if (!name)
        return;
    const auto found = target.runs.find(end.task);
    std::optional<live_run> ended;
    if (found != target.runs.end() && found->second.number == end.run) {
        ended = std::move(found->second);
        target.runs.erase(found);
        release(target, *ended);
    }
    job_state* job = nullptr;
    auto* step = find_reported_step(*name, &job);
    if (step == nullptr || job->phase != pb::job_progress::open)
        return;
    auto& task = step->tasks[static_cast<std::size_t>(name->index)];
    const auto& spec = job->spec.steps(name->step);
    job->started = true;
    task.last_run = std::max(task.last_run, end.run);
    if (!end.saved.empty() && !task.done) {
        task.saved_state = end.saved;
        if (spec.gang())
            step->gang_saved_state = end.saved;
    }
    if (end.how == end_kind::done && !spec.long_running()) {
        target.failures_in_row = 0;
        if (ended)
            observe_run_time(at, target, *ended, *job);
        task_done(at, *job, *name, end.run);
        return;
    }
    if (task.done)
        return;
    add_event("run_ended", name->job,
              target.entry.id + " " + end.task + " run " + std::to_string(end.run) + ": " +
                  std::string{name_of(end.how)});
    stop_gang(*job, *name);
    if (end.how == end_kind::failed)
        run_failed(at, target, *job, *name, end.run);
}

void job_engine::run_failed(instant at, target_state& target, job_state& job, const task_name& name,
                            int number) {
    auto& step = job.occurrences.at(name.occurrence).steps[static_cast<std::size_t>(name.step)];
    auto& task = step.tasks[static_cast<std::size_t>(name.index)];
    const auto& spec = job.spec.steps(name.step);
    task.last_failed_target = target.entry.id;
    task.not_before = at + retry_delay;
    if (target.last_failed_job != name.job) {
        target.last_failed_job = name.job;
        ++target.failures_in_row;
    }
    if (target.failures_in_row >= failing_threshold) {
        const auto doublings = std::min(target.failures_in_row - failing_threshold, max_failing_doublings);
        target.avoid_until = at + pause_after_failures * (1 << doublings);
        add_event("target_failing", {}, target.entry.id);
    }
    if (spec.long_running())
        return;
    auto& failed = spec.gang() ? step.gang_failed_runs : task.failed_runs;
    if (!add_if_absent(failed, number))
        return;
    mark_for_write(at, job, false);
    if (attempts_used_up(job, failed))
        end_job(at, job, pb::job_progress::failed);
}

bool job_engine::attempts_used_up(const job_state& job, const std::vector<int>& failed_runs) const {
    const auto queue = m_config->queues.find(job.queue);
    return queue != m_config->queues.end() &&
           static_cast<int>(failed_runs.size()) >= queue->second.max_attempts;
}

void job_engine::end_jobs_without_attempts(instant at) {
    if (!std::exchange(m_attempts_changed, false))
        return;
    const auto open = m_open;
    for (const auto& [id, job] : open) {
        if (has_no_attempts_left(*job))
            end_job(at, *job, pb::job_progress::failed);
    }
}

bool job_engine::has_no_attempts_left(const job_state& job) const {
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& step : occurrence.steps) {
            if (step.open_tasks == 0)
                continue;
            const bool used_up = attempts_used_up(job, step.gang_failed_runs) ||
                                 std::ranges::any_of(step.tasks, [&](const task_state& task) {
                                     return !task.done && attempts_used_up(job, task.failed_runs);
                                 });
            if (used_up)
                return true;
        }
    }
    return false;
}

// ---- Restarts and leases of targets ----

void job_engine::ask_after_restart(instant at, target_state& target, const std::string& source) {
    add_event("target_restart_reported", {}, target.entry.id + ": " + source);
    note_longest_lease(at);
    target.fence_due = true;
    target.settled_by = m_last_poll + 1;
    target.poll_in_flight = false;
    target.next_poll = at;
}

void job_engine::forget_clocks() {
    for (auto& [id, target] : m_targets)
        target.clock_asked = {};
}

void job_engine::note_longest_lease(instant at) {
    m_longest_granted_until = std::max(m_longest_granted_until, at + lasts_at_most(m_options.longest_lease));
}

milliseconds job_engine::longest_granted(instant at) const {
    return at < m_longest_granted_until ? m_options.longest_lease : m_options.lease;
}

void job_engine::handle_restart(instant at, target_state& target, const poll_result& result) {
    add_event("target_restarted", {}, target.entry.id + ": " + describe_restart(at, target, result.born_ms));
    ++target.incarnation;
    target.restart_seen = at;
    note_longest_lease(at);
    target.listed_born_ms = result.born_ms;
    for (auto& [text, run] : target.runs)
        run.stop_confirmed = {};
    m_stop_may_be_due = true;
    m_changed = true;
    target.seen_upto = 0;
    target.acked_upto = 0;
    m_acks_writing.erase(target.entry.id);
    if (m_pending_acks)
        m_pending_acks->upto.erase(target.entry.id);
    // It takes deadlines on the earlier clock for the longest lease.
    target.granted_ms = result.clock_ms + m_options.longest_lease.count();
    target.refuses_outdated = false;
    target.outdated_fence = target.effective_fence;
    target.outdated_leases_end =
        target.last_grant + max_outdated_delay + lasts_at_most(m_options.longest_lease);
    target.failures_in_row = 0;
    target.listed_all = false;
    forget_advice(target.entry.id);
}

void job_engine::check_lease_expiry(instant at) {
    m_stop_may_be_due = true;
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        auto& target = it->second;
        const bool expired = target.suspect && target.clock_read != instant{} && at >= target.lease_expiry();
        if (expired)
            drop_expired(at, target);
        if (expired)
            m_unconfirmed_targets.erase(it->first);
        const bool is_gone = !target.listed && target.suspect && target.runs.empty() &&
                             !target.poll_in_flight && !target.transfer_to &&
                             !m_unconfirmed_targets.contains(it->first);
        // Should it come back, it is to refuse all that was sent to it before.
        if (is_gone)
            raise_fence(target);
        if (!is_gone || target.fence_due) {
            ++it;
            continue;
        }
        add_event("target_gone", {}, it->first);
        m_raised_before = std::max(m_raised_before, target.fence_raised);
        if (m_roster.erase(it->first) > 0)
            m_roster_dirty = true;
        forget_target(target);
        it = m_targets.erase(it);
    }
}

void job_engine::check_unconfirmed_gangs(instant at) {
    if (!m_recovering || at < m_next_gang_check)
        return;
    m_next_gang_check = at + gang_check_period;
    for (const auto& [id, job] : m_open) {
        const auto& steps = job->spec.steps();
        const bool gangs =
            std::any_of(steps.begin(), steps.end(), [](const auto& step) { return step.gang(); });
        if (job->unconfirmed && gangs)
            stop_partial_gangs(at, *job);
    }
}

void job_engine::finish_recovery(instant at) {
    if (!m_recovering)
        return;
    std::erase_if(m_unconfirmed_targets, [&](const auto& entry) {
        const auto& [id, until] = entry;
        const auto target = m_targets.find(id);
        // The leases of targets that answered have been renewed since, so these must list all they have.
        const bool answered = target != m_targets.end() && target->second.contacted;
        if (at < until || answered)
            return false;
        m_not_reached.push_back(id);
        if (target == m_targets.end())
            m_roster_dirty = m_roster.erase(id) > 0 || m_roster_dirty;
        return true;
    });
    if (!m_unconfirmed_targets.empty())
        return;
    m_recovering = false;
    std::size_t jobs = 0;
    std::set<std::string_view> teams;
    for (const auto& [id, job] : m_open) {
        if (!job->unconfirmed)
            continue;
        ++jobs;
        teams.insert(job->team);
        job->unconfirmed = false;
        stop_partial_gangs(at, *job);
    }
    add_event("runs_known", {},
              std::to_string(m_not_reached.size()) + " targets not reached" + list_of(m_not_reached) + "; " +
                  std::to_string(jobs) + " jobs of " + std::to_string(teams.size()) + " teams waited " +
                  std::to_string((at - m_recovery_began).count()) + " ms");
    m_changed = true;
}

void job_engine::stop_partial_gangs(instant at, job_state& job) {
    for (auto& [number, occurrence] : job.occurrences) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            std::ptrdiff_t live = 0;
            bool worked = false;
            auto since = at;
            for (std::size_t index = 0; index < occurrence.steps[i].tasks.size(); ++index) {
                const task_name member{job.spec.id(), number, static_cast<int>(i), static_cast<int>(index)};
                for (const auto& target : occurrence.steps[i].tasks[index].run_targets) {
                    const auto& run = m_targets.at(target).runs.at(member.to_string());
                    ++live;
                    worked = worked || run.worked;
                    since = std::min(since, run.confirmed_at);
                }
            }
            if (live == 0 || live == static_cast<std::ptrdiff_t>(occurrence.steps[i].tasks.size()))
                continue;
            // The other members may run at targets that haven't answered yet.
            if (job.unconfirmed && (worked || at - since < partial_gang_wait))
                continue;
            stop_gang(job, {job.spec.id(), number, static_cast<int>(i), 0});
        }
    }
}

} // namespace medlarhub

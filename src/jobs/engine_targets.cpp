// Runs at targets: the list of targets, polls, and the runs that targets report.

#include "jobs/engine.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// A poll without an answer this long after its wait time is followed by another one.
constexpr milliseconds poll_grace{300};
constexpr milliseconds poll_retry{250};
constexpr milliseconds poll_spacing{25};

} // namespace

std::string_view name_of(end_kind how) {
    switch (how) {
    case end_kind::done:
        return "done";
    case end_kind::failed:
        return "failed";
    case end_kind::stopped:
        return "stopped";
    case end_kind::lease_expired:
        return "lease lapsed";
    case end_kind::gang_member_ended:
        return "another member of its gang ended";
    case end_kind::gang_incomplete:
        break;
    }
    return "the rest of its gang never started";
}

// ---- The list of targets ----

void job_engine::set_targets(instant at, const std::vector<target_entry>& targets) {
    std::set<std::string> listed;
    for (const auto& entry : targets) {
        listed.insert(entry.id);
        auto [found, added] = m_targets.try_emplace(entry.id);
        auto& target = found->second;
        if (added)
            target.fence_raised = m_raised_before;
        target.entry = entry;
        if (target.listed_born_ms != 0 &&
            entry.born_ms > std::max(target.listed_born_ms, target.reported_born_ms))
            ask_after_restart(at, target, "its entry, " + describe_restart(at, target, entry.born_ms));
        target.reported_born_ms = std::max(target.reported_born_ms, entry.born_ms);
        target.listed = true;
        if (target.transfer_to)
            continue;
        m_roster_dirty = m_roster.insert(entry.id).second || m_roster_dirty;
        // A target that was dropped and is back before the roster was written without it is still in it.
        if (added && !m_roster_in_write)
            target.in_roster = m_roster_written.contains(entry.id);
    }
    for (auto& [id, target] : m_targets) {
        if (!listed.contains(id))
            target.listed = false;
    }
    m_changed = true;
    schedule(at);
}

// ---- Polls ----

std::vector<target_poll_command> job_engine::take_polls(instant at) {
    std::vector<target_poll_command> commands;
    for (auto& [id, target] : m_targets) {
        const bool is_overdue = target.poll_in_flight && at >= target.poll_overdue;
        if (target.transfer_to)
            continue;
        if ((target.poll_in_flight && !is_overdue) || (!target.poll_in_flight && at < target.next_poll))
            continue;
        if (target.fence_due)
            raise_fence(target);
        target_poll_command command;
        command.target = id;
        command.address = target.entry.address;
        command.fence = fence_of(target);
        command.number = target.latest_poll = ++m_last_poll;
        if (target.may_have_restarted()) {
            target.acks_withheld_since = {};
        } else if (target.may_acknowledge(at)) {
            command.acked_upto = target.acked_upto;
            target.acks_withheld_since = {};
        } else if (target.acks_withheld_since == instant{}) {
            target.acks_withheld_since = at;
        }
        // Leases of an unresponsive target aren't renewed, otherwise their expiry would never be certain.
        if (!is_overdue && target.contacted && !target.suspect && target.is_settled() && may_grant(target)) {
            command.deadline_ms = target.target_clock_ms(at) + m_options.lease.count();
            target.granted_ms = std::max(target.granted_ms, *command.deadline_ms);
            target.last_grant = at;
            if (!target.runs.empty() && target.refuses_outdated)
                command.wait = m_options.poll_wait;
        }
        if (command.deadline_ms || command.acked_upto > 0)
            target.effective_fence = std::max(target.effective_fence, command.fence);
        target.poll_in_flight = true;
        target.poll_overdue = at + command.wait + poll_grace;
        commands.push_back(std::move(command));
    }
    return commands;
}

void job_engine::handle_poll_result(instant at, instant sent, const target_poll_command& command,
                                    const poll_result& result) {
    const auto found = m_targets.find(command.target);
    if (found == m_targets.end())
        return;
    auto& target = found->second;
    note_outcome(target, command.fence, result.outcome);
    if (command.number < target.latest_answered)
        return; // a later poll was answered first
    if (result.outcome == command_outcome::fenced && command.number < target.latest_poll)
        return; // a later poll may have raised the fence
    target.poll_in_flight = false;
    if (target.transfer_to)
        return; // it runs nothing of this partition any more
    target.next_poll = at + poll_retry;
    if (result.outcome == command_outcome::fenced)
        return;
    if (result.outcome != command_outcome::done) {
        note_failed_poll(at, target, result.outcome);
        schedule(at);
        return;
    }
    target.latest_answered = command.number;
    if (target.suspect)
        add_event("target_back", {}, command.target);
    target.suspect = false;
    m_silent.remove(command.target);
    const bool restarted = target.is_of_later_incarnation(sent, result);
    if (restarted)
        handle_restart(at, target, result);
    else if (result.born_ms != 0 && result.born_ms < target.listed_born_ms)
        return; // an answer of an earlier incarnation
    const bool had_outdated = !target.refuses_outdated;
    target.refuses_outdated = target.refuses_outdated || command.fence > target.outdated_fence;
    target.fence_due = target.fence_due || !target.refuses_outdated;
    target.incarnation = std::max<std::uint64_t>(target.incarnation, 1);
    if (result.born_ms != 0)
        target.listed_born_ms = result.born_ms;
    target.clock_ms = result.clock_ms;
    target.clock_read = at;
    target.clock_asked = sent;
    target.last_answer = at;
    if (had_outdated) { // up to this answer they may have granted the longest lease
        target.granted_ms = std::max(target.granted_ms, target.clock_ms + m_options.longest_lease.count());
        note_longest_lease(at);
    }
    for (const auto& end : result.ended)
        process_end(at, target, end);
    process_running(at, sent, target, result, restarted);
    if (!target.contacted)
        note_first_contact(at, target);
    if (result.complete == target.partly_listed)
        add_event(result.complete ? "target_lists_all" : "target_lists_part", {},
                  command.target + ": " + std::to_string(result.ended.size()) + " ends");
    target.partly_listed = !result.complete;
    if (result.complete && target.refuses_outdated && !target.listed_all) {
        target.listed_all = true;
        m_unconfirmed_targets.erase(command.target);
        finish_recovery(at);
    }
    const bool idle = result.complete && target.refuses_outdated && target.runs.empty() &&
                      target.orphans.empty() && target.acked_upto >= target.seen_upto;
    target.was_idle = idle && result.running.empty() && result.ended.empty();
    target.next_poll = at + (idle ? m_options.idle_poll : poll_spacing);
    m_stop_may_be_due = m_stop_may_be_due || !target.orphans.empty();
    schedule(at);
}

void job_engine::note_failed_poll(instant at, target_state& target, command_outcome outcome) {
    // Neither a refused connection nor another target at its address shows that its runs have ended; only the
    // expiry of its lease does.
    if (target.suspect)
        return;
    add_event("target_suspect", {}, target.entry.id + ": " + std::string{name_of(outcome)});
    target.fence_due = true;
    target.suspect = true;
    target.suspect_since = at;
}

void job_engine::note_first_contact(instant at, target_state& target) {
    target.contacted = true;
    if (target.first_contact == instant{})
        target.first_contact = at;
    // A lease that an earlier owner requested is never shortened; this incarnation may have taken its
    // deadline for the longest one.
    const bool had_owner =
        m_options.earlier_lease > milliseconds{0} || target.entry.transfers > 0 || target.fence_raised > 0;
    const auto earlier = std::max(m_options.earlier_lease, m_options.longest_lease);
    if (had_owner)
        target.granted_ms = std::max(target.granted_ms, target.clock_ms + earlier.count());
    m_changed = true;
}

void job_engine::process_running(instant at, instant sent, target_state& target, const poll_result& result,
                                 bool restarted) {
    std::map<std::string, const reported_run*> listed;
    for (const auto& run : result.running)
        listed[run.task] = &run;
    std::vector<std::pair<std::string, std::string_view>> gone;
    for (auto& [text, run] : target.runs) {
        if (!run.start_sent)
            continue;
        // The target takes no start of that fence any more.
        const bool is_outdated =
            run.incarnation < target.incarnation && run.start_fence <= target.outdated_fence;
        if (!restarted && run.unlocated_since != instant{} && run.unlocated_since < sent) {
            run.unlocated_since = {};
            if (!is_outdated && !run.start_in_flight && run.incarnation == 0)
                run.incarnation = target.incarnation;
        }
        const auto found = listed.find(text);
        if (found != listed.end() && found->second->run == run.number) {
            if (run.phase != run_phase::running) {
                run.phase = run_phase::running;
                run.confirmed_at = at;
                if (auto* job = find(run.task.job))
                    job->started = true;
            }
            run.listed_at = at;
            run.incarnation = target.incarnation;
            run.worked = run.worked || found->second->usage > 0;
            if (!found->second->saved.empty())
                run.saved_state = found->second->saved;
            continue;
        }
        // Its end may be among those that aren't listed yet, or its start may still be carried out.
        if (!result.complete || !target.refuses_outdated)
            continue;
        const bool answered = run.phase == run_phase::running && run.confirmed_at < sent;
        if (is_outdated && run.unanswered_starts == 0)
            gone.emplace_back(text, "its target restarted");
        else if (run.stop_confirmed != instant{} && run.stop_confirmed < sent)
            gone.emplace_back(text, "the target confirmed the stop");
        else if (answered)
            // Its end was never reported. It is stopped first, so that it can't start late, then placed
            // again.
            request_stop(run);
    }
    for (const auto& [text, why] : gone)
        drop_run(at, target, text, why);
    target.orphans.clear();
    for (const auto& run : result.running)
        adopt_or_orphan(at, target, run);
}

void job_engine::adopt_or_orphan(instant at, target_state& target, const reported_run& run) {
    const auto known = target.runs.find(run.task);
    if (known != target.runs.end() && known->second.number == run.run)
        return;
    const auto name = parse_task_name(run.task);
    if (!name)
        return;
    if (known == target.runs.end() && adopt(at, target, *name, run))
        return;
    orphaned_run orphan{*name, run.run, {}, {}, at};
    if (const auto* job = find(name->job)) {
        orphan.team = job->team;
        // The spec is removed soon after the job's end.
        orphan.need_known = name->step < job->spec.steps_size();
        if (orphan.need_known)
            orphan.held = need_of(job->spec.steps(name->step));
    }
    target.orphans.push_back(orphan);
    m_stop_may_be_due = true;
    add_event("stray_run", name->job, target.entry.id + " " + run.task + " run " + std::to_string(run.run));
}

bool job_engine::adopt(instant at, target_state& target, const task_name& name, const reported_run& run) {
    job_state* job = nullptr;
    auto* step = find_reported_step(name, &job);
    if (step == nullptr || job->phase != pb::job_progress::open || !job->unconfirmed ||
        run.run > next_run_number(0) - 1)
        return false;
    auto& task = step->tasks[static_cast<std::size_t>(name.index)];
    // The step need not be ready: ends of earlier steps may be in reports that weren't read yet.
    if (task.done || !task.run_targets.empty())
        return false;
    live_run adopted;
    adopted.task = name;
    adopted.number = run.run;
    adopted.held = need_of(job->spec.steps(name.step));
    adopted.team = job->team;
    adopted.phase = run_phase::running;
    adopted.start_sent = true;
    adopted.incarnation = target.incarnation;
    adopted.placed_at = adopted.confirmed_at = adopted.listed_at = at;
    adopted.saved_state = run.saved;
    adopted.worked = run.usage > 0;
    adopted.preemption = preemption_terms_of({job, name.occurrence, name.step, &step->sort_key}, task);
    target.held += adopted.held;
    m_held[job->team] += adopted.held;
    task.run_targets.push_back(target.entry.id);
    task.last_run = std::max(task.last_run, run.run);
    job->started = true;
    target.runs.emplace(run.task, std::move(adopted));
    return true;
}

} // namespace medlarhub

// Commands to targets: starts and stops of runs, starts that are taken back, and answers.

#include "jobs/engine.h"

#include <algorithm>

namespace medlarhub {

namespace {

constexpr milliseconds stop_retry{300};
/// How long the stop of a run waits for the answer to the withdrawal of its start.
constexpr milliseconds withdrawal_wait{100};
/// A target whose polls have failed for this long gets no starts that still wait to be sent.
constexpr milliseconds silence_before_withdrawal{500};
/// A start without a response is sent again to the same target with the same run number, up to this many
/// times in all.
constexpr int max_start_sends = 3;
constexpr milliseconds unhealthy_delay{1000};
constexpr milliseconds no_capacity_delay{100};
constexpr milliseconds malformed_delay{1000};
/// A clock that is off by more than this makes the owner ask whether the target has restarted.
constexpr milliseconds asked_clock_deviation{1000};
/// More epochs are requested when fewer than these are left for the fence of a target.
constexpr std::uint64_t spare_epochs = 4;

std::string ms_between(instant from, instant to) {
    return std::to_string((to - from).count());
}

} // namespace

std::string_view name_of(command_outcome outcome) {
    switch (outcome) {
    case command_outcome::done:
        return "done";
    case command_outcome::fenced:
        return "fenced: a later owner was seen";
    case command_outcome::superseded:
        return "superseded by a later run";
    case command_outcome::too_late:
        return "came after its deadline";
    case command_outcome::no_room:
        return "no room";
    case command_outcome::bad_ticket:
        return "ticket refused";
    case command_outcome::other_target:
        return "another target answers there";
    case command_outcome::unhealthy:
        return "target unhealthy";
    case command_outcome::malformed:
        return "malformed";
    case command_outcome::not_sent:
        return "connection refused";
    case command_outcome::expired:
        return "never sent: queued for too long";
    case command_outcome::withdrawn:
        return "never sent: withdrawn";
    case command_outcome::lost:
        break;
    }
    return "answer lost";
}

void job_engine::request_stop(live_run& run) {
    run.stop_wanted = true;
    m_stop_may_be_due = true;
}

std::vector<start_stop_command> job_engine::take_commands(instant at) {
    std::vector<start_stop_command> commands;
    for (const auto& start : std::exchange(m_starts, {}))
        take_start(at, start, commands);
    if (!std::exchange(m_stop_may_be_due, false))
        return commands;
    for (auto& [id, target] : m_targets) {
        for (auto& [text, run] : target.runs) {
            withdraw_unwanted_start(at, target, run);
            if (!run.stop_wanted || run.stop_in_flight || run.stop_confirmed != instant{} ||
                at < run.next_stop)
                continue;
            run.stop_in_flight = true;
            commands.push_back(make_stop(at, target, run.task, run.number));
        }
        for (auto& orphan : target.orphans) {
            if (at < orphan.next_stop)
                continue;
            orphan.next_stop = at + unhealthy_delay;
            commands.push_back(make_stop(at, target, orphan.task, orphan.number));
        }
    }
    return commands;
}

void job_engine::take_start(instant at, const pending_start& start, std::vector<start_stop_command>& to) {
    const auto known = m_targets.find(start.target);
    if (known == m_targets.end())
        return;
    auto& target = known->second;
    const auto found = target.runs.find(start.task);
    if (found == target.runs.end() || found->second.number != start.run ||
        found->second.phase != run_phase::starting)
        return;
    auto& run = found->second;
    const auto waited = at - start.queued_at;
    const auto why = why_not_started(at, target, run);
    if (!why.empty())
        return start_unsent(at, target, start.task, waited, why);
    if (waited > max_queue_time)
        return start_unsent(at, target, start.task, waited,
                            "this node was paused or couldn't confirm its ownership");
    run.start_sent = run.start_in_flight = true;
    run.start_withdrawn = false;
    run.start_sent_at = at;
    run.incarnation = 0;
    start_stop_command command;
    command.target = start.target;
    command.address = target.entry.address;
    command.task = run.task;
    command.run = run.number;
    command.fence = run.start_fence = fence_of(target);
    note_sent(at, target, command);
    command.body = m_jobs.at(run.task.job).spec.body();
    command.saved = run.saved_state;
    command.ticket = start.ticket;
    command.deadline_ms = target.target_clock_ms(at) + m_options.lease.count();
    target.granted_ms = std::max(target.granted_ms, command.deadline_ms);
    target.last_grant = at;
    to.push_back(std::move(command));
}

start_stop_command job_engine::make_stop(instant at, target_state& target, const task_name& task,
                                         int number) const {
    start_stop_command command;
    command.kind = command_kind::stop;
    command.target = target.entry.id;
    command.address = target.entry.address;
    command.task = task;
    command.run = number;
    command.fence = fence_of(target);
    note_sent(at, target, command);
    return command;
}

// ---- Starts that wait to be sent ----

std::string_view job_engine::why_no_starts(instant at, const target_state& target) const {
    if (!may_grant(target))
        return "its target is recorded as silent";
    if (target.suspect && at - target.suspect_since >= silence_before_withdrawal)
        return "its target is silent";
    if (!target.listed)
        return "its target has left";
    if (target.entry.draining || m_drained.contains(target.entry.data_centre))
        return "its target is drained";
    return {};
}

std::string_view job_engine::why_not_started(instant at, const target_state& target,
                                             const live_run& run) const {
    const auto job = m_jobs.find(run.task.job);
    if (job == m_jobs.end() || job->second.phase != pb::job_progress::open)
        return "its job has ended";
    if (run.stop_wanted)
        return "it was stopped";
    return why_no_starts(at, target);
}

std::string_view job_engine::why_withdrawn(instant at, const target_state& target,
                                           const live_run& run) const {
    const auto why = why_not_started(at, target, run);
    return why.empty() ? "its partition is given up" : why;
}

void job_engine::withdraw_start(const target_state& target, live_run& run) {
    if (!run.start_in_flight || std::exchange(run.start_withdrawn, true))
        return;
    m_withdrawals.push_back({target.entry.id, run.task, run.number});
}

void job_engine::withdraw_unwanted_start(instant at, const target_state& target, live_run& run) {
    if (!run.start_in_flight || run.start_withdrawn || why_not_started(at, target, run).empty())
        return;
    withdraw_start(target, run);
    // If the start is withdrawn, there is nothing to stop.
    if (run.unanswered_starts == 0)
        run.next_stop = at + withdrawal_wait;
}

void job_engine::withdraw_all_starts() {
    for (auto& [id, target] : m_targets) {
        for (auto& [text, run] : target.runs)
            withdraw_start(target, run);
    }
}

void job_engine::start_unsent(instant at, target_state& target, const std::string& text, milliseconds waited,
                              std::string_view why) {
    auto& run = target.runs.at(text);
    const auto what = "never sent, " + std::to_string(waited.count()) + " ms in a queue: " + std::string{why};
    if (run.unanswered_starts == 0) {
        run.start_sent = false;
        return drop_run(at, target, text, what);
    }
    // An earlier send of it may be carried out.
    add_event("start_refused", run.task.job,
              target.entry.id + " " + text + " run " + std::to_string(run.number) + ": " + what);
    give_up_start(run);
}

// ---- Answers ----

void job_engine::handle_command_result(instant at, const start_stop_command& command,
                                       const command_reply& reply) {
    const auto found = m_targets.find(command.target);
    if (found == m_targets.end())
        return;
    note_answer(at, found->second, command, reply);
    note_outcome(found->second, command.fence, reply.outcome);
    if (command.kind == command_kind::start)
        start_answered(at, found->second, command, reply);
    else
        stop_answered(at, found->second, command, reply);
    schedule(at);
}

void job_engine::note_sent(instant at, target_state& target, start_stop_command& command) {
    command.sent = at;
    command.incarnation = target.incarnation;
    target.effective_fence = std::max(target.effective_fence, command.fence);
    ++target.commands_out;
}

void job_engine::note_answer(instant at, target_state& target, const start_stop_command& command,
                             const command_reply& reply) {
    if (target.commands_out > 0) // unless the target was removed meanwhile
        --target.commands_out;
    if (command.sent == instant{})
        return;
    if (command.incarnation == target.incarnation) {
        if (reply.clock_ms && target.is_settled() &&
            target.is_clock_of_other(command.sent, at, *reply.clock_ms, asked_clock_deviation))
            ask_after_restart(at, target, "the clock of an answer is " + std::to_string(*reply.clock_ms));
        return;
    }
    // It was meant for an earlier incarnation; which one carried it out isn't told.
    add_event("earlier_command_answered", command.task.job,
              command.target + " " + (command.kind == command_kind::start ? "start " : "stop ") +
                  command.task.to_string() + " run " + std::to_string(command.run) + ": " +
                  std::string{name_of(reply.outcome)} + ", sent " + ms_between(command.sent, at) +
                  " ms ago, before the restart that was seen " + ms_between(target.restart_seen, at) +
                  " ms ago, clock " + std::to_string(reply.clock_ms.value_or(0)));
}

void job_engine::note_outcome(const target_state& target, std::uint64_t fence, command_outcome outcome) {
    // A fenced command of an earlier target assignment, of one that is ending, or from before the fence was
    // raised doesn't mean that this owner was replaced.
    if (outcome == command_outcome::fenced && fence == fence_of(target) && !target.transfer_to)
        m_fenced = true;
}

void job_engine::raise_fence(target_state& target) {
    target.fence_due = target.effective_fence >= fence_of(target);
    if (!target.fence_due)
        return;
    const auto used = m_options.epoch + target.fence_raised;
    if (used + spare_epochs >= m_options.last_epoch)
        m_wanted_epoch = std::max(m_wanted_epoch, used + epochs_at_once);
    if (used >= m_options.last_epoch)
        return;
    ++target.fence_raised;
    target.fence_due = false;
    add_event("fence_raised", {},
              target.entry.id + " to " + std::to_string(fence_of(target)) +
                  (target.suspect ? ": it is silent" : ": it has restarted"));
}

void job_engine::start_answered(instant at, target_state& target, const start_stop_command& command,
                                const command_reply& reply) {
    const auto outcome = reply.outcome;
    const auto text = command.task.to_string();
    const auto found = target.runs.find(text);
    if (found == target.runs.end() || found->second.number != command.run)
        return;
    auto& run = found->second;
    run.start_in_flight = false;
    if (run.stop_wanted) { // it was held back until the start's outcome was known
        run.next_stop = std::min(run.next_stop, at);
        m_stop_may_be_due = true;
    }
    if (is_never_sent(outcome)) {
        if (run.phase != run_phase::starting)
            return; // an earlier send of it was carried out, or is being stopped
        if (outcome == command_outcome::expired)
            target.avoid_until = std::max(target.avoid_until, at + no_capacity_delay);
        const auto why = outcome == command_outcome::expired
                             ? "too many commands to its target were unanswered"
                             : why_withdrawn(at, target, run);
        return start_unsent(at, target, text, reply.queued, why);
    }
    if (run.incarnation == 0)
        run.unlocated_since = at;
    job_state* job = nullptr;
    auto* step = find_step(command.task, &job);
    // An earlier send of the same start may have been carried out.
    const bool already_started = outcome == command_outcome::superseded && run.unanswered_starts > 0;
    if (outcome == command_outcome::done || already_started) {
        if (run.phase != run_phase::starting)
            return;
        run.phase = run_phase::running;
        run.confirmed_at = at;
        if (reply.clock_ms && target.is_clock_of_listed(command.sent, at, *reply.clock_ms))
            run.incarnation = target.incarnation;
        else
            note_longest_lease(at);
        target.next_poll = std::min(target.next_poll, at);
        if (job != nullptr)
            job->started = true;
        return;
    }
    add_event("start_refused", command.task.job,
              command.target + " " + text + " run " + std::to_string(command.run) + ": " +
                  std::string{name_of(outcome)});
    if (outcome == command_outcome::lost && ++run.unanswered_starts < max_start_sends && !run.stop_wanted &&
        run.phase == run_phase::starting && job != nullptr && may_grant(target)) {
        m_starts.push_back({target.entry.id, text, run.number, command.ticket, at});
        return;
    }
    // One of them may still be carried out, or an earlier owner's run of the task is there.
    if (run.unanswered_starts > 0 || outcome == command_outcome::superseded)
        return give_up_start(run);
    if (outcome == command_outcome::bad_ticket && step != nullptr)
        step->advice.refused(command.target);
    // Another target at its address says nothing about what runs at this one.
    if (outcome == command_outcome::unhealthy || outcome == command_outcome::other_target)
        target.avoid_until = at + unhealthy_delay;
    if (outcome == command_outcome::no_room || outcome == command_outcome::too_late ||
        outcome == command_outcome::not_sent)
        target.avoid_until = std::max(target.avoid_until, at + no_capacity_delay);
    if (outcome == command_outcome::malformed && step != nullptr)
        step->tasks[static_cast<std::size_t>(command.task.index)].not_before = at + malformed_delay;
    target.next_poll = at;
    drop_run(at, target, text, "the start was refused");
}

void job_engine::give_up_start(live_run& run) {
    if (run.phase == run_phase::starting)
        run.phase = run_phase::unknown_outcome;
    request_stop(run);
    job_state* job = nullptr;
    if (find_step(run.task, &job) != nullptr)
        stop_gang(*job, run.task);
}

void job_engine::stop_answered(instant at, target_state& target, const start_stop_command& command,
                               const command_reply& reply) {
    const auto outcome = reply.outcome;
    const auto text = command.task.to_string();
    const auto found = target.runs.find(text);
    if (found == target.runs.end() || found->second.number != command.run)
        return;
    auto& run = found->second;
    run.stop_in_flight = false;
    run.next_stop = at + stop_retry;
    const bool is_other = reply.clock_ms && target.is_clock_of_other(command.sent, at, *reply.clock_ms, {});
    if (!is_other && (outcome == command_outcome::done || outcome == command_outcome::superseded)) {
        run.stop_confirmed = at;
        target.next_poll = at;
        return;
    }
    m_stop_may_be_due = true;
    add_event("stop_refused", command.task.job,
              command.target + " " + text + " run " + std::to_string(command.run) + ": " +
                  std::string{name_of(outcome)});
}

} // namespace medlarhub

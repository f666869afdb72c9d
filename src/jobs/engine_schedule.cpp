// Placement: in which order steps are considered, and which targets they run on.

#include "jobs/engine.h"

#include <algorithm>
#include <iterator>

namespace medlarhub {

namespace {

/// Run numbers of one epoch; the numbers of the next epoch lie above all of them.
constexpr int runs_per_epoch = 1000;
/// A pass ends for a group of steps after this many that found no capacity.
constexpr std::size_t max_steps_without_capacity = 40;
/// This many late steps keep their turn in each pass.
constexpr std::ptrdiff_t unrotated_steps = 10;
/// Interval at which the late steps are rotated while passes don't reach all of them.
constexpr milliseconds rotation_period{2000};
/// Minimum time between passes, for each waiting step, since a pass looks at all of them; and its maximum.
constexpr std::chrono::microseconds pass_spacing{500};
constexpr milliseconds max_pass_spacing{60};
/// While a write takes longer than this, passes skip jobs that aren't written yet, so that they reach others.
constexpr milliseconds max_usual_write{300};
/// Interval between searches of all targets for the cause of one step's wait.
constexpr milliseconds cause_period{200};
/// Waits of at least this length are logged once they are over.
constexpr milliseconds notable_wait{500};

} // namespace

int job_engine::next_run_number(int last) const {
    const auto base = static_cast<int>(m_options.epoch - 1) * runs_per_epoch;
    return std::max(last, base) + 1;
}

bool job_engine::usable(instant at, const target_state& target) const {
    return target.listed && target.contacted && !target.may_have_restarted() && target.in_roster &&
           !target.transfer_to && !target.entry.draining && !target.has_run_of_unknown_need() &&
           at >= target.avoid_until && may_grant(target) && !m_drained.contains(target.entry.data_centre);
}

void job_engine::schedule(instant at) {
    if (!m_changed || at < m_pass_after)
        return;
    m_changed = false;
    end_jobs_without_attempts(at);
    m_held_by_limit.clear();
    m_limit_reserved.clear();
    m_unconfirmed_use = max_unconfirmed_use(at);
    collect_orphans();
    auto waiting = collect_waiting(at);
    count_backlog(at, waiting);
    std::ranges::stable_sort(waiting, [&](const ready_step& left, const ready_step& right) {
        return goes_before(at, *left.sort_key, *right.sort_key);
    });
    order_by_fair_share(at, waiting);
    rotate_late(at, waiting);
    // Capacity freed for a gang is withheld from steps ahead of it too; otherwise it would have to be freed
    // again.
    m_kept.clear();
    for (const auto& ready : waiting) {
        const auto& step = step_of(ready);
        if (at < step.kept_until) {
            for (const auto& id : step.kept_targets) {
                if (const auto target = m_targets.find(id); target != m_targets.end())
                    m_kept.emplace(&target->second, &step);
            }
        }
    }
    target_set reserved;
    m_reserving_gangs = 0;
    m_useful_work_waits = false;
    m_uncommitted_cpu_milli = free_cpu_milli(at);
    m_much_is_free = m_uncommitted_cpu_milli * 2 > usable_cpu_milli(at);
    m_groups.clear();
    m_waiting_cpu_milli = 0;
    m_shortage_cpu_milli = 0;
    m_shortage_gang.reset();
    bool cut_short = false;
    for (auto& ready : waiting) {
        const auto cause = consider(at, ready, reserved);
        cut_short = cut_short || cause == wait_cause::not_reached;
        const bool waits_for_others = cause == wait_cause::team_limit || cause == wait_cause::advice;
        m_useful_work_waits = m_useful_work_waits || (cause != wait_cause::none && !waits_for_others &&
                                                      at <= ready.sort_key->latest_useful_start);
        note_wait(at, ready, cause);
        note_shortage(at, ready, cause);
    }
    m_reserved = std::move(reserved);
    note_pass_end(at, cut_short);
    const auto spacing = std::chrono::floor<milliseconds>(pass_spacing * waiting.size());
    m_pass_after = at + std::min(spacing, max_pass_spacing);
}

wait_cause job_engine::consider(instant at, ready_step& ready, target_set& reserved) {
    const auto queue = m_config->queues.find(ready.job->queue);
    if (queue == m_config->queues.end())
        return wait_cause::no_usable_target;
    const auto& spec = ready.job->spec.steps(ready.step);
    auto& group = group_of(at, ready, queue->second);
    ready.group = &group;
    if (group.targets.empty() || !has_room(need_of(spec), group.largest_capacity))
        return wait_cause::no_usable_target;
    const bool advised = queue->second.advice.has_value();
    if (group.without_capacity >= max_steps_without_capacity && !may_pass(group, spec, advised))
        return wait_cause::not_reached;
    if (waits_for_advice(at, ready))
        return wait_cause::advice;
    const auto cause = schedule_step(at, ready, group, reserved);
    const bool lacks_capacity = cause == wait_cause::no_capacity || cause == wait_cause::capacity_reserved ||
                                cause == wait_cause::too_few_good_targets;
    group.without_capacity += lacks_capacity ? 1 : 0;
    if (lacks_capacity && spec.gang() && !advised)
        group.too_wide.push_back(&spec);
    return cause;
}

// On a full fleet the order of steps is kept; beside much free capacity, small steps pass larger ones.
bool job_engine::may_pass(const step_group& group, const pb::step_spec& spec, bool advised) const {
    if (!m_much_is_free || !spec.gang())
        return m_much_is_free;
    // Another gang may be good for other targets; apart from that, one that asks for no less fits no better.
    return !advised && std::ranges::none_of(group.too_wide, [&](const pb::step_spec* known) {
        const bool other_terms = known->max_per_target() > 0 || (known->same_rack() && !spec.same_rack());
        return !other_terms && known->count() <= spec.count() && has_room(need_of(*known), need_of(spec));
    });
}

job_engine::step_group& job_engine::group_of(instant at, const ready_step& ready, const queue_policy& queue) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto [found, added] = m_groups.try_emplace({queue.service, spec.required_label()});
    auto& group = found->second;
    if (!added)
        return group;
    auto& largest = group.largest_capacity;
    for (auto& [id, target] : m_targets) {
        const auto& capacity = target.entry.capacity;
        if (!usable(at, target) || target.entry.service != queue.service || !has_label(target, spec))
            continue;
        largest = {std::max(largest.cpu_milli, capacity.cpu_milli),
                   std::max(largest.memory_mb, capacity.memory_mb),
                   std::max(largest.accelerators, capacity.accelerators)};
        group.targets.push_back(&target);
    }
    return group;
}

bool job_engine::has_label(const target_state& target, const pb::step_spec& spec) {
    return spec.required_label().empty() ||
           std::ranges::find(target.entry.labels, spec.required_label()) != target.entry.labels.end();
}

void job_engine::rotate_late(instant at, std::vector<ready_step>& waiting) {
    const auto is_late = [&](const ready_step& ready) {
        return !ready.sort_key->exceeds_team_rate && at > ready.sort_key->latest_useful_start;
    };
    const auto oldest = std::ranges::find_if(waiting, is_late);
    const auto last = std::find_if_not(oldest, waiting.end(), is_late);
    const auto first = oldest + std::min(unrotated_steps, last - oldest);
    if (first != last)
        std::rotate(first, first + static_cast<std::ptrdiff_t>(m_late_offset) % (last - first), last);
}

void job_engine::note_pass_end(instant at, bool cut_short) {
    if (!cut_short) {
        m_late_offset = 0;
    } else if (at >= m_next_rotation) {
        m_next_rotation = at + rotation_period;
        m_late_offset += max_steps_without_capacity / 2;
    }
}

void job_engine::collect_orphans() {
    m_orphaned_tasks.clear();
    m_teams_of_unknown_use.clear();
    for (const auto& [id, target] : m_targets) {
        for (const auto& orphan : target.orphans) {
            m_orphaned_tasks.insert(orphan.task);
            if (orphan.team.empty())
                continue;
            m_unconfirmed_use[orphan.team] += orphan.held;
            if (!orphan.need_known)
                m_teams_of_unknown_use.insert(orphan.team);
        }
    }
}

std::vector<job_engine::ready_step> job_engine::collect_waiting(instant at) {
    std::vector<ready_step> waiting;
    const bool write_is_slow = m_rows_in_write && at - m_rows_taken > max_usual_write;
    for (const auto& [id, open] : m_open) {
        auto& job = *open;
        for (auto& [number, occurrence] : job.occurrences) {
            if (occurrence.open_steps == 0)
                continue;
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const auto& step = occurrence.steps[i];
                const ready_step ready{&job, number, static_cast<int>(i), &step.sort_key};
                if (!is_waiting(step)) {
                    // Runs that a target reported may have ended its wait.
                    if (step.wait.cause() != wait_cause::none)
                        note_wait(at, ready, wait_cause::none);
                    continue;
                }
                if (job.unconfirmed)
                    note_wait(at, ready, wait_cause::runs_unconfirmed);
                else if (write_is_slow && job.durable_version == 0)
                    note_wait(at, ready, wait_cause::job_not_recorded);
                else
                    waiting.push_back(ready);
            }
        }
    }
    return waiting;
}

bool job_engine::is_waiting(const step_state& step) {
    return step.ready && step.open_tasks > 0 && count_queued(step) > 0;
}

std::ptrdiff_t job_engine::count_queued(const step_state& step) {
    return std::ranges::count_if(
        step.tasks, [](const task_state& task) { return !task.done && task.run_targets.empty(); });
}

job_engine::step_state& job_engine::step_of(const ready_step& ready) {
    return ready.job->occurrences.at(ready.occurrence).steps[static_cast<std::size_t>(ready.step)];
}

void job_engine::note_wait(instant at, const ready_step& ready, wait_cause cause) {
    auto& step = step_of(ready);
    step.wait.note(at, cause);
    const auto tell = [&](const char* event) {
        add_event(event, ready.job->spec.id(),
                  std::to_string(ready.occurrence) + "." + std::to_string(ready.step) + ": " +
                      step.wait.describe(at) + describe_cause(ready, cause));
    };
    if (cause == wait_cause::none) {
        if (step.wait.total(at) >= notable_wait)
            tell("step_waited");
        step.wait = {};
        return;
    }
    if (at <= ready.sort_key->latest_useful_start || step.long_wait_logged)
        return;
    step.long_wait_logged = true;
    tell("step_waits");
}

std::string job_engine::describe_cause(const ready_step& ready, wait_cause cause) const {
    if (cause == wait_cause::none)
        return {};
    auto text = "; now for " + std::string{name_of(cause)};
    const auto& spec = ready.job->spec.steps(ready.step);
    if (cause == wait_cause::team_limit)
        return text + ", " +
               describe_limit(ready.job->team,
                              spec.gang() ? times(need_of(spec), spec.count()) : need_of(spec),
                              {ready.job->spec.id(), ready.occurrence, ready.step, 0});
    if (cause == wait_cause::no_capacity || cause == wait_cause::too_few_good_targets)
        return text + ", " + std::to_string(step_of(ready).advice.good_count()) + " targets known as good" +
               (m_limit_reserved.contains(ready.job->team) ? ", its team's limit is kept for a gang" : "");
    return text;
}

void job_engine::count_backlog(instant at, const std::vector<ready_step>& waiting) {
    m_backlog.clear();
    m_limited.clear();
    for (const auto& ready : waiting) {
        if (at > ready.sort_key->latest_useful_start)
            continue;
        const auto& spec = ready.job->spec.steps(ready.step);
        const auto& step = step_of(ready);
        const auto run_time = expected_time(ready.job->spec, ready.step, &step);
        const auto work =
            static_cast<double>(spec.need().cpu_milli()) * static_cast<double>(run_time.count());
        m_backlog[order_class_of(at, *ready.sort_key)] += work * static_cast<double>(step.open_tasks);
        const auto queued = static_cast<double>(count_queued(step));
        const auto time = run_time * (queued * share_of_team_limit(ready.job->team, need_of(spec)));
        if (time.count() > 0)
            m_limited[ready.job->team].push_back({*ready.sort_key, time});
    }
}

bool job_engine::has_orphaned_run(const ready_step& ready, std::size_t index) const {
    return !m_orphaned_tasks.empty() && m_orphaned_tasks.contains({ready.job->spec.id(), ready.occurrence,
                                                                   ready.step, static_cast<int>(index)});
}

std::vector<target_state*> job_engine::candidates(const ready_step& ready) {
    const auto need = need_of(ready.job->spec.steps(ready.step));
    auto found = suitable_targets(ready);
    std::erase_if(found, [&](const target_state* target) { return !has_room(need, target->free()); });
    return found;
}

wait_cause job_engine::schedule_step(instant at, const ready_step& ready, step_group& group,
                                     target_set& reserved) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto need = need_of(spec);
    const auto unit = spec.gang() ? times(need, spec.count()) : need;
    const auto queue = m_config->queues.find(ready.job->queue);
    if (queue == m_config->queues.end())
        return wait_cause::no_usable_target;
    if (is_held_by_team_limit(at, ready, unit))
        return wait_cause::team_limit;
    if (!spec.gang() &&
        std::ranges::any_of(group.too_large, [&](const resources& known) { return has_room(known, need); }))
        return wait_cause::no_capacity;
    auto all = candidates(ready);
    const bool any_capacity = !all.empty();
    const auto& step = step_of(ready);
    std::erase_if(all, [&](const target_state* target) {
        return reserved.contains(target) || kept_for_other(*target, step);
    });
    const bool advised = queue->second.advice.has_value();
    auto allowed = all;
    if (advised && !step.advice.any_ticket(at)) {
        allowed.clear();
    } else if (advised) {
        std::erase_if(allowed, [&](const target_state* target) {
            return step.advice.ticket(at, target->entry.id) == nullptr;
        });
    }
    extend_limit_reservation(at, ready);
    const auto cause = spec.gang() ? place_gang(at, ready, allowed) : place_tasks(at, ready, allowed);
    const bool unplaced = cause != wait_cause::none && cause != wait_cause::team_limit;
    const bool capacity_reserved =
        cause == wait_cause::no_capacity && spec.gang() && reserve_and_preempt(at, ready, advised, reserved);
    if (unplaced && !capacity_reserved && advised)
        request_missing_advice(at, ready, all);
    if (unplaced && spec.gang()) {
        const bool too_wide = exceeds_whole_limit(ready.job->team, unit);
        const bool holds_targets = capacity_reserved || reserve_targets(ready, advised, reserved);
        if ((holds_targets || at < step.limit_reserved_until) && !too_wide)
            m_limit_reserved.try_emplace(ready.job->team, at_limit(at, ready, unit));
        if (!all.empty() && too_wide)
            note_held_by_limit(at, ready, unit);
    }
    if (cause != wait_cause::no_capacity)
        return cause;
    if (!spec.gang() && !advised && spec.max_per_target() == 0)
        group.too_large.push_back(need);
    if (all.empty() && any_capacity)
        return wait_cause::capacity_reserved;
    return cause_of_no_capacity(at, ready, advised);
}

wait_cause job_engine::cause_of_no_capacity(instant at, const ready_step& ready, bool advised) {
    auto& step = step_of(ready);
    const auto known = step.wait.cause();
    const bool found_here = known == wait_cause::no_capacity || known == wait_cause::advice ||
                            known == wait_cause::too_few_good_targets ||
                            known == wait_cause::no_usable_target;
    if (at < step.next_cause_check && found_here)
        return known;
    step.next_cause_check = at + cause_period;
    return look_for_cause(at, ready, advised);
}

wait_cause job_engine::look_for_cause(instant at, const ready_step& ready, bool advised) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto& step = step_of(ready);
    const auto targets = suitable_targets(ready);
    if (targets.empty())
        return wait_cause::no_usable_target;
    const auto has_capacity_now = [&](const target_state* target) {
        return has_room(need_of(spec), target->free());
    };
    if (!advised || std::ranges::none_of(targets, has_capacity_now))
        return wait_cause::no_capacity;
    std::int64_t members = 0;
    bool all_known = true;
    for (const auto* target : targets) {
        all_known = all_known && step.advice.known(target->entry.id);
        if (step.advice.good(target->entry.id))
            members += max_members(spec, target->entry.capacity);
    }
    if (all_known && spec.gang() && members < spec.count())
        return wait_cause::too_few_good_targets;
    const bool knows_enough = spec.gang() && members >= spec.count();
    return knows_enough || step.advice.any_ticket(at) ? wait_cause::no_capacity : wait_cause::advice;
}

std::vector<target_state*> job_engine::suitable_targets(const ready_step& ready) {
    const auto need = need_of(ready.job->spec.steps(ready.step));
    std::vector<target_state*> found;
    found.reserve(ready.group->targets.size());
    std::ranges::copy_if(ready.group->targets, std::back_inserter(found),
                         [&](const target_state* target) { return has_room(need, target->entry.capacity); });
    return found;
}

std::int64_t job_engine::max_members(const pb::step_spec& spec, const resources& free) {
    const auto fits = fits_in(need_of(spec), free);
    return spec.max_per_target() > 0 ? std::min<std::int64_t>(fits, spec.max_per_target()) : fits;
}

wait_cause job_engine::place_tasks(instant at, const ready_step& ready,
                                   const std::vector<target_state*>& allowed) {
    const auto need = need_of(ready.job->spec.steps(ready.step));
    const auto& step = step_of(ready);
    std::map<std::string, int> placed_on;
    for (const auto& task : step.tasks) {
        for (const auto& target : task.run_targets)
            ++placed_on[target];
    }
    auto remaining_cause = wait_cause::none;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const auto& task = step.tasks[i];
        if (task.done || !task.run_targets.empty())
            continue;
        if (has_orphaned_run(ready, i)) {
            remaining_cause = wait_cause::run_ending;
            continue;
        }
        if (task.not_before > at) {
            m_changed = true;
            remaining_cause = wait_cause::retry_delay;
            continue;
        }
        if (ready.job->durable_version == 0)
            return wait_cause::job_not_recorded;
        const bool passes =
            m_held_by_limit.contains(ready.job->team) || !within_team_limit(ready.job->team, need);
        if (passes && !may_use_idle_limit(at, ready, need)) {
            if (!m_held_by_limit.contains(ready.job->team))
                preempt_under_team_limit(at, ready, need);
            note_held_by_limit(at, ready, need);
            return wait_cause::team_limit;
        }
        auto* best = best_target(ready, task, allowed, placed_on);
        if (best == nullptr)
            return wait_cause::no_capacity;
        ++placed_on[best->entry.id];
        place(at, ready, static_cast<int>(i), *best, next_run_number(task.last_run), task.saved_state);
        if (passes)
            note_passed_at_limit(*best,
                                 {ready.job->spec.id(), ready.occurrence, ready.step, static_cast<int>(i)});
    }
    return remaining_cause;
}

target_state* job_engine::best_target(const ready_step& ready, const task_state& task,
                                      const std::vector<target_state*>& allowed,
                                      const std::map<std::string, int>& placed_on) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto need = need_of(spec);
    target_state* best = nullptr;
    std::tuple<bool, bool, std::int64_t> best_rank{};
    for (auto* target : allowed) {
        const auto free = target->free();
        if (!has_room(need, free))
            continue;
        const auto placed = placed_on.find(target->entry.id);
        if (spec.max_per_target() > 0 && placed != placed_on.end() && placed->second >= spec.max_per_target())
            continue;
        const bool far = !spec.preferred_rack().empty() && target->entry.rack != spec.preferred_rack();
        const std::tuple rank{task.last_failed_target == target->entry.id, far,
                              free.cpu_milli - need.cpu_milli};
        if (best == nullptr || rank < best_rank) {
            best = target;
            best_rank = rank;
        }
    }
    return best;
}

void job_engine::place(instant at, const ready_step& ready, int index, target_state& target, int number,
                       const std::string& saved_state) {
    const task_name name{ready.job->spec.id(), ready.occurrence, ready.step, index};
    auto& step = step_of(ready);
    auto& task = step.tasks[static_cast<std::size_t>(index)];
    live_run run;
    run.task = name;
    run.number = number;
    run.held = need_of(ready.job->spec.steps(ready.step));
    run.team = ready.job->team;
    run.placed_at = at;
    run.saved_state = saved_state;
    run.preemption = preemption_terms_of(ready, task);
    target.held += run.held;
    target.was_idle = false;
    m_held[run.team] += run.held;
    task.run_targets.push_back(target.entry.id);
    task.last_run = number;
    const auto text = name.to_string();
    add_event("task_placed", name.job,
              target.entry.id + " " + text + " run " + std::to_string(number) + ", free cpu_milli " +
                  std::to_string(target.free().cpu_milli));
    const auto* ticket = step.advice.ticket(at, target.entry.id);
    m_starts.push_back({target.entry.id, text, number, ticket == nullptr ? std::string{} : *ticket, at});
    target.runs[text] = std::move(run);
}

} // namespace medlarhub

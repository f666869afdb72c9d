// Placement of gangs: all tasks of a gang start at the same time.

#include "jobs/engine.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// How many gangs may reserve busy targets, until the runs there end, at a time.
constexpr int max_reserving_gangs = 1;
/// A run is preempted only if its job has at least this long to find capacity again before it is late.
constexpr milliseconds min_slack{4000};
/// How long targets are kept for a gang while other runs end there and it requests tickets.
constexpr milliseconds max_preemption_time{2000};
constexpr milliseconds preemption_retry_delay{60};
/// How many times one task may be preempted.
constexpr int max_preemptions = 2;

} // namespace

wait_cause job_engine::place_gang(instant at, const ready_step& ready,
                                  const std::vector<target_state*>& allowed) {
    if (ready.job->durable_version == 0)
        return wait_cause::job_not_recorded;
    const auto& spec = ready.job->spec.steps(ready.step);
    auto& step = step_of(ready);
    int last = 0;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const auto& task = step.tasks[i];
        if (!task.run_targets.empty() || has_orphaned_run(ready, i))
            return wait_cause::run_ending;
        if (task.not_before > at) {
            m_changed = true;
            return wait_cause::retry_delay;
        }
        last = std::max(last, task.last_run);
    }
    const auto count = static_cast<std::int64_t>(step.tasks.size());
    std::map<std::string, std::vector<target_state*>> groups;
    for (auto* target : allowed)
        groups[spec.same_rack() ? target->entry.rack : std::string{}].push_back(target);
    for (auto& [rack, group] : groups) {
        // Best fit: fuller targets first, to keep the free capacity in large pieces.
        std::ranges::stable_sort(group, {},
                                 [](const target_state* target) { return target->free().cpu_milli; });
        std::vector<target_state*> chosen;
        for (auto* target : group) {
            auto fits = max_members(spec, target->free());
            while (fits-- > 0 && static_cast<std::int64_t>(chosen.size()) < count)
                chosen.push_back(target);
        }
        if (static_cast<std::int64_t>(chosen.size()) < count)
            continue;
        const auto number = next_run_number(last);
        const auto saved_state = step.gang_saved_state;
        const bool passes = m_held_by_limit.contains(ready.job->team) ||
                            !within_team_limit(ready.job->team, times(need_of(spec), count));
        for (std::size_t i = 0; i < step.tasks.size(); ++i) {
            const auto index = static_cast<int>(i);
            place(at, ready, index, *chosen[i], number, saved_state);
            if (passes)
                note_passed_at_limit(*chosen[i], {ready.job->spec.id(), ready.occurrence, ready.step, index});
        }
        return wait_cause::none;
    }
    return wait_cause::no_capacity;
}

bool job_engine::can_be_preempted(instant at, const live_run& run, int priority) {
    if (!run.preemption || run.stop_wanted || run.phase != run_phase::running ||
        run.preemption->priority <= priority)
        return false;
    const bool late = at > run.preemption->due + run.preemption->estimate;
    return late || at + min_slack <= run.preemption->due;
}

std::optional<preemption_terms> job_engine::preemption_terms_of(const ready_step& ready,
                                                                const task_state& task) const {
    const auto& spec = ready.job->spec.steps(ready.step);
    const bool keeps_state = spec.checkpoint() && !spec.gang() && !spec.long_running() && !spec.fills_spare();
    if (!keeps_state || task.preemptions >= max_preemptions)
        return {};
    return preemption_terms{ready.sort_key->priority, ready.sort_key->due,
                            expected_time(ready.job->spec, ready.step, &step_of(ready))};
}

void job_engine::preempt_run(target_state& target, std::string_view task, const std::string& job) {
    auto& run = target.runs.at(std::string{task});
    request_stop(run);
    if (auto* step = find_step(run.task, nullptr))
        ++step->tasks[static_cast<std::size_t>(run.task.index)].preemptions;
    add_event("run_yields", run.task.job,
              target.entry.id + " " + std::string{task} + " run " + std::to_string(run.number) + ", to " +
                  job);
}

gang_offer job_engine::offer_of(instant at, const ready_step& ready, const target_state& target) const {
    gang_offer offer{target.entry.id, target.free(), {}};
    // Work past its latest useful start must not preempt other work while useful work waits.
    const bool may_preempt = at <= ready.sort_key->latest_useful_start || !m_useful_work_waits;
    for (const auto& [task, run] : target.runs) {
        if (run.stop_wanted)
            offer.free += run.held;
        else if (may_preempt && can_be_preempted(at, run, ready.sort_key->priority))
            offer.stoppable.push_back({task, run.held});
    }
    return offer;
}

bool job_engine::kept_for_other(const target_state& target, const step_state& step) const {
    const auto kept = m_kept.find(&target);
    return kept != m_kept.end() && kept->second != &step;
}

std::vector<gang_place> job_engine::find_gang_places(instant at, const ready_step& ready,
                                                     const std::vector<target_state*>& targets) const {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto max_on_one = spec.max_per_target() > 0 ? spec.max_per_target() : spec.count();
    std::map<std::string, std::vector<gang_offer>> groups;
    for (const auto* target : targets)
        groups[spec.same_rack() ? target->entry.rack : std::string{}].push_back(offer_of(at, ready, *target));
    for (const auto& [rack, offers] : groups) {
        if (auto places = find_gang_capacity(need_of(spec), spec.count(), max_on_one, offers))
            return std::move(*places);
    }
    return {};
}

bool job_engine::reserve_and_preempt(instant at, const ready_step& ready, bool advised,
                                     target_set& reserved) {
    auto& step = step_of(ready);
    if (at < step.next_preemption_attempt)
        return false;
    auto targets = suitable_targets(ready);
    std::erase_if(targets, [&](const target_state* target) {
        return reserved.contains(target) || kept_for_other(*target, step) ||
               (advised && !step.advice.good(target->entry.id));
    });
    auto kept = targets;
    std::erase_if(kept, [&](const target_state* target) {
        return at >= step.kept_until || !step.kept_targets.contains(target->entry.id);
    });
    auto places = find_gang_places(at, ready, kept);
    if (places.empty()) {
        places = find_gang_places(at, ready, targets);
        step.kept_until = at + max_preemption_time;
        step.kept_targets.clear();
    }
    if (places.empty()) {
        step.kept_until = {};
        step.next_preemption_attempt = at + preemption_retry_delay;
        return false;
    }
    std::vector<target_state*> used;
    for (const auto& place : places) {
        auto& target = m_targets.at(std::string{place.target});
        used.push_back(&target);
        reserved.insert(&target);
        step.kept_targets.insert(target.entry.id);
        for (const auto task : place.stops)
            preempt_run(target, task, ready.job->spec.id());
    }
    if (advised)
        (void)request_tickets(at, ready, used);
    return true;
}

bool job_engine::reserve_targets(const ready_step& ready, bool advised, target_set& reserved) {
    if (m_reserving_gangs >= max_reserving_gangs)
        return false;
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto& step = step_of(ready);
    auto by_free = suitable_targets(ready);
    std::erase_if(by_free, [&](const target_state* target) {
        return reserved.contains(target) || kept_for_other(*target, step) ||
               (advised && !step.advice.good(target->entry.id));
    });
    if (by_free.empty())
        return false;
    std::ranges::stable_sort(by_free, std::ranges::greater{},
                             [](const target_state* target) { return target->free().cpu_milli; });
    std::int64_t missing = spec.count();
    std::vector<const target_state*> held;
    for (const auto* target : by_free) {
        if (missing <= 0)
            break;
        missing -= max_members(spec, target->entry.capacity);
        held.push_back(target);
    }
    if (missing > 0)
        return false;
    ++m_reserving_gangs;
    reserved.insert(held.begin(), held.end());
    return true;
}

} // namespace medlarhub

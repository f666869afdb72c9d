// Where gangs run: all tasks of one start at the same time.

#include "jobs/engine.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// Gangs that may hold targets back for themselves at a time.
constexpr int reserving_gangs = 1;

} // namespace

wait_cause job_engine::place_gang(instant at, const ready_step& ready,
                                  const std::vector<target_state*>& allowed) {
    if (ready.job->durable == 0)
        return wait_cause::not_written;
    const auto& spec = ready.job->spec.steps(ready.step);
    auto& step = step_of(ready);
    int last = 0;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const auto& task = step.tasks[i];
        if (!task.on.empty() || is_stray(ready, i))
            return wait_cause::run_leaving;
        if (task.not_before > at) {
            m_changed = true;
            return wait_cause::pause;
        }
        last = std::max(last, task.last_run);
    }
    const auto count = static_cast<std::int64_t>(step.tasks.size());
    std::map<std::string, std::vector<target_state*>> groups;
    for (auto* target : allowed)
        groups[spec.same_rack() ? target->entry.rack : std::string{}].push_back(target);
    for (auto& [rack, group] : groups) {
        // Fuller targets first: what stays free stays in large pieces.
        std::ranges::stable_sort(group, {},
                                 [](const target_state* target) { return target->free().cpu_milli; });
        std::vector<target_state*> chosen;
        for (auto* target : group) {
            auto fits = most_members(spec, target->free());
            while (fits-- > 0 && static_cast<std::int64_t>(chosen.size()) < count)
                chosen.push_back(target);
        }
        if (static_cast<std::int64_t>(chosen.size()) < count)
            continue;
        const auto number = next_number(last);
        const auto saved = step.gang_saved;
        for (std::size_t i = 0; i < step.tasks.size(); ++i)
            place(at, ready, static_cast<int>(i), *chosen[i], number, saved);
        return wait_cause::none;
    }
    return wait_cause::room;
}

bool job_engine::reserve(instant at, const ready_step& ready, bool advised, std::set<std::string>& reserved) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto& step = step_of(ready);
    const auto need = need_of(spec);
    const auto& service = m_config->queues.at(ready.job->queue).service;
    std::vector<const target_state*> by_free;
    for (const auto& [id, target] : m_targets) {
        if (usable(at, target) && target.entry.service == service && !reserved.contains(id) &&
            has_room(need, target.entry.capacity) && (!advised || step.advice.good(id)))
            by_free.push_back(&target);
    }
    std::ranges::stable_sort(by_free, std::ranges::greater{},
                             [](const target_state* target) { return target->free().cpu_milli; });
    // Room that there is now is kept while the question about it is out, or others would take it meanwhile.
    std::int64_t room = 0;
    for (const auto* target : by_free)
        room += fits_in(need, target->free());
    const bool keeps_room = step.advice.asked() && room >= spec.count();
    if (by_free.empty() || (!keeps_room && m_reserving >= reserving_gangs))
        return false;
    m_reserving += keeps_room ? 0 : 1;
    std::int64_t missing = spec.count();
    for (const auto* target : by_free) {
        if (missing <= 0)
            break;
        missing -= fits_in(need, keeps_room ? target->free() : target->entry.capacity);
        reserved.insert(target->entry.id);
    }
    return true;
}

} // namespace medlarhub

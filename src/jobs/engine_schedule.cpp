// Who runs where: which steps get their turn, and on which targets.

#include "jobs/engine.h"

#include <algorithm>
#include <limits>

namespace medlarhub {

namespace {

/// Run numbers of one epoch; the numbers of the next epoch lie above all of them.
constexpr int runs_per_epoch = 1000;
/// Targets that one question to the advice service usually names at most ...
constexpr std::size_t asked_at_a_time = 30;
/// ... and for a gang that needs more.
constexpr std::size_t most_asked_at_a_time = 100;
/// Gangs that may hold targets back for themselves at a time.
constexpr int reserving_gangs = 1;
/// A pass ends after this many steps that found no room; when more steps than that wait, passes keep apart.
constexpr int fruitless_most = 40;
constexpr milliseconds crowded_pass_spacing{20};
/// A write that is out for longer holds the jobs in it back from passes, so that others get their turn.
constexpr milliseconds longest_usual_write{300};

std::int64_t fits_in(const resources& need, const resources& free) {
    auto fits = std::numeric_limits<std::int64_t>::max();
    const auto limit = [&](std::int64_t wanted, std::int64_t left) {
        if (wanted > 0)
            fits = std::min(fits, std::max<std::int64_t>(left, 0) / wanted);
    };
    limit(need.cpu_milli, free.cpu_milli);
    limit(need.memory_mb, free.memory_mb);
    limit(need.accelerators, free.accelerators);
    return fits;
}

} // namespace

int job_engine::next_number(int last) const {
    const auto base = static_cast<int>(m_options.epoch - 1) * runs_per_epoch;
    return std::max(last, base) + 1;
}

bool job_engine::usable(instant at, const target_state& target) const {
    return target.listed && target.claimed && !target.suspect && !target.entry.draining &&
           !target.holds_unknown() && at >= target.avoid_until &&
           !m_drained.contains(target.entry.data_centre);
}

void job_engine::schedule(instant at) {
    if (!m_changed || at < m_pass_after)
        return;
    m_changed = false;
    m_over_cap.clear();
    m_claimed.clear();
    m_stray_tasks.clear();
    for (const auto& [id, target] : m_targets) {
        for (const auto& stray : target.strays)
            m_stray_tasks.insert(stray.task);
    }
    std::vector<ready_step> waiting;
    const bool writes_stuck = m_rows_out && at - m_rows_taken > longest_usual_write;
    for (const auto& id : m_open) {
        auto& job = m_jobs.at(id);
        if (job.doubtful || (writes_stuck && job.durable == 0))
            continue;
        for (auto& [number, occurrence] : job.occurrences) {
            if (occurrence.open == 0)
                continue;
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const auto& step = occurrence.steps[i];
                if (!step.ready || step.open == 0)
                    continue;
                const bool queued = std::ranges::any_of(
                    step.tasks, [](const task_state& task) { return !task.done && task.on.empty(); });
                if (queued)
                    waiting.push_back({&job, number, static_cast<int>(i), &occurrence.turn});
            }
        }
    }
    count_backlog(at, waiting);
    std::ranges::stable_sort(waiting, [&](const ready_step& left, const ready_step& right) {
        return goes_before(at, *left.turn, *right.turn);
    });
    std::set<std::string> reserved;
    m_reserving = 0;
    m_unasked_cpu_milli = free_cpu_milli(at);
    int fruitless = 0;
    for (const auto& ready : waiting) {
        if (waits_for_advice(at, ready))
            continue;
        const auto result = schedule_step(at, ready, reserved);
        note_wait(at, ready, result);
        if (result == step_result::no_room && ++fruitless >= fruitless_most)
            break;
    }
    m_pass_after = waiting.size() > fruitless_most ? at + crowded_pass_spacing : at;
}

void job_engine::note_wait(instant at, const ready_step& ready, step_result result) {
    auto& step = ready.job->occurrences.at(ready.occurrence).steps[static_cast<std::size_t>(ready.step)];
    if (result == step_result::placed || at <= ready.turn->hopeless || step.wait_noted)
        return;
    step.wait_noted = true;
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto unit = spec.gang() ? times(need_of(spec), spec.count()) : need_of(spec);
    const auto cause =
        result == step_result::no_room
            ? "no room or no advice, " + std::to_string(step.advice.good_count()) + " targets known as good"
            : describe_limit(ready.job->team, unit);
    note("step_waits", ready.job->spec.id(),
         std::to_string(ready.occurrence) + "." + std::to_string(ready.step) + ": " + cause);
}

bool job_engine::waits_for_advice(instant at, const ready_step& ready) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto queue = m_config->queues.find(ready.job->queue);
    if (spec.gang() || queue == m_config->queues.end() || !queue->second.advice)
        return false;
    const auto& step =
        ready.job->occurrences.at(ready.occurrence).steps[static_cast<std::size_t>(ready.step)];
    if (step.advice.any_ticket(at) || (step.advice.due(at) && m_lanes.any_free(at)))
        return false;
    const auto queued = std::ranges::count_if(
        step.tasks, [](const task_state& task) { return !task.done && task.on.empty(); });
    m_unasked_cpu_milli -= queued * need_of(spec).cpu_milli;
    return true;
}

void job_engine::count_backlog(instant at, const std::vector<ready_step>& waiting) {
    m_backlog.clear();
    for (const auto& ready : waiting) {
        if (at > ready.turn->hopeless)
            continue;
        const auto& spec = ready.job->spec.steps(ready.step);
        const auto& step =
            ready.job->occurrences.at(ready.occurrence).steps[static_cast<std::size_t>(ready.step)];
        const auto work =
            static_cast<double>(spec.need().cpu_milli()) * static_cast<double>(spec.estimate_ms());
        m_backlog[ready.turn->priority] += work * static_cast<double>(step.open);
    }
}

bool job_engine::is_stray(const ready_step& ready, std::size_t index) const {
    return !m_stray_tasks.empty() && m_stray_tasks.contains({ready.job->spec.id(), ready.occurrence,
                                                             ready.step, static_cast<int>(index)});
}

std::vector<target_state*> job_engine::candidates(instant at, const ready_step& ready) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto need = need_of(spec);
    const auto queue = m_config->queues.find(ready.job->queue);
    std::vector<target_state*> found;
    if (queue == m_config->queues.end())
        return found;
    for (auto& [id, target] : m_targets) {
        if (!usable(at, target) || target.entry.service != queue->second.service)
            continue;
        if (!spec.required_label().empty() &&
            std::ranges::find(target.entry.labels, spec.required_label()) == target.entry.labels.end())
            continue;
        if (!has_room(need, target.free()))
            continue;
        found.push_back(&target);
    }
    return found;
}

job_engine::step_result job_engine::schedule_step(instant at, const ready_step& ready,
                                                  std::set<std::string>& reserved) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto need = need_of(spec);
    const auto unit = spec.gang() ? times(need, spec.count()) : need;
    const auto queue = m_config->queues.find(ready.job->queue);
    if (queue == m_config->queues.end() || waits_behind_cap(at, ready, unit))
        return step_result::over_cap;
    auto all = candidates(at, ready);
    std::erase_if(all, [&](const target_state* target) { return reserved.contains(target->entry.id); });
    const auto& step =
        ready.job->occurrences.at(ready.occurrence).steps[static_cast<std::size_t>(ready.step)];
    const bool advised = queue->second.advice.has_value();
    auto allowed = all;
    if (advised) {
        std::erase_if(allowed, [&](const target_state* target) {
            return step.advice.ticket(at, target->entry.id) == nullptr;
        });
    }
    const auto result = spec.gang() ? place_gang(at, ready, allowed) : place_tasks(at, ready, allowed);
    if (result == step_result::no_room && advised)
        ask_advice(at, ready, all);
    if (result == step_result::no_room && spec.gang()) {
        const bool too_wide = wider_than_cap(ready.job->team, unit);
        if (reserve(at, ready, advised, reserved) && !too_wide)
            m_claimed.try_emplace(ready.job->team, unit);
        if (!all.empty() && too_wide)
            note_over_cap(ready, unit, at > ready.turn->hopeless);
    }
    return result;
}

job_engine::step_result job_engine::place_tasks(instant at, const ready_step& ready,
                                                const std::vector<target_state*>& allowed) {
    const auto need = need_of(ready.job->spec.steps(ready.step));
    const auto& step =
        ready.job->occurrences.at(ready.occurrence).steps[static_cast<std::size_t>(ready.step)];
    std::map<std::string, int> placed_on;
    for (const auto& task : step.tasks) {
        for (const auto& target : task.on)
            ++placed_on[target];
    }
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const auto& task = step.tasks[i];
        if (task.done || !task.on.empty() || is_stray(ready, i))
            continue;
        if (task.not_before > at) {
            m_changed = true;
            continue;
        }
        if (ready.job->durable == 0)
            return step_result::no_room;
        if (!within_cap(ready.job->team, need)) {
            note_over_cap(ready, need, at > ready.turn->hopeless);
            return step_result::over_cap;
        }
        auto* best = best_target(ready, task, allowed, placed_on);
        if (best == nullptr)
            return step_result::no_room;
        ++placed_on[best->entry.id];
        place(at, ready, static_cast<int>(i), *best, next_number(task.last_run), task.saved);
    }
    return step_result::placed;
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
        const std::tuple rank{task.avoid == target->entry.id, far, free.cpu_milli - need.cpu_milli};
        if (best == nullptr || rank < best_rank) {
            best = target;
            best_rank = rank;
        }
    }
    return best;
}

job_engine::step_result job_engine::place_gang(instant at, const ready_step& ready,
                                               const std::vector<target_state*>& allowed) {
    if (ready.job->durable == 0)
        return step_result::no_room;
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto need = need_of(spec);
    auto& step = ready.job->occurrences.at(ready.occurrence).steps[static_cast<std::size_t>(ready.step)];
    int last = 0;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const auto& task = step.tasks[i];
        if (!task.on.empty() || is_stray(ready, i))
            return step_result::no_room; // a run of before is still on its way out
        if (task.not_before > at) {
            m_changed = true;
            return step_result::no_room;
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
            auto fits = fits_in(need, target->free());
            if (spec.max_per_target() > 0)
                fits = std::min<std::int64_t>(fits, spec.max_per_target());
            while (fits-- > 0 && static_cast<std::int64_t>(chosen.size()) < count)
                chosen.push_back(target);
        }
        if (static_cast<std::int64_t>(chosen.size()) < count)
            continue;
        const auto number = next_number(last);
        const auto saved = step.gang_saved;
        for (std::size_t i = 0; i < step.tasks.size(); ++i)
            place(at, ready, static_cast<int>(i), *chosen[i], number, saved);
        return step_result::placed;
    }
    return step_result::no_room;
}

bool job_engine::reserve(instant at, const ready_step& ready, bool advised, std::set<std::string>& reserved) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto& step =
        ready.job->occurrences.at(ready.occurrence).steps[static_cast<std::size_t>(ready.step)];
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

void job_engine::place(instant at, const ready_step& ready, int index, target_state& target, int number,
                       const std::string& saved) {
    const task_name name{ready.job->spec.id(), ready.occurrence, ready.step, index};
    auto& step = ready.job->occurrences.at(ready.occurrence).steps[static_cast<std::size_t>(ready.step)];
    auto& task = step.tasks[static_cast<std::size_t>(index)];
    live_run run;
    run.task = name;
    run.number = number;
    run.held = need_of(ready.job->spec.steps(ready.step));
    run.team = ready.job->team;
    run.placed = at;
    run.saved = saved;
    target.held += run.held;
    m_held[run.team] += run.held;
    task.on.push_back(target.entry.id);
    task.last_run = number;
    const auto text = name.to_string();
    note("task_placed", name.job,
         target.entry.id + " " + text + " run " + std::to_string(number) + ", free cpu_milli " +
             std::to_string(target.free().cpu_milli));
    const auto* ticket = step.advice.ticket(at, target.entry.id);
    m_starts.push_back({target.entry.id, text, ticket == nullptr ? std::string{} : *ticket});
    target.runs[text] = std::move(run);
}

std::int64_t job_engine::free_cpu_milli(instant at) const {
    std::int64_t free = 0;
    for (const auto& [id, target] : m_targets) {
        if (usable(at, target))
            free += std::max<std::int64_t>(target.free().cpu_milli, 0);
    }
    return free;
}

void job_engine::ask_advice(instant at, const ready_step& ready,
                            const std::vector<target_state*>& candidates) {
    auto& step = ready.job->occurrences.at(ready.occurrence).steps[static_cast<std::size_t>(ready.step)];
    const auto queued = std::ranges::count_if(
        step.tasks, [](const task_state& task) { return !task.done && task.on.empty(); });
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto need_of_all = queued * need_of(spec).cpu_milli;
    // Room that earlier steps are about to use is not asked for twice. A gang uses none before it finds all.
    const bool room_left = m_unasked_cpu_milli > 0;
    if (!spec.gang())
        m_unasked_cpu_milli -= need_of_all;
    if (!room_left)
        return;
    if (!step.advice.due(at)) {
        m_changed = m_changed || !step.advice.asked();
        return;
    }
    auto useful = spec.gang() ? worth_asking_for_gang(ready, candidates) : worth_asking(step, candidates);
    if (spec.gang() && !useful.empty())
        m_unasked_cpu_milli -= need_of_all;
    const auto& policy = *m_config->queues.at(ready.job->queue).advice;
    advice_question question;
    question.step = task_name{ready.job->spec.id(), ready.occurrence, ready.step, 0}.step_string();
    for (const auto* target : useful) {
        if (step.advice.ticket(at, target->entry.id) == nullptr &&
            question.targets.size() < most_asked_at_a_time)
            question.targets.push_back(target->entry.id);
    }
    if (question.targets.empty())
        return;
    const auto cost = policy.decide + policy.per_target * static_cast<double>(question.targets.size());
    question.cost = std::chrono::ceil<milliseconds>(cost);
    const auto node = m_lanes.take(at, question.cost);
    if (!node)
        return;
    question.node = *node;
    step.advice.ask();
    m_asked_steps[question.step] = {ready.job->spec.id(), ready.occurrence, ready.step, 0};
    m_questions.push_back(std::move(question));
}

std::vector<target_state*> job_engine::worth_asking(const step_state& step,
                                                    const std::vector<target_state*>& candidates) {
    std::vector<target_state*> useful;
    std::vector<target_state*> unknown;
    for (auto* target : candidates) {
        const auto& id = target->entry.id;
        if (step.advice.good(id))
            useful.push_back(target);
        else if (!step.advice.known(id))
            unknown.push_back(target);
    }
    std::ranges::stable_sort(unknown, std::ranges::greater{},
                             [](const target_state* target) { return target->free().cpu_milli; });
    if (unknown.size() > asked_at_a_time)
        unknown.resize(asked_at_a_time);
    useful.insert(useful.end(), unknown.begin(), unknown.end());
    return useful;
}

std::vector<target_state*> job_engine::worth_asking_for_gang(const ready_step& ready,
                                                             const std::vector<target_state*>& candidates) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto need = need_of(spec);
    const auto& step =
        ready.job->occurrences.at(ready.occurrence).steps[static_cast<std::size_t>(ready.step)];
    const auto wanted = static_cast<double>(spec.count());
    const auto members_in = [&](const resources& room) {
        const auto fits = fits_in(need, room);
        return static_cast<double>(
            spec.max_per_target() > 0 ? std::min<std::int64_t>(fits, spec.max_per_target()) : fits);
    };
    // What is known to be good holds so many members if it were empty.
    double good_capacity = 0;
    for (const auto& [id, target] : m_targets) {
        if (step.advice.good(id))
            good_capacity += members_in(target.entry.capacity);
    }
    std::vector<target_state*> useful;
    std::vector<target_state*> unknown;
    double expected = 0;
    for (auto* target : candidates) {
        const auto& id = target->entry.id;
        if (step.advice.good(id)) {
            useful.push_back(target);
            expected += members_in(target->free());
        } else if (!step.advice.known(id)) {
            unknown.push_back(target);
        }
    }
    std::ranges::stable_sort(unknown, std::ranges::greater{},
                             [](const target_state* target) { return target->free().cpu_milli; });
    const auto good_share = m_good_share[ready.job->queue].value();
    std::size_t asked = 0;
    for (auto* target : unknown) {
        if (asked >= most_asked_at_a_time || (asked >= asked_at_a_time && expected >= wanted))
            break;
        expected += good_share * members_in(target->free());
        useful.push_back(target);
        ++asked;
    }
    // While it has no room anyway it asks only to learn for which targets it is to wait.
    if (expected < wanted && (good_capacity >= wanted || asked == 0))
        return {};
    return useful;
}

std::vector<advice_question> job_engine::take_questions() {
    return std::exchange(m_questions, {});
}

void job_engine::advised(instant at, const advice_question& question, const std::vector<advice_ticket>& good,
                         milliseconds valid) {
    const auto asked = m_asked_steps.find(question.step);
    if (asked == m_asked_steps.end())
        return;
    job_state* job = nullptr;
    auto* step = find_step(asked->second, &job);
    m_asked_steps.erase(asked);
    if (step == nullptr)
        return;
    const auto fresh = std::ranges::count_if(
        question.targets, [&](const std::string& target) { return !step->advice.known(target); });
    const auto fresh_good = std::ranges::count_if(
        good, [&](const advice_ticket& each) { return !step->advice.known(each.target); });
    m_good_share[job->queue].add(fresh, fresh_good);
    step->advice.answered(at, question.targets, good, valid);
    m_changed = true;
    schedule(at);
}

void job_engine::set_advisers(std::vector<std::string> nodes) {
    m_lanes.set_nodes(std::move(nodes));
}

void job_engine::advice_failed(instant at, const advice_question& question) {
    m_lanes.failed(at, question.node);
    const auto asked = m_asked_steps.find(question.step);
    if (asked == m_asked_steps.end())
        return;
    auto* step = find_step(asked->second, nullptr);
    m_asked_steps.erase(asked);
    if (step != nullptr)
        step->advice.failed(at);
    m_changed = true;
}

} // namespace medlarhub

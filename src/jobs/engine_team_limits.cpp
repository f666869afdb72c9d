// Team limits: what may start under them.

#include "jobs/engine.h"

#include <algorithm>
#include <cmath>

namespace medlarhub {

namespace {

/// Interval between searches for work of a team that can be preempted under its limit.
constexpr milliseconds preemption_period{100};
constexpr std::size_t max_limits_described = 6;
/// How long a gang whose turn under the limit has come keeps its share while it waits for advice or capacity.
constexpr milliseconds max_idle_reservation{3000};
/// A step that waited for less than this doesn't pass others of its team: work that ends may let all start.
constexpr milliseconds min_wait_to_pass{1000};
/// From then on it may also use what is kept for a gang that waits for advice or capacity.
constexpr milliseconds min_wait_to_use_kept{2000};

/// `used` as a fraction of the limit, by the resource that is used most.
double part_of(const resources& resource_limit, const resources& used) {
    const auto part = [](std::int64_t limit, std::int64_t amount) {
        return limit <= 0
                   ? 0.0
                   : static_cast<double>(std::max<std::int64_t>(amount, 0)) / static_cast<double>(limit);
    };
    return std::max({part(resource_limit.cpu_milli, used.cpu_milli),
                     part(resource_limit.memory_mb, used.memory_mb),
                     part(resource_limit.accelerators, used.accelerators)});
}

resources larger_of(const resources& left, const resources& right) {
    return {std::max(left.cpu_milli, right.cpu_milli), std::max(left.memory_mb, right.memory_mb),
            std::max(left.accelerators, right.accelerators)};
}

resources smaller_of(const resources& left, const resources& right) {
    return {std::min(left.cpu_milli, right.cpu_milli), std::min(left.memory_mb, right.memory_mb),
            std::min(left.accelerators, right.accelerators)};
}

bool is_within(const resources& resource_limit, const resources& used) {
    const auto fits = [](std::int64_t limit, std::int64_t amount) { return limit <= 0 || amount <= limit; };
    return fits(resource_limit.cpu_milli, used.cpu_milli) && fits(resource_limit.memory_mb, used.memory_mb) &&
           fits(resource_limit.accelerators, used.accelerators);
}

/// Whether some of each limited resource is left.
bool is_below(const resources& resource_limit, const resources& used) {
    const auto fits = [](std::int64_t limit, std::int64_t amount) { return limit <= 0 || amount < limit; };
    return fits(resource_limit.cpu_milli, used.cpu_milli) && fits(resource_limit.memory_mb, used.memory_mb) &&
           fits(resource_limit.accelerators, used.accelerators);
}

resources half_of(const resources& resource_limit) {
    // 0 would mean that there is no limit.
    const auto half = [](std::int64_t limit) {
        return limit <= 0 ? limit : std::max<std::int64_t>(limit / 2, 1);
    };
    return {half(resource_limit.cpu_milli), half(resource_limit.memory_mb),
            half(resource_limit.accelerators)};
}

bool has_limit(const resources& resource_limit) {
    return resource_limit.cpu_milli > 0 || resource_limit.memory_mb > 0 || resource_limit.accelerators > 0;
}

} // namespace

resources times(const resources& need, std::int64_t count) {
    return {need.cpu_milli * count, need.memory_mb * count, need.accelerators * count};
}

std::map<std::string, resources> job_engine::max_unconfirmed_use(instant at) const {
    std::map<std::string, resources> unconfirmed_use;
    if (!m_recovering || m_unconfirmed_targets.empty())
        return unconfirmed_use;
    resources largest;
    for (const auto& [id, target] : m_targets)
        largest = larger_of(largest, target.entry.capacity);
    resources capacity;
    for (const auto& [id, until] : m_unconfirmed_targets) {
        const auto target = m_targets.find(id);
        capacity += target == m_targets.end() ? largest : target->second.entry.capacity;
    }
    for (const auto& [id, open] : m_open) {
        const auto& job = *open;
        if (!job.unconfirmed)
            continue;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const auto& spec = job.spec.steps(static_cast<int>(i));
                const auto& step = occurrence.steps[i];
                // The end of one member completes the gang; the others may still run.
                const bool gang_done = spec.gang() && step.open_tasks == 0;
                unconfirmed_use[job.team] +=
                    times(need_of(spec), gang_done ? spec.count() : count_queued(step));
            }
        }
    }
    for (const auto& [id, job] : m_jobs) {
        const bool ended = job.phase != pb::job_progress::open;
        if (ended && at - from_ms(job.ended_ms) < m_options.max_unknown_run_time)
            unconfirmed_use[job.team] += job.held_at_end.value_or(capacity);
    }
    for (auto& [team, most] : unconfirmed_use)
        most = smaller_of(most, capacity);
    return unconfirmed_use;
}

bool job_engine::within_team_limit(const std::string& team, const resources& need,
                                   const resources& ended) const {
    const auto policy = m_config->teams.find(team);
    if (policy == m_config->teams.end() || !has_limit(policy->second.resource_limit))
        return true;
    if (m_teams_of_unknown_use.contains(team))
        return false;
    const auto& resource_limit = policy->second.resource_limit;
    auto held = used_by_team(team);
    held -= ended;
    if (const auto reserved = m_limit_reserved.find(team); reserved != m_limit_reserved.end())
        held += reserved->second.need;
    const auto fits = [&](std::int64_t limit, std::int64_t used, std::int64_t more) {
        // Work that exceeds the whole limit may run while nothing else of the team does.
        return limit <= 0 || more <= 0 || used + more <= limit || used <= 0;
    };
    return fits(resource_limit.cpu_milli, held.cpu_milli, need.cpu_milli) &&
           fits(resource_limit.memory_mb, held.memory_mb, need.memory_mb) &&
           fits(resource_limit.accelerators, held.accelerators, need.accelerators);
}

resources job_engine::within_limit_of(const std::string& team, const resources& used) const {
    const auto policy = m_config->teams.find(team);
    if (policy == m_config->teams.end())
        return used;
    const auto& limit = policy->second.resource_limit;
    const auto least = [](std::int64_t amount, std::int64_t most) {
        return most <= 0 ? amount : std::min(amount, most);
    };
    return {least(used.cpu_milli, limit.cpu_milli), least(used.memory_mb, limit.memory_mb),
            least(used.accelerators, limit.accelerators)};
}

resources job_engine::used_by_team(const std::string& team) const {
    const auto held = m_held.find(team);
    auto used = held == m_held.end() ? resources{} : held->second;
    if (const auto unconfirmed_use = m_unconfirmed_use.find(team); unconfirmed_use != m_unconfirmed_use.end())
        used += unconfirmed_use->second;
    return used;
}

double job_engine::share_of_team_limit(const std::string& team, const resources& used) const {
    const auto policy = m_config->teams.find(team);
    return policy == m_config->teams.end() ? 0 : part_of(policy->second.resource_limit, used);
}

bool job_engine::exceeds_whole_limit(const std::string& team, const resources& unit) const {
    return share_of_team_limit(team, unit) > 1;
}

milliseconds job_engine::wait_under_team_limit(instant at, const std::string& team,
                                               const step_sort_key& sort_key) const {
    const auto limited = m_limited.find(team);
    if (limited == m_limited.end())
        return {};
    std::chrono::duration<double, std::milli> ahead{0};
    for (const auto& work : limited->second) {
        if (goes_before(at, work.sort_key, sort_key))
            ahead += work.time;
    }
    return std::chrono::floor<milliseconds>(ahead);
}

std::string job_engine::describe_limit(const std::string& team, const resources& unit,
                                       const task_name& step) const {
    if (exceeds_whole_limit(team, unit))
        return "wider than its team's limit";
    const auto policy = m_config->teams.find(team);
    const auto held = m_held.find(team);
    const auto percent = [&](const resources& used) {
        const auto part = policy == m_config->teams.end() ? 0 : part_of(policy->second.resource_limit, used);
        return std::to_string(std::lround(100 * part)) + " %";
    };
    auto text = "it needs " + percent(unit) + ", " +
                percent(held == m_held.end() ? resources{} : held->second) + " are held";
    if (const auto reserved = m_limit_reserved.find(team); reserved != m_limit_reserved.end())
        text += ", " + percent(reserved->second.need) + " kept for a gang";
    if (const auto unheard = m_unconfirmed_use.find(team); unheard != m_unconfirmed_use.end())
        text += ", " + percent(unheard->second) + " may run unheard";
    if (m_teams_of_unknown_use.contains(team))
        text += ", a run of unknown need is there";
    if (const auto first = m_held_by_limit.find(team);
        first != m_held_by_limit.end() && !(first->second.step == step))
        text += ", behind " + first->second.step.step_string() + " that needs " + percent(first->second.need);
    return text;
}

std::string job_engine::describe_limits() const {
    std::string text;
    std::size_t described = 0;
    for (const auto& [team, first] : m_held_by_limit) {
        if (++described > max_limits_described)
            break;
        text += (text.empty() ? "" : "; ") + team + ": " + first.step.step_string() + ", " +
                describe_limit(team, first.need, first.step);
    }
    return text;
}

void job_engine::extend_limit_reservation(instant at, const ready_step& ready) {
    auto& step = step_of(ready);
    const auto before = step.wait.cause();
    if (before == wait_cause::none || before == wait_cause::team_limit ||
        before == wait_cause::no_usable_target)
        step.limit_reserved_until = at + max_idle_reservation;
}

bool job_engine::is_held_by_team_limit(instant at, const ready_step& ready, const resources& unit) {
    if (!m_held_by_limit.contains(ready.job->team)) {
        if (within_team_limit(ready.job->team, unit))
            return false;
        preempt_under_team_limit(at, ready, unit);
    }
    if (may_use_idle_limit(at, ready, unit))
        return false;
    note_held_by_limit(at, ready, unit);
    return true;
}

job_engine::step_at_limit job_engine::at_limit(instant at, const ready_step& ready,
                                               const resources& unit) const {
    return {{ready.job->spec.id(), ready.occurrence, ready.step, 0},
            unit,
            ready.sort_key->due,
            at - step_of(ready).wait.total(at)};
}

bool job_engine::may_use_idle_limit(instant at, const ready_step& ready, const resources& unit) const {
    const auto& team = ready.job->team;
    const auto policy = m_config->teams.find(team);
    const auto waited = step_of(ready).wait.total(at);
    if (policy == m_config->teams.end() || m_teams_of_unknown_use.contains(team) || waited < min_wait_to_pass)
        return false;
    const auto& resource_limit = policy->second.resource_limit;
    const auto half = half_of(resource_limit);
    if (!is_below(half, used_by_team(team)) || !is_within(half, unit))
        return false;
    // Once all that runs now has ended, but for what passed before.
    auto beside = unit;
    if (const auto passed = m_passed_at_limit.find(team); passed != m_passed_at_limit.end())
        beside += passed->second;
    bool overdue = true;
    const auto accepted = from_ms(ready.job->spec.accepted_ms());
    for (const auto* waiting : {&m_held_by_limit, &m_limit_reserved}) {
        const auto first = waiting->find(team);
        if (first == waiting->end())
            continue;
        beside += first->second.need;
        overdue = overdue && at > first->second.due && accepted < first->second.since;
    }
    return overdue || (is_within(resource_limit, beside) &&
                       (waited >= min_wait_to_use_kept || within_team_limit(team, unit)));
}

void job_engine::note_passed_at_limit(target_state& target, const task_name& task) {
    auto& run = target.runs.at(task.to_string());
    run.passed_at_limit = true;
    m_passed_at_limit[run.team] += run.held;
}

void job_engine::preempt_under_team_limit(instant at, const ready_step& ready, const resources& unit) {
    const auto& team = ready.job->team;
    auto& next = m_next_preemption[team];
    if (at > ready.sort_key->latest_useful_start || at < next || m_recovering)
        return;
    next = at + preemption_period;
    resources freed; // will be freed by runs that are being stopped
    std::vector<std::pair<target_state*, const live_run*>> preemptible;
    for (auto& [id, target] : m_targets) {
        for (const auto& [task, run] : target.runs) {
            if (run.team == team && run.stop_wanted)
                freed += run.held;
            else if (run.team == team && can_be_preempted(at, run, ready.sort_key->priority))
                preemptible.emplace_back(&target, &run);
        }
    }
    std::ranges::stable_sort(preemptible, std::ranges::greater{},
                             [](const auto& each) { return each.second->held.cpu_milli; });
    std::size_t stops = 0;
    while (stops < preemptible.size() && !within_team_limit(team, unit, freed))
        freed += preemptible[stops++].second->held;
    if (!within_team_limit(team, unit, freed))
        return;
    for (std::size_t i = 0; i < stops; ++i)
        preempt_run(*preemptible[i].first, preemptible[i].second->task.to_string(), ready.job->spec.id());
}

void job_engine::note_held_by_limit(instant at, const ready_step& ready, const resources& unit) {
    if (exceeds_whole_limit(ready.job->team, unit) && at <= ready.sort_key->latest_useful_start)
        return;
    m_held_by_limit.try_emplace(ready.job->team, at_limit(at, ready, unit));
}

} // namespace medlarhub

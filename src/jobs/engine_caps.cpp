// Upper limits of teams: what may start under them.

#include "jobs/engine.h"

#include <algorithm>
#include <cmath>

namespace medlarhub {

namespace {

/// Between looks at what of a team's work could give way under its limit.
constexpr milliseconds yield_period{100};
constexpr std::size_t most_limits_told = 6;
/// A gang whose turn under the limit has come keeps its part for so long while it asks for advice and room.
constexpr milliseconds longest_idle_claim{3000};

/// How much of the limit that is, by the resource of which it is most.
double part_of(const resources& cap, const resources& used) {
    const auto part = [](std::int64_t limit, std::int64_t amount) {
        return limit <= 0
                   ? 0.0
                   : static_cast<double>(std::max<std::int64_t>(amount, 0)) / static_cast<double>(limit);
    };
    return std::max({part(cap.cpu_milli, used.cpu_milli), part(cap.memory_mb, used.memory_mb),
                     part(cap.accelerators, used.accelerators)});
}

resources larger_of(const resources& left, const resources& right) {
    return {std::max(left.cpu_milli, right.cpu_milli), std::max(left.memory_mb, right.memory_mb),
            std::max(left.accelerators, right.accelerators)};
}

resources smaller_of(const resources& left, const resources& right) {
    return {std::min(left.cpu_milli, right.cpu_milli), std::min(left.memory_mb, right.memory_mb),
            std::min(left.accelerators, right.accelerators)};
}

bool is_limit(const resources& cap) {
    return cap.cpu_milli > 0 || cap.memory_mb > 0 || cap.accelerators > 0;
}

} // namespace

resources times(const resources& need, std::int64_t count) {
    return {need.cpu_milli * count, need.memory_mb * count, need.accelerators * count};
}

std::map<std::string, resources> job_engine::most_unheard(instant at) const {
    std::map<std::string, resources> unheard;
    if (!m_doubt || m_unclaimed.empty())
        return unheard;
    resources largest;
    for (const auto& [id, target] : m_targets)
        largest = larger_of(largest, target.entry.capacity);
    resources room;
    for (const auto& id : m_unclaimed) {
        const auto target = m_targets.find(id);
        room += target == m_targets.end() ? largest : target->second.entry.capacity;
    }
    for (const auto& id : m_open) {
        const auto& job = m_jobs.at(id);
        if (!job.doubtful)
            continue;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const auto& spec = job.spec.steps(static_cast<int>(i));
                const auto& step = occurrence.steps[i];
                // One member's end is that of the gang; the others may run on.
                const bool gang_done = spec.gang() && step.open == 0;
                unheard[job.team] += times(need_of(spec), gang_done ? spec.count() : count_queued(step));
            }
        }
    }
    for (const auto& [id, job] : m_jobs) {
        const bool ended = job.phase != pb::job_progress::open;
        if (ended && at - from_ms(job.ended_ms) < m_options.unknown_runs)
            unheard[job.team] += job.left.value_or(room);
    }
    for (auto& [team, most] : unheard)
        most = smaller_of(most, room);
    return unheard;
}

bool job_engine::within_cap(const std::string& team, const resources& need, const resources& gone) const {
    const auto policy = m_config->teams.find(team);
    if (policy == m_config->teams.end() || !is_limit(policy->second.cap))
        return true;
    if (m_unknown_use.contains(team))
        return false;
    const auto& cap = policy->second.cap;
    const auto found = m_held.find(team);
    auto held = found == m_held.end() ? resources{} : found->second;
    held -= gone;
    if (const auto unheard = m_unheard.find(team); unheard != m_unheard.end())
        held += unheard->second;
    if (const auto claimed = m_claimed.find(team); claimed != m_claimed.end())
        held += claimed->second;
    const auto fits = [&](std::int64_t limit, std::int64_t used, std::int64_t more) {
        // Work that is wider than the whole limit runs alone.
        return limit <= 0 || more <= 0 || used + more <= limit || used <= 0;
    };
    return fits(cap.cpu_milli, held.cpu_milli, need.cpu_milli) &&
           fits(cap.memory_mb, held.memory_mb, need.memory_mb) &&
           fits(cap.accelerators, held.accelerators, need.accelerators);
}

double job_engine::part_of_cap(const std::string& team, const resources& used) const {
    const auto policy = m_config->teams.find(team);
    return policy == m_config->teams.end() ? 0 : part_of(policy->second.cap, used);
}

bool job_engine::wider_than_cap(const std::string& team, const resources& unit) const {
    return part_of_cap(team, unit) > 1;
}

milliseconds job_engine::wait_under_cap(instant at, const pb::job_spec& spec, int priority) const {
    const auto limited = m_limited.find(spec.team());
    if (limited == m_limited.end())
        return {};
    const waiting_step turn{!within_rate(at, spec.team()), priority, latest_start(at, spec), instant::max()};
    std::chrono::duration<double, std::milli> ahead{0};
    for (const auto& work : limited->second) {
        if (goes_before(at, work.turn, turn))
            ahead += work.time;
    }
    return std::chrono::floor<milliseconds>(ahead);
}

std::string job_engine::describe_limit(const std::string& team, const resources& unit) const {
    if (wider_than_cap(team, unit))
        return "wider than its team's limit";
    const auto policy = m_config->teams.find(team);
    const auto held = m_held.find(team);
    const auto percent = [&](const resources& used) {
        const auto part = policy == m_config->teams.end() ? 0 : part_of(policy->second.cap, used);
        return std::to_string(std::lround(100 * part)) + " %";
    };
    auto text = "it needs " + percent(unit) + ", " +
                percent(held == m_held.end() ? resources{} : held->second) + " are held";
    if (const auto claimed = m_claimed.find(team); claimed != m_claimed.end())
        text += ", " + percent(claimed->second) + " kept for a gang";
    return text;
}

std::string job_engine::describe_limits() const {
    std::string text;
    std::size_t told = 0;
    for (const auto& [team, next] : m_over_cap) {
        if (++told > most_limits_told)
            break;
        text += (text.empty() ? "" : "; ") + team + ": " + describe_limit(team, next);
    }
    return text;
}

void job_engine::note_within_cap(instant at, const ready_step& ready) {
    auto& step = step_of(ready);
    const auto before = step.wait.cause();
    if (before == wait_cause::none || before == wait_cause::limit)
        step.claim_until = at + longest_idle_claim;
}

bool job_engine::waits_behind_cap(instant at, const ready_step& ready, const resources& unit) {
    if (!m_over_cap.contains(ready.job->team)) {
        if (within_cap(ready.job->team, unit))
            return false;
        yield_under_cap(at, ready, unit);
    }
    note_over_cap(ready, unit, at > ready.turn->hopeless);
    return true;
}

void job_engine::yield_under_cap(instant at, const ready_step& ready, const resources& unit) {
    const auto& team = ready.job->team;
    auto& next = m_next_yield[team];
    if (at > ready.turn->hopeless || at < next || m_doubt)
        return;
    next = at + yield_period;
    resources gone; // by runs that are being stopped
    std::vector<std::pair<target_state*, const live_run*>> able;
    for (auto& [id, target] : m_targets) {
        for (const auto& [task, run] : target.runs) {
            if (run.team == team && run.stop_wanted)
                gone += run.held;
            else if (run.team == team && may_yield(at, run, ready.turn->priority))
                able.emplace_back(&target, &run);
        }
    }
    std::ranges::stable_sort(able, std::ranges::greater{},
                             [](const auto& each) { return each.second->held.cpu_milli; });
    std::size_t stops = 0;
    while (stops < able.size() && !within_cap(team, unit, gone))
        gone += able[stops++].second->held;
    if (!within_cap(team, unit, gone))
        return;
    for (std::size_t i = 0; i < stops; ++i)
        yield_run(*able[i].first, able[i].second->task.to_string(), ready.job->spec.id());
}

void job_engine::note_over_cap(const ready_step& ready, const resources& unit, bool is_late) {
    if (wider_than_cap(ready.job->team, unit) && !is_late)
        return;
    m_over_cap.try_emplace(ready.job->team, unit);
}

} // namespace medlarhub

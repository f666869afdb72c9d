// Fair shares: which waiting steps exceed their team's share of a full partition.

#include "jobs/engine.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>

namespace medlarhub {

resources job_engine::usable_capacity(instant at) const {
    resources capacity;
    for (const auto& [id, target] : m_targets) {
        if (usable(at, target))
            capacity += target.entry.capacity;
    }
    return capacity;
}

std::map<std::string, team_demand>
job_engine::demands_of_teams(instant at, const std::vector<ready_step>& waiting) const {
    std::map<std::string, team_demand> teams;
    const auto demand_of = [&](const std::string& team) -> team_demand& {
        const auto [found, added] = teams.try_emplace(team);
        if (added) {
            found->second = {weight_of(*m_config, team), used_by_team(team), {}};
            found->second.wanted = found->second.held;
        }
        return found->second;
    };
    for (const auto& [team, held] : m_held)
        demand_of(team);
    for (const auto& ready : waiting) {
        if (at <= ready.sort_key->latest_useful_start)
            demand_of(ready.job->team).wanted += needed_by(ready);
    }
    for (auto& [team, demand] : teams)
        demand.wanted = within_limit_of(team, demand.wanted);
    return teams;
}

resources job_engine::needed_by(const ready_step& ready) {
    return times(need_of(ready.job->spec.steps(ready.step)), count_queued(step_of(ready)));
}

void job_engine::order_by_fair_share(instant at, std::vector<ready_step>& waiting) {
    m_fair_shares.clear();
    if (!m_options.fair_shares)
        return;
    m_shared_capacity = usable_capacity(at);
    m_fair_shares = fair_shares(demands_of_teams(at, waiting), m_shared_capacity);
    if (m_fair_shares.empty())
        return;
    std::map<std::string_view, resources> used_before; // by a step's team: held, and by its earlier steps
    for (auto& ready : waiting) {
        const auto share = m_fair_shares.find(ready.job->team);
        if (share == m_fair_shares.end())
            continue;
        const auto [used, added] = used_before.try_emplace(share->first);
        if (added)
            used->second = used_by_team(share->first);
        ready.exceeds_fair_share = dominant_share(used->second, m_shared_capacity) >= share->second;
        used->second += needed_by(ready);
    }
    std::ranges::stable_sort(waiting, {}, [&](const ready_step& ready) {
        return std::tuple{order_class_of(at, *ready.sort_key), ready.exceeds_fair_share};
    });
}

std::vector<team_share> job_engine::shares_of_teams() const {
    std::vector<team_share> teams;
    for (const auto& [team, fair] : m_fair_shares)
        teams.push_back(
            {team, weight_of(*m_config, team), dominant_share(used_by_team(team), m_shared_capacity), fair});
    std::ranges::sort(teams, std::ranges::greater{},
                      [](const team_share& team) { return std::abs(team.used - team.fair); });
    return teams;
}

} // namespace medlarhub

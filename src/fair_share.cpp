#include "medlarhub/fair_share.h"

#include <algorithm>

namespace medlarhub {

void fair_share::set_share(const std::string& team, std::int64_t share) {
    m_teams[team].share = share;
}

void fair_share::set_allotment(const std::string& team, std::optional<std::int64_t> cpu_milli) {
    m_teams[team].allotment = cpu_milli;
}

void fair_share::hold(const std::string& team, const resources& need) {
    m_teams[team].held += need;
}

void fair_share::release(const std::string& team, const resources& need) {
    m_teams[team].held -= need;
}

bool fair_share::may_start(const std::string& team, const resources& need) const {
    const auto found = m_teams.find(team);
    if (found == m_teams.end() || !found->second.allotment)
        return true;
    return found->second.held.cpu_milli + need.cpu_milli <= *found->second.allotment;
}

double fair_share::dominant_share(const team_state& state) const {
    const auto part = [](std::int64_t held, std::int64_t whole) {
        return whole == 0 ? 0.0 : static_cast<double>(held) / static_cast<double>(whole);
    };
    return std::max({part(state.held.cpu_milli, m_capacity.cpu_milli),
                     part(state.held.memory_mb, m_capacity.memory_mb),
                     part(state.held.accelerators, m_capacity.accelerators)});
}

double fair_share::usage(const std::string& team) const {
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return 0;
    return dominant_share(found->second) / static_cast<double>(found->second.share);
}

bool fair_share::above_share(const std::string& team) const {
    std::int64_t shares = 0;
    for (const auto& [name, state] : m_teams)
        shares += state.share;
    const auto found = m_teams.find(team);
    if (found == m_teams.end() || shares == 0)
        return false;
    return dominant_share(found->second) >
           static_cast<double>(found->second.share) / static_cast<double>(shares);
}

resources fair_share::held(const std::string& team) const {
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? resources{} : found->second.held;
}

std::optional<std::int64_t> fair_share::allotment(const std::string& team) const {
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? std::nullopt : found->second.allotment;
}

std::vector<std::string> fair_share::teams() const {
    std::vector<std::string> names;
    for (const auto& [name, state] : m_teams)
        names.push_back(name);
    return names;
}

} // namespace medlarhub

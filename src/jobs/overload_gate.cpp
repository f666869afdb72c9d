#include "jobs/overload_gate.h"

#include <algorithm>
#include <cmath>

namespace medlarhub {

namespace {

constexpr std::chrono::duration<double> window{1.0};
constexpr double smoothing = 0.05;
constexpr double overload_ms = 100;
/// Longer durations count as this, to bound the effect of a single slow answer.
constexpr double max_ms = 400;
constexpr milliseconds change_period{200};
/// An owner that has more work than it can schedule gets many answers in this time.
constexpr milliseconds observation_lifetime{1000};
constexpr double decrease_factor = 0.8;
constexpr double increase_factor = 1.1;
constexpr double min_limit = 40;
/// The limit is lifted once it exceeds the use by this factor.
constexpr double lift_factor = 3;
/// A team counts as active with this many tasks in the window.
constexpr double active_tasks = 1;

} // namespace

double overload_gate::decayed(instant at, usage& used) const {
    const auto passed = std::chrono::duration<double>(at - used.at);
    used.tasks *= std::exp(-std::max(passed / window, 0.0));
    used.at = at;
    return used.tasks;
}

void overload_gate::tick(instant at) {
    if (at - m_last_observed <= observation_lifetime)
        return;
    m_took_ms = 0;
    m_limit = 0;
}

void overload_gate::observe(instant at, milliseconds took) {
    m_last_observed = at;
    const auto ms = std::clamp(static_cast<double>(took.count()), 0.0, max_ms);
    m_took_ms += smoothing * (ms - m_took_ms);
    if (at < m_next_change)
        return;
    m_next_change = at + change_period;
    const auto used = decayed(at, m_total);
    if (m_took_ms > overload_ms)
        m_limit = std::max(min_limit, decrease_factor * (m_limit > 0 ? std::min(m_limit, used) : used));
    else if (m_limit > 0)
        m_limit *= increase_factor;
    if (m_limit > lift_factor * std::max(used, min_limit))
        m_limit = 0;
}

bool overload_gate::admit(instant at, const std::string& team, int tasks) {
    auto& own = m_teams[team];
    const auto total = decayed(at, m_total);
    if (m_limit > 0 && total + tasks > m_limit) {
        const auto active = std::ranges::count_if(
            m_teams, [&](auto& entry) { return decayed(at, entry.second) >= active_tasks; });
        const auto part = m_limit / static_cast<double>(std::max<std::ptrdiff_t>(active, 1));
        if (decayed(at, own) + tasks > part)
            return false;
    }
    m_total.tasks += tasks;
    decayed(at, own);
    own.tasks += tasks;
    return true;
}

} // namespace medlarhub

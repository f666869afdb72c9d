#include "jobs/waiting_order.h"

#include <algorithm>
#include <tuple>

namespace medlarhub {

namespace {

/// The capacity of a team's token bucket, in seconds of its rate.
constexpr double burst_s = 2;
/// The least capacity of a team's token bucket, in jobs.
constexpr double min_burst = 2;

int lateness(instant at, const step_sort_key& step) {
    if (at <= step.due)
        return 0;
    return at <= step.latest_useful_start ? 1 : 2;
}

} // namespace

order_class order_class_of(instant at, const step_sort_key& step) {
    return {step.exceeds_team_rate, lateness(at, step) == 2, step.priority};
}

bool goes_before(instant at, const step_sort_key& left, const step_sort_key& right) {
    const auto rank = [&](const step_sort_key& step) {
        return std::tuple{order_class_of(at, step), lateness(at, step), step.due};
    };
    return rank(left) < rank(right);
}

double rate_allowance::saved(instant at, double per_second) const {
    const auto most = std::max(per_second * burst_s, min_burst);
    if (!m_used)
        return most;
    const auto passed = std::chrono::duration<double>(at - m_last).count();
    return std::min(most, m_saved + passed * per_second);
}

bool rate_allowance::allows(instant at, double per_second) const {
    return per_second <= 0 || saved(at, per_second) >= 1;
}

bool rate_allowance::take(instant at, double per_second) {
    if (per_second <= 0)
        return true;
    m_saved = saved(at, per_second);
    m_used = true;
    m_last = at;
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

} // namespace medlarhub

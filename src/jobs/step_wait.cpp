#include "jobs/step_wait.h"

#include <algorithm>
#include <numeric>

namespace medlarhub {

std::string_view name_of(wait_cause cause) {
    switch (cause) {
    case wait_cause::none:
        return "nothing";
    case wait_cause::job_not_recorded:
        return "its row";
    case wait_cause::runs_unconfirmed:
        return "targets not heard since the takeover";
    case wait_cause::run_ending:
        return "the end of an earlier run";
    case wait_cause::retry_delay:
        return "a pause after a failure";
    case wait_cause::team_limit:
        return "its team's limit";
    case wait_cause::no_usable_target:
        return "a usable target";
    case wait_cause::advice:
        return "advice";
    case wait_cause::too_few_good_targets:
        return "more good targets than there are";
    case wait_cause::no_capacity:
        return "room";
    case wait_cause::capacity_reserved:
        return "room held back for a gang";
    case wait_cause::not_reached:
        break;
    }
    return "its turn";
}

void step_wait::note(instant at, wait_cause cause) {
    if (cause == m_cause)
        return;
    m_spent = spent(at);
    m_cause = cause;
    m_since = at;
}

std::array<milliseconds, wait_causes> step_wait::spent(instant at) const {
    auto spent = m_spent;
    if (m_cause != wait_cause::none)
        spent.at(static_cast<std::size_t>(m_cause)) += at - m_since;
    return spent;
}

milliseconds step_wait::total(instant at) const {
    const auto each = spent(at);
    return std::accumulate(each.begin(), each.end(), milliseconds{0});
}

std::string step_wait::describe(instant at) const {
    const auto spent = this->spent(at);
    std::array<std::size_t, wait_causes> order{};
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::stable_sort(order, std::ranges::greater{}, [&](std::size_t each) { return spent.at(each); });
    std::string text = std::to_string(total(at).count()) + " ms";
    std::string separator = ": ";
    for (const auto each : order) {
        if (spent.at(each) <= milliseconds{0})
            break;
        text += separator + std::string{name_of(static_cast<wait_cause>(each))} + " " +
                std::to_string(spent.at(each).count());
        separator = ", ";
    }
    return text;
}

} // namespace medlarhub

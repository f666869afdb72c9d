#pragma once

#include "medlarhub/time.h"

#include <string>
#include <tuple>

namespace medlarhub {

/// The sort key of a waiting step; `goes_before` compares two of them.
struct step_sort_key {
    bool exceeds_team_rate = false; ///< its team sent more jobs than its rate allows
    int priority = 0;               ///< of the queue; 0 is the most urgent
    instant due{};                  ///< the latest start that still ends in time, by the estimates
    instant latest_useful_start{};  ///< after a later start, the end comes too late to be of any use
};

/// Beyond the team's rate, past the latest useful start, and the priority.
using order_class = std::tuple<bool, bool, int>;

/// The class of a step: those of a lower class go first, whatever their team.
order_class order_class_of(instant at, const step_sort_key& step);

/// Queue order on a full fleet: work within its team's rate first, then by priority, then work that can still
/// be in time before work that can't, then the earliest due. Work past its latest useful start goes after all
/// other priorities.
bool goes_before(instant at, const step_sort_key& left, const step_sort_key& right);

/// A token bucket for the job rate of a team: unused rate is saved up for bursts.
class rate_allowance {
public:
    /// Takes a token for one job. Returns false if the job is beyond the rate. A rate of 0 means no limit.
    bool take(instant at, double per_second);
    /// Whether one more job is within the rate.
    [[nodiscard]] bool allows(instant at, double per_second) const;

private:
    [[nodiscard]] double saved(instant at, double per_second) const;
    double m_saved = 0;
    instant m_last{};
    bool m_used = false;
};

} // namespace medlarhub

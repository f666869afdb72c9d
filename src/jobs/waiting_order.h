#pragma once

#include "medlarhub/time.h"

#include <string>

namespace medlarhub {

/// What decides when a waiting step gets its turn.
struct step_sort_key {
    bool beyond_rate = false;      ///< its team sent more than its share
    int priority = 0;              ///< of the queue; 0 goes first
    instant due{};                 ///< the latest start with an end that is in time, by the estimates
    instant latest_useful_start{}; ///< after a start later than this the end is worth nothing more
};

/// Queue order on a full fleet: work within its team's rate first, then by priority, then work that can still
/// be in time before work that can't, then the earliest due. Work past its latest useful start goes after all
/// other priorities.
bool goes_before(instant at, const step_sort_key& left, const step_sort_key& right);

/// A team's jobs within its rate, with some of it saved up for a burst.
class rate_allowance {
public:
    /// Counts one job; false when it is beyond the rate. No limit when the rate is 0.
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

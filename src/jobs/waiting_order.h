#pragma once

#include "medlarhub/time.h"

#include <string>

namespace medlarhub {

/// What decides when a waiting step gets its turn.
struct waiting_step {
    bool beyond_rate = false; ///< its team sent more than its share
    int priority = 0;         ///< of the queue; 0 goes first
    instant due{};            ///< the latest start with an end that is in time, by the estimates
    instant hopeless{};       ///< after a start later than this the end is worth nothing more
};

/// Answers a full fleet: within its team's share goes first, then priority, then what can still be in time
/// before what can't, then the earliest due.
bool goes_before(instant at, const waiting_step& left, const waiting_step& right);

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

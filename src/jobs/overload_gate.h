#pragma once

#include "medlarhub/time.h"

#include <map>
#include <string>

namespace medlarhub {

/// Admission control for when more work is submitted than the owner's CPU can schedule, usually because one
/// team sends many times its usual load. Reduces the rate of accepted tasks until the owner keeps up, and
/// refuses the teams that send most first.
class overload_gate {
public:
    /// Records the duration of a call that the other side answers at once, so that any delay arises here.
    void observe(instant at, milliseconds took);
    /// To be called regularly: what was observed long ago says nothing any more. Without it a limit below
    /// what one job asks for would never be lifted, since no call is made.
    void tick(instant at);
    /// Counts the tasks of a new job. Returns false if the job is to be refused.
    [[nodiscard]] bool admit(instant at, const std::string& team, int tasks);
    /// The smoothed duration of these calls.
    [[nodiscard]] milliseconds late() const { return milliseconds{static_cast<std::int64_t>(m_took_ms)}; }
    /// Whether a limit is in force.
    [[nodiscard]] bool limiting() const { return m_limit > 0; }

private:
    struct usage {
        double tasks = 0; ///< decayed over the window
        instant at{};
    };

    double decayed(instant at, usage& used) const;

    double m_limit = 0; ///< tasks per window; 0: no limit
    double m_took_ms = 0;
    instant m_next_change{};
    instant m_last_observed{};
    usage m_total;
    std::map<std::string, usage> m_teams;
};

} // namespace medlarhub

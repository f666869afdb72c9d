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
    /// Tells how long a call took whose other side answers at once.
    void observe(instant at, milliseconds took);
    /// Counts the tasks of a new job; false when it is to be refused.
    [[nodiscard]] bool admit(instant at, const std::string& team, int tasks);
    /// How long those calls take, smoothed.
    [[nodiscard]] milliseconds late() const { return milliseconds{static_cast<std::int64_t>(m_took_ms)}; }
    /// Whether anything is refused now.
    [[nodiscard]] bool limiting() const { return m_limit > 0; }

private:
    struct usage {
        double tasks = 0; ///< decayed over the window
        instant at{};
    };

    double decayed(instant at, usage& used) const;

    double m_limit = 0; ///< tasks in a window; 0 is no limit
    double m_took_ms = 0;
    instant m_next_change{};
    usage m_total;
    std::map<std::string, usage> m_teams;
};

} // namespace medlarhub

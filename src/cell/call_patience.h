#pragma once

#include "medlarhub/time.h"

#include <algorithm>

namespace medlarhub {

/// How long to wait for an answer before the same is sent again: several times as long as answers take.
/// Answers lost calls without giving a busy node more to do for being busy.
class adaptive_timeout {
public:
    /// Tells how long a call took, or how long it was waited for in vain.
    void observe(milliseconds took) {
        constexpr double weight = 0.125;
        m_took_ms += weight * (static_cast<double>(took.count()) - m_took_ms);
    }

    [[nodiscard]] milliseconds timeout() const {
        constexpr double times = 6;
        const milliseconds usual{static_cast<std::int64_t>(m_took_ms * times)};
        return std::clamp(usual, shortest, longest);
    }

    static constexpr milliseconds shortest{500};
    static constexpr milliseconds longest{1000};

private:
    double m_took_ms = 0;
};

} // namespace medlarhub

#pragma once

#include "medlarhub/time.h"

#include <algorithm>

namespace medlarhub {

/// Retry timeout derived from the observed latency: a multiple of its moving average. Detects calls without a
/// response quickly, without adding retries to the load of a node that is merely slow.
class adaptive_timeout {
public:
    /// Records how long a call took, or for a call that timed out how long it was waited for.
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

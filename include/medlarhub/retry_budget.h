#pragma once

#include <algorithm>

namespace medlarhub {

/// Limits retries to a fixed fraction of requests, so that they can't amplify an overload.
class retry_budget {
public:
    void request_sent() { m_tokens = std::min(m_tokens + tokens_per_request, max_tokens); }
    /// Consumes a token for one retry; false when the budget is exhausted.
    [[nodiscard]] bool take() {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double tokens_per_request = 0.1;
    static constexpr double max_tokens = 50;
    double m_tokens = 10;
};

} // namespace medlarhub

#pragma once

#include <algorithm>

namespace medlarhub {

/// Lets retries be at most a fixed part of requests, so that they can't multiply an overload.
class retry_budget {
public:
    void request_sent() { m_tokens = std::min(m_tokens + tokens_per_request, max_tokens); }
    /// True when a retry may be sent; takes it from the budget.
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

#pragma once

#include "medlarhub/time.h"

#include <cstdint>

namespace medlarhub {

struct table_write_limiter_options {
    std::int64_t writes_per_second = 40;
    milliseconds first_backoff{50};
    milliseconds max_backoff{5000};
};

/// Rate limiter for one node's table writes, which keeps them within the node's part of the table's capacity,
/// with exponential backoff while writes fail. While they fail, one writer at a time probes the table and the
/// others wait for its result.
class table_write_limiter {
public:
    explicit table_write_limiter(table_write_limiter_options options);

    /// Returns how long a writer has to wait before it may write. Zero grants the permit and consumes a
    /// token.
    [[nodiscard]] milliseconds acquire(instant at);
    void succeeded();
    /// `random` in [0, 1) is the jitter that spreads the retries of many nodes over the backoff.
    void failed(instant at, double random);

    /// True after a failed write until one succeeds. Work that needs a durable record is refused meanwhile.
    [[nodiscard]] bool is_table_down() const { return m_failures > 0; }
    /// Returns the delay after which a refused caller should retry.
    [[nodiscard]] milliseconds retry_after(instant at) const;

private:
    table_write_limiter_options m_options;
    double m_tokens;
    instant m_last_refill{};
    int m_failures = 0;
    instant m_next_try{};
};

} // namespace medlarhub

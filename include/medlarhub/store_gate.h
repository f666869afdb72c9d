#pragma once

#include "medlarhub/time.h"

#include <cstdint>

namespace medlarhub {

struct table_write_limiter_options {
    std::int64_t writes_per_second = 40;
    milliseconds first_backoff{50};
    milliseconds max_backoff{5000};
};

/// Keeps one node's writes within its part of the table's capacity, and backs off while the table fails.
/// One writer at a time probes a failing table; the others wait for it.
class table_write_limiter {
public:
    explicit table_write_limiter(table_write_limiter_options options);

    /// How long a writer has to wait before it may write; zero takes the permission.
    [[nodiscard]] milliseconds acquire(instant at);
    void succeeded();
    /// `random` in [0, 1) spreads the return of many nodes over the backoff.
    void failed(instant at, double random);

    /// True while the last write failed: work that needs a durable record is refused at once.
    [[nodiscard]] bool down() const { return m_failures > 0; }
    /// When a refused caller should come back.
    [[nodiscard]] milliseconds retry_after(instant at) const;

private:
    table_write_limiter_options m_options;
    double m_tokens;
    instant m_filled{};
    int m_failures = 0;
    instant m_next_try{};
};

} // namespace medlarhub

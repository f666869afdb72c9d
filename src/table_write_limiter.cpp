#include "medlarhub/table_write_limiter.h"

#include <algorithm>
#include <cmath>

namespace medlarhub {

namespace {
constexpr double ms_per_second = 1000;
constexpr int max_doublings = 10;
/// The bucket holds a quarter second's writes, so that idle partitions can write without waiting.
constexpr double burst_seconds = 0.25;
} // namespace

table_write_limiter::table_write_limiter(table_write_limiter_options options)
    : m_options{options}, m_tokens{std::max(1.0, static_cast<double>(options.writes_per_second) *
                                                     burst_seconds)} {}

milliseconds table_write_limiter::acquire(instant at) {
    if (m_failures > 0 && at < m_next_try)
        return m_next_try - at;
    const auto rate = static_cast<double>(m_options.writes_per_second);
    const auto max_tokens = std::max(1.0, rate * burst_seconds);
    if (m_last_refill != instant{}) {
        const auto elapsed = std::max(static_cast<double>((at - m_last_refill).count()), 0.0);
        m_tokens = std::min(max_tokens, m_tokens + elapsed * rate / ms_per_second);
    }
    m_last_refill = at;
    if (m_tokens < 1) {
        const auto wait = std::ceil((1 - m_tokens) * ms_per_second / rate);
        return milliseconds{std::max<std::int64_t>(1, static_cast<std::int64_t>(wait))};
    }
    m_tokens -= 1;
    if (m_failures > 0)
        m_next_try = at + m_options.max_backoff; // blocks other writers until this probe returns
    return milliseconds{0};
}

void table_write_limiter::succeeded() {
    m_failures = 0;
    m_next_try = {};
}

void table_write_limiter::failed(instant at, double random) {
    const auto doublings = std::min(m_failures, max_doublings);
    ++m_failures;
    const auto full = std::min(m_options.first_backoff * (1 << doublings), m_options.max_backoff);
    const auto half_of_pause = full / 2;
    m_next_try = at + half_of_pause +
                 milliseconds{static_cast<std::int64_t>(random * static_cast<double>(half_of_pause.count()))};
}

milliseconds table_write_limiter::retry_after(instant at) const {
    return std::clamp(m_next_try - at, m_options.first_backoff, m_options.max_backoff);
}

} // namespace medlarhub

#pragma once

#include "medlarhub/time.h"

namespace medlarhub {

/// Time since the machine's start, its suspensions included.
milliseconds boot_time();

/// Notices that the process stood still: paused, suspended or starved of its processor.
class stall_guard {
public:
    explicit stall_guard(milliseconds tolerated) : m_tolerated{tolerated} {}

    /// Called often; true when the time since the last call shows a stall.
    bool beat(milliseconds boot);
    /// Whether the last beat is so old that the process may have stood still since.
    [[nodiscard]] bool is_stalled(milliseconds boot) const { return boot - m_last > m_tolerated; }

private:
    milliseconds m_tolerated;
    milliseconds m_last{0};
};

} // namespace medlarhub

#pragma once

#include "medlarhub/time.h"

#include <optional>

namespace medlarhub {

/// Returns the time since the machine booted, including time spent suspended.
milliseconds boot_time();

/// Detects that the process was paused, suspended or starved of CPU.
class stall_guard {
public:
    explicit stall_guard(milliseconds tolerated) : m_tolerated{tolerated} {}

    /// To be called frequently; returns true if the time since the last call shows a stall.
    bool beat(milliseconds boot);
    /// Whether the last beat is so old that the process may have been paused since.
    [[nodiscard]] bool is_stalled(milliseconds boot) const { return boot - m_last > m_tolerated; }

private:
    milliseconds m_tolerated;
    milliseconds m_last{0};
};

/// Detects that the process was suspended, which `now` doesn't count.
class suspension_guard {
public:
    /// Both times are read at the same moment; returns true if a suspension lies between this and the last
    /// call.
    bool has_suspended(milliseconds boot, instant at);

private:
    std::optional<milliseconds> m_ahead; ///< of the time since boot before the other one
};

} // namespace medlarhub

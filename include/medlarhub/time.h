#pragma once

#include <chrono>

namespace medlarhub {

using milliseconds = std::chrono::milliseconds;

/// A point in time as used by the scheduling code: the wall-clock time at process start, advanced by the
/// steady clock, so that it never goes back while the process runs.
using instant = std::chrono::sys_time<milliseconds>;

/// Returns the current time. Only I/O code calls it; scheduling code takes an `instant` as a parameter.
instant now();

inline std::int64_t to_ms(instant at) {
    return at.time_since_epoch().count();
}
inline instant from_ms(std::int64_t ms) {
    return instant{milliseconds{ms}};
}

} // namespace medlarhub

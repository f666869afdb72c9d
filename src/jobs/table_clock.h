#pragma once

#include "medlarhub/time.h"

#include <cstdint>

namespace medlarhub {

/// The platform's table has a steady clock that all owners of a partition read, one after the other. It
/// counts while a process is suspended, which the clock of that process doesn't.
struct table_clock_reading {
    std::int64_t clock_ms = 0; ///< what the table's response told
    instant asked{};           ///< by the own clock: when the request was sent
    instant answered{};        ///< and when the response came

    /// The latest that the table's clock may show when a span has passed that began at or before `asked`.
    /// `ends` is the end of the span by the own clock, which a suspension since `asked` doesn't move.
    [[nodiscard]] std::int64_t latest_at(instant ends) const { return clock_ms + (ends - asked).count(); }
    /// When, by the own clock, the table's clock has certainly reached this value.
    [[nodiscard]] instant reached_by(std::int64_t value_ms) const;
};

} // namespace medlarhub

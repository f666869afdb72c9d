#pragma once

#include "medlarhub/time.h"

#include <algorithm>

namespace medlarhub {

/// The lease that an owner asks of targets that keep one for at most `longest`. Until it has lapsed, work of
/// a silent target isn't started elsewhere, nor work of a former owner that a silent target may run. It
/// outlasts a restart of all nodes.
constexpr milliseconds lease_within(milliseconds longest) {
    constexpr milliseconds usual{4500};
    /// For late renewals, which a target would cut short.
    constexpr milliseconds below_longest{1500};
    return std::min(usual, longest - below_longest);
}

} // namespace medlarhub

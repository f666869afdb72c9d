#pragma once

#include "medlarhub/time.h"

#include <algorithm>

namespace medlarhub {

/// Returns the lease that an owner requests from targets that grant at most `longest`. Until the lease has
/// expired, tasks of an unresponsive target aren't started elsewhere, nor are tasks of a former owner that an
/// unresponsive target may still run. The lease outlasts a restart of all nodes.
constexpr milliseconds lease_to_request(milliseconds longest) {
    constexpr milliseconds usual{4500};
    /// Margin for late renewals, which a target would otherwise cap.
    constexpr milliseconds below_longest{1500};
    return std::min(usual, longest - below_longest);
}

} // namespace medlarhub

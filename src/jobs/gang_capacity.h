#pragma once

#include "medlarhub/document.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace medlarhub {

/// A run that may be preempted for a gang ahead of it in the queue, since it can resume from its saved state.
struct stoppable_run {
    std::string_view task;
    resources held;
};

/// The capacity that one target offers to a gang.
struct gang_offer {
    std::string_view target;
    resources free; ///< including what runs that are being stopped will free
    std::vector<stoppable_run> stoppable;
};

struct gang_place {
    std::string_view target;
    std::vector<std::string_view> stops; ///< tasks to stop there
};

/// Finds targets where `count` tasks of that need fit at the same time, at most `max_on_one` on each, and the
/// runs to stop there. Returns nothing if the tasks don't fit.
///
/// Meant for a fleet that is half full with small runs on every target, and a gang that few targets are good
/// for. Uses free capacity first, from targets with most of it, then preempts as little as possible (greedy
/// choice). The names in the result are views of those in `offers`.
std::optional<std::vector<gang_place>> find_gang_capacity(const resources& need, std::int64_t count,
                                                          std::int64_t max_on_one,
                                                          const std::vector<gang_offer>& offers);

} // namespace medlarhub

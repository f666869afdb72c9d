#include "jobs/capacity_balance.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// The demand, as a fraction of capacity, assumed for an idle partition, so that it keeps targets for new
/// work.
constexpr double min_demand = 0.125;
/// A transfer may leave the source at most this loaded, since its own gangs need capacity too.
constexpr double max_load = 0.6;

} // namespace

bool is_destination_gang_first(const std::optional<waiting_gang>& source,
                               const std::optional<waiting_gang>& destination) {
    return destination && (!source || destination->accepted_ms < source->accepted_ms);
}

std::int64_t cpu_to_transfer(const cpu_load& source, const capacity_shortage& destination, bool gang_first) {
    const auto capacity = static_cast<double>(source.capacity_cpu_milli);
    const auto demand = std::max(static_cast<double>(source.demand_cpu_milli), min_demand * capacity);
    const auto destination_capacity = static_cast<double>(destination.load.capacity_cpu_milli);
    const auto destination_demand = static_cast<double>(destination.load.demand_cpu_milli);
    if (demand <= 0 || destination_demand <= 0)
        return 0;
    const auto equal = static_cast<std::int64_t>(
        (capacity * destination_demand - destination_capacity * demand) / (demand + destination_demand));
    const auto spare = static_cast<std::int64_t>(capacity - demand / max_load);
    const auto balanced = std::min(equal, spare);
    const auto free = static_cast<std::int64_t>(capacity - demand);
    const auto transferred =
        gang_first ? std::max(balanced, std::min(destination.gang->wanted_cpu_milli, free)) : balanced;
    return std::clamp<std::int64_t>(transferred, 0, std::max<std::int64_t>(destination.wanted_cpu_milli, 0));
}

} // namespace medlarhub

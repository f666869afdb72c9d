#pragma once

#include <cstdint>
#include <optional>

namespace medlarhub {

/// The CPU demand and capacity of a partition.
struct cpu_load {
    std::int64_t demand_cpu_milli = 0; ///< of running and waiting work
    std::int64_t capacity_cpu_milli = 0;
};

/// A partition's oldest gang that is waiting for capacity.
struct waiting_gang {
    std::int64_t accepted_ms = 0;
    std::int64_t wanted_cpu_milli = 0; ///< in addition to what its partition has
};

/// The capacity that a partition lacks.
struct capacity_shortage {
    cpu_load load;
    std::int64_t wanted_cpu_milli = 0; ///< by all waiting work
    std::optional<waiting_gang> gang;
};

/// Whether the destination partition's gang goes before those of the source. The oldest of all gangs of a
/// cell that wait for capacity gets what it needs, and no capacity is taken from its partition for a younger
/// one.
bool is_destination_gang_first(const std::optional<waiting_gang>& source,
                               const std::optional<waiting_gang>& destination);

/// The CPU that the source partition should transfer: at most what is wanted, and no more than makes both
/// partitions equally loaded, so that targets aren't transferred back and forth. For a gang that goes first,
/// it is up to what the source doesn't need itself.
std::int64_t cpu_to_transfer(const cpu_load& source, const capacity_shortage& destination, bool gang_first);

} // namespace medlarhub

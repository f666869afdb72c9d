#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace medlarhub {

/// A live node that may become the owner of a partition.
struct candidate_owner {
    std::string node;
    bool can_reach_table = false; ///< the table answered it recently
    std::int64_t cpu_milli = 0;   ///< CPU that the node may use
    int owned = 0;                ///< known number of partitions that it owns

    friend bool operator==(const candidate_owner&, const candidate_owner&) = default;
};

/// Returns the node that should own a partition after `former_owner`; every node computes it independently.
/// Prefers nodes that can reach the table, since others can't take a partition over. Among these it prefers
/// nodes with the most CPU, since the owner's CPU limits its partition, and then the fewest owned partitions.
std::string successor_of(int partition, const std::vector<candidate_owner>& live,
                         const std::string& former_owner);

/// Whether `successor` is clearly a better owner than `owner`: it has far more CPU, or `owner` owns several
/// partitions and `successor` would still own fewer after taking one.
bool is_better_owner(const candidate_owner& owner, const candidate_owner& successor);

} // namespace medlarhub

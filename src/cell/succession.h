#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace medlarhub {

/// A live node that may become the owner of a partition.
struct candidate_owner {
    std::string node;
    bool can_reach_table = false; ///< it had an answer of the table lately
    std::int64_t cpu_milli = 0;   ///< what it may use of its processor
    int owned = 0;                ///< partitions that it owns, as far as is known

    friend bool operator==(const candidate_owner&, const candidate_owner&) = default;
};

/// The node to which a partition falls when `leaver` doesn't own it any more; every node works it out for
/// itself. A node that the table turns away can't take anything, so that it is passed over while others can.
/// Of the rest those with the most processor are taken, since an owner's processor bounds its partition, and
/// of these one that owns the fewest.
std::string successor_of(int partition, const std::vector<candidate_owner>& live,
                         const std::string& former_owner);

/// Whether the partition is better off with `heir` than with `owner`: it has far more processor, or `owner`
/// owns several while `heir` owns fewer even after it took one.
bool is_better_owner(const candidate_owner& owner, const candidate_owner& successor);

} // namespace medlarhub

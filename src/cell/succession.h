#pragma once

#include <string>
#include <vector>

namespace medlarhub {

/// A live node that may become the owner of a partition.
struct candidate_owner {
    std::string node;
    bool hears_table = false; ///< it had an answer of the table lately
};

/// The node to which a partition falls when `leaver` doesn't own it any more; every node works it out for
/// itself. A node that the table turns away can't take anything, so that it is passed over while others can.
std::string successor_of(int partition, const std::vector<candidate_owner>& live, const std::string& leaver);

} // namespace medlarhub

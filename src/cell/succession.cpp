#include "cell/succession.h"

#include "medlarhub/hash.h"

#include <algorithm>

namespace medlarhub {

std::string successor_of(int partition, const std::vector<candidate_owner>& live, const std::string& leaver) {
    std::vector<std::string> able;
    std::vector<std::string> others;
    for (const auto& each : live) {
        if (each.node != leaver)
            (each.hears_table ? able : others).push_back(each.node);
    }
    auto& from = able.empty() ? others : able;
    if (from.empty() && !live.empty())
        return leaver;
    return rendezvous(from, "partition/" + std::to_string(partition));
}

} // namespace medlarhub

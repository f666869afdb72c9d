#include "cell/succession.h"

#include "medlarhub/hash.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// A node counts as large if it has at least 1/`large_divisor` of the largest node's CPU.
constexpr std::int64_t large_divisor = 2;

} // namespace

std::string successor_of(int partition, const std::vector<candidate_owner>& live,
                         const std::string& former_owner) {
    std::vector<candidate_owner> able;
    std::vector<candidate_owner> others;
    for (const auto& each : live) {
        if (each.node != former_owner)
            (each.can_reach_table ? able : others).push_back(each);
    }
    auto& from = able.empty() ? others : able;
    if (from.empty())
        return live.empty() ? std::string{} : former_owner;
    const auto largest = std::ranges::max(from, {}, &candidate_owner::cpu_milli).cpu_milli;
    std::erase_if(from, [&](const auto& each) { return each.cpu_milli * large_divisor < largest; });
    const auto fewest = std::ranges::min(from, {}, &candidate_owner::owned).owned;
    std::vector<std::string> names;
    for (const auto& each : from) {
        if (each.owned == fewest)
            names.push_back(each.node);
    }
    return rendezvous(names, "partition/" + std::to_string(partition));
}

bool is_better_owner(const candidate_owner& owner, const candidate_owner& successor) {
    if (!successor.can_reach_table || successor.node == owner.node)
        return false;
    const bool larger = successor.cpu_milli > owner.cpu_milli * large_divisor;
    const bool smaller = successor.cpu_milli * large_divisor < owner.cpu_milli;
    return larger || (!smaller && successor.owned + 1 < owner.owned);
}

} // namespace medlarhub

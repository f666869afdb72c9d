#include "cell/succession.h"

#include "medlarhub/hash.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// A node counts as large with at least this part of the largest one's processor.
constexpr std::int64_t large_divisor = 2;

} // namespace

std::string successor_of(int partition, const std::vector<candidate_owner>& live, const std::string& leaver) {
    std::vector<candidate_owner> able;
    std::vector<candidate_owner> others;
    for (const auto& each : live) {
        if (each.node != leaver)
            (each.hears_table ? able : others).push_back(each);
    }
    auto& from = able.empty() ? others : able;
    if (from.empty())
        return live.empty() ? std::string{} : leaver;
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

bool worth_moving(const candidate_owner& owner, const candidate_owner& heir) {
    if (!heir.hears_table || heir.node == owner.node)
        return false;
    const bool larger = heir.cpu_milli > owner.cpu_milli * large_divisor;
    const bool smaller = heir.cpu_milli * large_divisor < owner.cpu_milli;
    return larger || (!smaller && heir.owned + 1 < owner.owned);
}

} // namespace medlarhub

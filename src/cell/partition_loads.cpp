#include "cell/partition_loads.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// With a shorter wait a job stays where its team's other jobs are.
constexpr milliseconds least_wait{250};
/// A job is handed on to where it waits this many times less.
constexpr int least_gain = 2;
/// A load that was measured earlier says nothing about now.
constexpr milliseconds load_fresh{1500};

} // namespace

void partition_loads::learn(int partition, const entry& load) {
    auto& known = m_loads[partition];
    if (load.measured <= known.measured)
        return;
    known = load;
    m_handed_on.erase(partition);
}

std::optional<int> partition_loads::better_than(instant at, milliseconds wait, const std::vector<int>& others,
                                                std::chrono::duration<double> work, bool gang) {
    if (wait < least_wait)
        return {};
    std::optional<int> best;
    std::chrono::duration<double> best_wait{};
    for (const auto number : others) {
        const auto load = m_loads.find(number);
        if (load == m_loads.end() || at - load->second.measured > load_fresh)
            continue;
        const auto there = gang ? std::max(load->second.wait, load->second.gang_wait) : load->second.wait;
        const auto expected = there + m_handed_on[number];
        if (!best || expected < best_wait) {
            best = number;
            best_wait = expected;
        }
    }
    if (!best || best_wait * least_gain > wait)
        return {};
    m_handed_on[*best] += work;
    return best;
}

} // namespace medlarhub

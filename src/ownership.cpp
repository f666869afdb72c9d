#include "medlarhub/ownership.h"

#include "medlarhub/hash.h"

#include <algorithm>

namespace medlarhub {

std::string ownership::preferred_owner(const std::vector<std::string>& live, int partition) {
    return rendezvous(live, "partition/" + std::to_string(partition));
}

ownership_plan ownership::plan(instant at, const ownership_view& view) {
    if (view.live != m_live) {
        m_live = view.live;
        m_live_changed_at = at;
    }
    const bool settled = at - m_live_changed_at >= m_settle_delay;
    ownership_plan plan;
    for (const auto partition : view.partitions) {
        if (view.owned.contains(partition) || preferred_owner(view.live, partition) != view.self)
            continue;
        const auto failed_at = m_failed_takeovers.find(partition);
        if (failed_at != m_failed_takeovers.end() && at - failed_at->second < m_settle_delay)
            continue;
        const auto owner = view.last_owner.find(partition);
        const bool known =
            owner != view.last_owner.end() && !owner->second.empty() && owner->second != view.self;
        const bool owner_gone = known && !std::ranges::binary_search(view.live, owner->second);
        const bool unowned = !known && settled; // no node has announced it
        if (owner_gone || unowned)
            plan.take.push_back(partition);
        else if (settled)
            plan.ask_release[partition] = owner->second;
    }
    return plan;
}

} // namespace medlarhub

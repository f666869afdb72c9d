#include "medlarhub/config_guard.h"

#include <algorithm>

namespace medlarhub {

config_guard::config_guard(milliseconds stale_after) : m_stale_after{stale_after} {}

void config_guard::store_confirmed(instant began) {
    m_confirmed = std::max(m_confirmed, began);
}

void config_guard::set_registered(std::set<std::string> nodes) {
    m_registered = std::move(nodes);
}

void config_guard::peer_reported(instant at, const std::string& peer, std::int64_t revision,
                                 milliseconds store_age) {
    auto& known = m_reports[peer];
    known.reported_at = std::max(known.reported_at, at);
    known.revision = std::max(known.revision, revision);
    // A peer confirms only revisions up to its own. So its confirmation is valid here only once this node has
    // the highest revision reported, which `current` checks.
    m_highest_seen = std::max(m_highest_seen, revision);
    m_confirmed = std::max(m_confirmed, at - store_age);
}

milliseconds config_guard::store_age(instant at) const {
    return std::max(at - m_confirmed, milliseconds{0});
}

bool config_guard::needs_majority(instant at) const {
    return store_age(at) > m_stale_after / 2;
}

bool config_guard::current(instant at, const std::string& self, std::int64_t revision) const {
    if (revision < m_highest_seen)
        return false;
    if (store_age(at) <= m_stale_after)
        return true;
    if (m_confirmed == instant{} || !m_registered.contains(self))
        return false;
    const auto current_peers = std::ranges::count_if(m_reports, [&](const auto& entry) {
        return m_registered.contains(entry.first) && at - entry.second.reported_at <= m_stale_after;
    });
    return static_cast<std::size_t>(current_peers) + 1 >= majority();
}

} // namespace medlarhub

#pragma once

#include "medlarhub/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace medlarhub {

/// Decides whether this node may still act on the configuration it holds.
///
/// A configuration is current if the store confirmed its revision within `stale_after`, either directly or
/// through a peer that has no newer revision. While no node reaches the store, it stays current as long as
/// more than half of the registered nodes reported within that time: an operator's change is only
/// acknowledged once more than half of the nodes hold it, so at least one of those peers would have reported
/// a newer revision. Otherwise the node fails closed.
class config_guard {
public:
    explicit config_guard(milliseconds stale_after);

    /// Records that a read of the store that began at `began` reached the end of the change chain.
    void store_confirmed(instant began);
    /// Sets the nodes registered in the store, this one included.
    void set_registered(std::set<std::string> nodes);
    /// Records the revision that a peer holds and how long ago the store confirmed it to that peer.
    void peer_reported(instant at, const std::string& peer, std::int64_t revision, milliseconds store_age);

    [[nodiscard]] bool current(instant at, const std::string& self, std::int64_t revision) const;
    /// Returns the time since the store last confirmed a revision, directly or through a peer.
    [[nodiscard]] milliseconds store_age(instant at) const;
    /// True when the last confirmation by the store is older than half of `stale_after`, so that reports from
    /// a majority of peers are needed instead.
    [[nodiscard]] bool needs_majority(instant at) const;
    /// The number of nodes that form a majority of the registered ones.
    [[nodiscard]] std::size_t majority() const { return m_registered.size() / 2 + 1; }

private:
    struct report {
        instant reported_at;
        std::int64_t revision = 0;
    };

    milliseconds m_stale_after;
    instant m_confirmed{};
    std::int64_t m_highest_seen = 0;
    std::set<std::string> m_registered;
    std::map<std::string, report> m_reports;
};

} // namespace medlarhub

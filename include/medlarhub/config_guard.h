#pragma once

#include "medlarhub/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace medlarhub {

/// Tells whether this node may still act on the configuration it holds.
///
/// A node is current when the store, or a peer that is no further on, confirmed its revision within the
/// bound. When nobody reaches the store, it stays current while it hears from more than half of the
/// registered nodes: an operator's change is only confirmed once more than half of them hold it, so one of
/// those it hears would have told it. Otherwise it fails closed.
class config_guard {
public:
    explicit config_guard(milliseconds stale_after);

    /// The store was read to the end of the change chain by a read that began at `began`.
    void store_confirmed(instant began);
    /// The nodes registered in the store, this one included.
    void set_registered(std::set<std::string> nodes);
    /// A peer said which revision it holds and how long ago it was itself confirmed by the store.
    void peer_reported(instant at, const std::string& peer, std::int64_t revision, milliseconds store_age);

    [[nodiscard]] bool current(instant at, const std::string& self, std::int64_t revision) const;
    /// How long ago the store last confirmed `revision`, directly or through a peer.
    [[nodiscard]] milliseconds store_age(instant at) const;
    /// True when the store was not reached within the bound, so that peers must be heard instead.
    [[nodiscard]] bool needs_majority(instant at) const;
    /// How many nodes make more than half of those registered.
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

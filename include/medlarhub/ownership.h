#pragma once

#include "medlarhub/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace medlarhub {

/// A node's view of the cluster when it decides which partitions to take over.
struct ownership_view {
    std::string self;
    std::vector<int> partitions;
    std::vector<std::string> live;         ///< sorted
    std::map<int, std::string> last_owner; ///< as reported by gossip
    std::set<int> owned;                   ///< by this node, those with a takeover in progress included
};

struct ownership_plan {
    std::vector<int> take;                  ///< partitions without a live owner
    std::map<int, std::string> ask_release; ///< owner by partition: live, but this node is preferred
};

/// Plans takeovers. Rendezvous hashing over the live nodes determines the preferred owner of a partition; the
/// journal determines the actual owner.
class ownership {
public:
    explicit ownership(milliseconds settle_delay) : m_settle_delay{settle_delay} {}

    [[nodiscard]] ownership_plan plan(instant at, const ownership_view& view);
    /// Delays the next attempt at this partition after a takeover failed or another node won it.
    void takeover_failed(instant at, int partition) { m_failed_takeovers[partition] = at; }

    [[nodiscard]] static std::string preferred_owner(const std::vector<std::string>& live, int partition);

private:
    milliseconds m_settle_delay;
    std::vector<std::string> m_live;
    instant m_live_changed_at{};
    std::map<int, instant> m_failed_takeovers;
};

} // namespace medlarhub

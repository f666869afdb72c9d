#pragma once

#include "medlarhub/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace medlarhub {

/// What a node knows when it decides which partitions to take.
struct ownership_view {
    std::string self;
    std::vector<int> partitions;
    std::vector<std::string> live;         ///< sorted
    std::map<int, std::string> last_owner; ///< as heard by gossip
    std::set<int> owned;                   ///< by this node, being taken included
};

struct ownership_plan {
    std::vector<int> take;                  ///< nobody alive owns them
    std::map<int, std::string> ask_release; ///< owned by a live node, but due to this one
};

/// Rendezvous hashing over the live nodes says to whom a partition is due; the journal says who has it.
class ownership {
public:
    explicit ownership(milliseconds settle) : m_settle{settle} {}

    [[nodiscard]] ownership_plan plan(instant at, const ownership_view& view);
    /// A takeover failed or was lost to another node: not again until things have settled.
    void takeover_failed(instant at, int partition) { m_failed_takeovers[partition] = at; }

    [[nodiscard]] static std::string preferred_owner(const std::vector<std::string>& live, int partition);

private:
    milliseconds m_settle;
    std::vector<std::string> m_live;
    instant m_changed{};
    std::map<int, instant> m_failed_takeovers;
};

} // namespace medlarhub

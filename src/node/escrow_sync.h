#pragma once

#include "medlarhub/config.h"
#include "medlarhub/escrow.h"
#include "medlarhub/platform.h"

#include "node/partition_host.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace medlarhub {

/// Moves allotments of teams' upper limits to where they are needed, by conditional writes to one row a team.
class escrow_sync {
public:
    escrow_sync(table& rows, shared_gate& gate, metrics& counters);

    /// One round for one owned partition; blocks on the table. A partition starts nothing for a limited team
    /// before its allotment was read.
    void sync_partition(instant at, partition_host& host, const config_state& config);
    void forget(int partition);

private:
    struct known_allotment {
        std::int64_t allotted_cpu_milli = 0;
        std::int64_t revision = 0; ///< of the limit that the part was last checked against
        bool read = false;
        instant checked{};
    };

    void update_row(instant at, partition_host& host, const std::string& team, allotment_demand demand,
                    known_allotment& held);

    table& m_rows;
    shared_gate& m_gate;
    metrics& m_counters;
    std::map<std::pair<int, std::string>, known_allotment> m_allotments;
};

} // namespace medlarhub

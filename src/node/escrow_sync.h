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

/// Distributes each team's limit over the partitions as allotments (escrow), according to demand. The
/// allotments of a team are stored in one table row, which partitions change by conditional writes.
class escrow_sync {
public:
    escrow_sync(table& rows, shared_write_limiter& write_limiter, metrics& counters);

    /// Adjusts the allotments of one owned partition; blocks on the table. Until the allotment of a limited
    /// team has been read it is 0, so that the partition starts nothing for the team.
    void sync_partition(instant at, partition_host& host, const config_state& config);
    void forget(int partition);

private:
    struct known_allotment {
        std::int64_t allotted_cpu_milli = 0;
        std::int64_t revision = 0; ///< of the team limit that the allotment was last checked against
        bool read = false;
        instant checked{};
    };

    void update_row(instant at, partition_host& host, const std::string& team, allotment_demand demand,
                    known_allotment& known);

    table& m_rows;
    shared_write_limiter& m_write_limiter;
    metrics& m_counters;
    std::map<std::pair<int, std::string>, known_allotment> m_allotments;
};

} // namespace medlarhub

#pragma once

#include "jobs/cell_config.h"

#include "medlarhub/time.h"

#include <map>
#include <optional>
#include <vector>

namespace medlarhub {

/// How full a partition is.
struct partition_load {
    milliseconds wait{0};       ///< a new job's for room; 0 while there is some
    milliseconds gang_wait{0};  ///< a new gang's for those that wait for room
    std::int64_t cpu_milli = 0; ///< of the targets in use
};

/// How full the partitions of a cell were when last heard of, and which of them a new job is better kept in.
/// Answers one team's burst, which fills the partition that keeps its jobs while others have room.
class partition_loads {
public:
    struct entry {
        milliseconds wait{0};
        milliseconds gang_wait{0};
        instant measured{};
    };

    void learn(int partition, const entry& load);
    [[nodiscard]] const std::map<int, entry>& all() const { return m_loads; }

    /// The one of `others` that takes a job over; nothing when it stays where it waits for `wait`. `work` is
    /// how long the job would fill a partition: what was handed on counts until the next load is heard. A
    /// `gang` waits behind the gangs that wait there.
    std::optional<int> better_than(instant at, milliseconds wait, const std::vector<int>& others,
                                   std::chrono::duration<double> work, bool gang = false);

private:
    std::map<int, entry> m_loads;
    std::map<int, std::chrono::duration<double>> m_handed_on;
};

} // namespace medlarhub

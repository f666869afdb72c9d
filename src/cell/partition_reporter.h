#pragma once

#include "jobs/capacity_balance.h"
#include "jobs/engine.h"
#include "metrics.h"

#include <map>

namespace medlarhub {

/// What a report tells beside what the engine knows.
struct partition_load_details {
    std::uint64_t epoch = 0;
    milliseconds deciding{0};   ///< time spent in the engine since the last report
    milliseconds round_trip{0}; ///< smoothed duration of starts
    bool limiting = false;      ///< whether the owner refuses work since it is overloaded
    std::size_t callers = 0;    ///< that wait for a write
};

/// Writes what an owner tells of its partition at regular intervals to the log and to the metrics, and raises
/// the alert about work that waits despite free capacity.
class partition_reporter {
public:
    partition_reporter(int partition, metrics& counters) : m_partition{partition}, m_counters{counters} {}

    /// Records the load of another partition, for the alert.
    void record_load(instant at, int partition, const cpu_load& load) {
        m_other_loads[partition] = {at, load};
    }
    void report(instant at, job_engine& engine, const partition_load_details& details);

private:
    struct other_load {
        instant at{};
        cpu_load load;
    };

    void report_wait(instant at, const job_engine& engine, const job_engine::engine_statistics& statistics);
    void report_advice(instant at, job_engine& engine);
    void report_run_times(instant at, const job_engine& engine);
    void report_shares(const job_engine& engine);

    int m_partition;
    metrics& m_counters;
    std::map<int, other_load> m_other_loads; ///< by partition
    instant m_next_run_time_report{};
};

} // namespace medlarhub

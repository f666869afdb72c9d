#pragma once

#include "cell/cell_layout.h"
#include "cell/ports.h"
#include "metrics.h"

#include "jobs.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarhub {

/// How often the node calls `owned_partition::tick`.
constexpr milliseconds tick_period{25};

using job_callback = std::function<void(pb::job_answer)>;

enum class partition_status { taking_over, active, releasing, closed };

struct owned_partition_options {
    int number = 0;
    int partitions = 1; ///< total number in the cell
    std::string owner;  ///< this node, as `node/incarnation`
    std::string peer_address;
    milliseconds longest_lease{6000}; ///< longest lease that targets grant
    bool learned_run_times = true;    ///< whether ended runs teach what to expect of others
    bool fair_shares = false;         ///< whether teams share a full partition by weight
    std::int64_t max_kept_tasks = 0;  ///< of all jobs in memory that new ones may bring it to; 0: any
};

/// External services that an owned partition uses.
struct partition_environment {
    table* rows = nullptr;
    target_port* commands = nullptr;
    metrics* counters = nullptr;
    /// Sends a request to the advice service through some node; invokes the callback exactly once.
    std::function<void(const advice_request&, std::function<void(std::optional<advice_reply>)>)> ask;
    /// Asks a partition whether it knows a job; invokes the callback exactly once, with nothing if there was
    /// no answer.
    std::function<void(int partition, const std::string& job, std::function<void(std::optional<bool>)>)>
        holds;
    /// Notifies the owners of other partitions of targets that were transferred to them.
    std::function<void(const std::vector<target_transfer>&)> announce;
};

/// A partition that this node owns or is taking over. Connects the job engine with the table, the targets and
/// the waiting callers. Thread-safe.
class owned_partition {
public:
    owned_partition(owned_partition_options options, partition_environment environment);
    ~owned_partition();
    owned_partition(const owned_partition&) = delete;
    owned_partition& operator=(const owned_partition&) = delete;

    void start();
    /// Writes all pending changes and gives up ownership; waits at most `longest` for completion.
    void release(milliseconds longest);
    /// Stops the thread; the partition's rows in the table stay unchanged.
    void join();

    void set_declarations(const declarations& declared);
    /// Sets the cell's layout and all its targets.
    void set_targets(std::shared_ptr<const cell_layout> layout,
                     std::shared_ptr<const std::vector<target_entry>> targets);
    /// Returns the targets that are assigned to this partition.
    [[nodiscard]] std::vector<target_entry> targets() const;
    void update_assignments(const std::map<std::string, target_assignment>& assignments);
    /// Returns the capacity that the partition lacks, if work waits for capacity.
    [[nodiscard]] std::optional<capacity_shortage> shortage() const;
    /// Transfers idle targets to the partition that the request names, for its shortage. Returns false while
    /// this node doesn't own the source partition.
    [[nodiscard]] bool transfer_targets(const pb::target_request& request, pb::target_promise& promise);
    /// Records the load of another partition, for the alert about work that waits despite free capacity.
    void record_load(int partition, const cpu_load& load);
    /// Sets the nodes through which advice requests may be sent.
    void set_advice_relays(const std::vector<std::string>& nodes);
    void call(const pb::job_call& call, job_callback done);
    void tick();

    /// Closes the partition because another node has become its owner.
    void close_as_lost(std::string_view reason);

    [[nodiscard]] partition_status status() const;
    /// Whether the table doesn't answer this node, so that another node would be the better owner.
    [[nodiscard]] bool is_table_failing() const;
    [[nodiscard]] std::uint64_t epoch() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

pb::job_answer make_job_answer(pb::job_answer::outcome outcome, std::string_view reason,
                               milliseconds retry_after);

} // namespace medlarhub

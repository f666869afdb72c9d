#pragma once

#include "cell/owned_partition.h"
#include "cell/ports.h"
#include "metrics.h"

#include "jobs.pb.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

struct cell_options {
    std::string node;
    std::string data_centre;
    std::string peer_address;         ///< `ip:port` for other nodes
    std::vector<std::string> seeds;   ///< peer addresses of some other nodes; they may be stale
    std::int64_t cpu_milli = 1000;    ///< CPU that the node may use
    int partitions = 0;               ///< 0: by the number of targets when the cell first starts
    milliseconds longest_lease{6000}; ///< longest lease that targets grant
    bool learned_run_times = true;    ///< whether ended runs teach what to expect of others
    bool fair_shares = false;         ///< whether teams share a full partition by weight
    std::int64_t max_kept_tasks = 0;  ///< of all jobs of a partition in memory; 0: any number
};

/// One node of a cell: accepts calls about jobs, routes each to the owner of its partition, and owns the
/// partitions that fall to this node.
class cell_node {
public:
    cell_node(cell_options options, cell_ports ports);
    ~cell_node();
    cell_node(const cell_node&) = delete;
    cell_node& operator=(const cell_node&) = delete;

    /// Returns the peer address; nothing, with the reason, if it can't be bound.
    [[nodiscard]] std::optional<std::string> start();
    /// Leaves the cell: hands each partition over as soon as a node that stays takes it, and keeps it until
    /// then. Calls are still accepted and routed.
    void leave();
    /// Answers all callers' calls that have no answer yet.
    void give_up_calls();
    /// Gives up the partitions that are left, for whoever comes next; waits at most `longest`.
    void release_partitions(milliseconds longest);
    void stop();

    /// Returns the current configuration; null before it was first read.
    [[nodiscard]] std::shared_ptr<const cell_config> config() const;
    /// Routes a call to the owner of its job; invokes `done` exactly once, at the latest when its timeout
    /// expires.
    void call(pb::job_call call, job_callback done);
    /// Whether this node should receive callers' requests.
    [[nodiscard]] bool ready() const;
    /// Number of calls from other nodes without an answer.
    [[nodiscard]] int peer_calls_in_hand() const;
    [[nodiscard]] metrics& counters();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarhub

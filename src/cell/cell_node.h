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
    std::int64_t cpu_milli = 1000;    ///< what the node may use of its processor
    int partitions = 0;               ///< 0: by the number of targets when the cell first starts
    milliseconds longest_lease{6000}; ///< that targets keep
};

/// One node of a cell: it takes callers' jobs, finds the owner of each, and owns partitions when they are due
/// to it.
class cell_node {
public:
    cell_node(cell_options options, cell_ports ports);
    ~cell_node();
    cell_node(const cell_node&) = delete;
    cell_node& operator=(const cell_node&) = delete;

    /// Empty, with the reason, when the peer address can't be had.
    [[nodiscard]] std::optional<std::string> start();
    /// Hands partitions over; callers are still served, through the new owners.
    void hand_over();
    void stop();

    /// What is declared; null before it was first read.
    [[nodiscard]] std::shared_ptr<const cell_config> config() const;
    /// Passes a call to the owner of its job; answers once, at the latest when its timeout has passed.
    void call(pb::job_call call, job_callback done);
    /// Whether callers' requests are expected to be served here.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] metrics& counters();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarhub

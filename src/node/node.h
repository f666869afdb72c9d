#pragma once

#include "node/partition_host.h"

#include "medlarhub/config.h"
#include "medlarhub/settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarhub {

/// A caller's request as the HTTP API passes it to its node.
struct caller_request {
    std::string team;
    std::string request_id;
    const service_document* service = nullptr; ///< valid during the call
    std::string body;
    int tasks = 1;
    milliseconds deadline{0}; ///< from now
};

/// A node's view of itself and of the cluster, for operators.
struct node_status {
    std::string node;
    std::string data_centre;
    bool ready = false;
    bool config_current = false;
    std::int64_t config_revision = 0;
    milliseconds store_age{0}; ///< since the table last confirmed the configuration
    bool store_down = false;
    std::vector<pb::member> members;
    std::vector<pb::partition_summary> partitions;
    // Keyed by owned partition.
    std::map<int, std::map<std::string, std::int64_t>> owned; ///< see `partition_host::counts`
    std::map<int, std::map<std::string, team_holding>> teams;
    std::map<int, std::vector<target_view>> targets;

    std::vector<std::string> unassigned_targets; ///< targets whose rack is in no partition
    std::vector<std::string> drains;
};

/// One medlarhub process: accepts callers' requests, owns some of the partitions and is a cluster member.
class node {
public:
    explicit node(settings options);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Starts listening for peers and joins the cluster. Returns an empty optional and sets the reason when
    /// the peer address can't be bound.
    [[nodiscard]] std::optional<std::string> start();
    /// Leaves the cluster and releases its partitions. Calls are still taken and routed.
    void leave();
    /// Number of calls, from callers and other nodes, without an answer.
    [[nodiscard]] int calls_in_flight() const;
    void stop();

    // Calls from callers. `done` is called exactly once, at the deadline at the latest.
    void run_direct(const caller_request& request, answer_callback done);
    void submit(const caller_request& request, answer_callback done);
    void ask(const std::string& team, const std::string& request_id, answer_callback done);
    void cancel(const std::string& team, const std::string& request_id, answer_callback done);

    // Calls from operators.
    struct change_result {
        bool applied = false;
        bool maybe_applied = false; ///< the table write has an unknown outcome
        bool in_force = false;      ///< a majority of the nodes has confirmed the change
        std::int64_t revision = 0;
        std::string reason;
    };
    /// Records a configuration change and blocks until a majority of the nodes has confirmed it or a timeout
    /// expires.
    [[nodiscard]] change_result change(pb::config_change change, const std::string& who,
                                       std::optional<std::int64_t> expected);
    [[nodiscard]] std::optional<std::vector<pb::config_change>> audit(std::int64_t after, int limit);
    [[nodiscard]] node_status status() const;
    /// Lists the jobs of a team (of all teams when `team` is empty) from every partition; blocks.
    [[nodiscard]] std::vector<pb::job> jobs(const std::string& team, int limit);

    [[nodiscard]] std::shared_ptr<const config_state> config() const;
    [[nodiscard]] bool config_current() const;
    [[nodiscard]] bool ready() const;
    [[nodiscard]] const settings& options() const;
    [[nodiscard]] metrics& counters();

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace medlarhub

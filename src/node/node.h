#pragma once

#include "node/partition_host.h"

#include "medlarhub/config.h"
#include "medlarhub/settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarhub {

/// What an entry needs of its node to serve a caller.
struct caller_request {
    std::string team;
    std::string request_id;
    const service_document* service = nullptr; ///< valid during the call
    std::string body;
    int tasks = 1;
    milliseconds deadline{0}; ///< from now
};

struct node_status {
    std::string node;
    std::string data_centre;
    bool ready = false;
    bool config_current = false;
    std::int64_t config_revision = 0;
    milliseconds store_age{0};
    bool store_down = false;
    std::vector<pb::member> members;
    std::vector<pb::partition_summary> partitions;
    std::map<int, std::map<std::string, std::int64_t>> owned;
    std::map<int, std::map<std::string, team_holding>> teams;
    std::map<int, std::vector<target_view>> targets;
    std::vector<std::string> unassigned_targets; ///< targets whose rack is in no partition
    std::vector<std::string> drains;
};

/// One medlarhub process: entry, owner of some partitions, and member of the cluster.
class node {
public:
    explicit node(settings options);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Listens and joins. Empty, with the reason, when an address can't be had.
    [[nodiscard]] std::optional<std::string> start();
    /// Leaves: hands its partitions over, finishes what callers wait for, stops.
    void shut_down();

    // Callers. Each is answered once, at the latest at its deadline.
    void run_direct(const caller_request& request, answer_callback done);
    void submit(const caller_request& request, answer_callback done);
    void ask(const std::string& team, const std::string& request_id, answer_callback done);
    void cancel(const std::string& team, const std::string& request_id, answer_callback done);

    // Operators.
    struct change_result {
        bool applied = false;
        bool maybe_applied = false; ///< the table gave no answer
        bool in_force = false;      ///< more than half of the nodes hold it
        std::int64_t revision = 0;
        std::string reason;
    };
    /// Records a change and waits until more than half of the nodes hold it; blocks.
    [[nodiscard]] change_result change(pb::config_change change, const std::string& who,
                                       std::optional<std::int64_t> expected);
    [[nodiscard]] std::optional<std::vector<pb::config_change>> audit(std::int64_t after, int limit);
    [[nodiscard]] node_status status() const;
    /// Jobs of a team (all teams when empty) from every partition; blocks.
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

#pragma once

#include "jobs/cell_config.h"

#include "medlarhub/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

/// The nodes that relay the advice requests of one partition. Each partition has its own: the service handles
/// one request of a node at a time, so partitions that shared a node would delay each other in a way that
/// their estimates don't cover.
std::vector<std::string> relays_of_partition(int partition, int partitions, std::vector<std::string> nodes);

/// Whether requests of a queue take the service long enough to delay short ones noticeably.
enum class request_length { brief, lengthy };
request_length length_of(const advice_policy& policy);

/// Spreads advice requests over relay nodes; the service handles one request of each node at a time. With a
/// backlog of jobs, requests sent all at once would take longer than their tickets are valid, so a node gets
/// its next request only when the previous one is nearly answered; waiting steps are thus asked about in
/// queue order. Lengthy requests aren't sent to nodes that are reserved for brief ones, unless there is only
/// one node; the reserve is twice the recent use of brief requests, and at least one node in eight.
class advice_relays {
public:
    void set_nodes(std::vector<std::string> nodes);
    /// Picks the node to relay a request now; empty if all are busy.
    [[nodiscard]] std::optional<std::string> take(instant at, milliseconds cost, request_length length);
    /// Whether a node could relay such a request now.
    [[nodiscard]] bool any_free(instant at, request_length length) const;
    /// Pauses a node after a request through it failed.
    void failed(instant at, const std::string& node);

    [[nodiscard]] std::size_t nodes() const { return m_nodes.size(); }
    /// The number of nodes that lengthy requests may not use.
    [[nodiscard]] std::size_t nodes_for_brief(instant at) const;

private:
    [[nodiscard]] const std::string* pick(instant at, request_length length) const;
    [[nodiscard]] instant free_at(const std::string& node) const;
    /// How many nodes brief requests kept busy lately.
    [[nodiscard]] double brief_use(instant at) const;

    std::vector<std::string> m_nodes;         ///< sorted; the last ones are for brief requests
    std::map<std::string, instant> m_free_at; ///< by node, estimated
    double m_brief_ms = 0;                    ///< cost of brief requests, decayed until `m_brief_at`
    instant m_brief_at{};
};

} // namespace medlarhub

#pragma once

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

/// Spreads advice requests over relay nodes; the service handles one request of each node at a time. With a
/// backlog of jobs, requests sent all at once would take longer than their tickets are valid, so a node gets
/// its next request only when the previous one is nearly answered; waiting steps are thus asked about in
/// queue order. Long requests use only half of the nodes, so that short ones never wait behind them.
class advice_relays {
public:
    void set_nodes(std::vector<std::string> nodes);
    /// Picks the node to relay a request now; empty if all are busy.
    [[nodiscard]] std::optional<std::string> take(instant at, milliseconds cost);
    /// Whether any node could relay a request now.
    [[nodiscard]] bool any_free(instant at) const;
    /// Pauses a node after a request through it failed.
    void failed(instant at, const std::string& node);

private:
    std::vector<std::string> m_nodes;         ///< sorted
    std::map<std::string, instant> m_free_at; ///< by node, estimated
};

} // namespace medlarhub

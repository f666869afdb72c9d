#pragma once

#include "medlarhub/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

/// The nodes through which one of several partitions asks. The service takes one question of a node at a
/// time, so that two partitions that plan the same node would wait for each other unseen.
std::vector<std::string> lanes_of(int partition, int partitions, std::vector<std::string> nodes);

/// Spreads questions over nodes, to a service that serves one question of each node at a time. Answers a pile
/// of waiting jobs, whose questions would outlast their tickets if all were asked at once: a node gets its
/// next question when the last one is nearly answered, so that what waits is asked in its order of turn. Long
/// questions go to half of the nodes only, and short ones never wait behind them.
class advice_lanes {
public:
    void set_nodes(std::vector<std::string> nodes);
    /// The node to ask through now; empty when all are busy.
    [[nodiscard]] std::optional<std::string> take(instant at, milliseconds cost);
    /// Whether a question of some length could be asked now.
    [[nodiscard]] bool any_free(instant at) const;
    /// No answer came through that node: it isn't used for a while.
    void failed(instant at, const std::string& node);

private:
    std::vector<std::string> m_nodes;         ///< sorted
    std::map<std::string, instant> m_free_at; ///< by node, as estimated
};

} // namespace medlarhub

#pragma once

#include "medlarhub/time.h"

#include <map>
#include <string>
#include <vector>

namespace medlarhub {

/// Spreads questions to a service that serves one question of each node at a time. Long ones go to some of
/// the nodes only, so that short ones never wait behind them.
class advice_router {
public:
    /// The node to ask through, of `live` (sorted); empty when there is none.
    [[nodiscard]] std::string choose(instant at, const std::vector<std::string>& live, milliseconds cost);
    /// No answer came through that node: it isn't chosen for a while.
    void failed(instant at, const std::string& node);

private:
    std::map<std::string, instant> m_free_at; ///< by node, as estimated
};

} // namespace medlarhub

#include "jobs/advice_relays.h"

#include <algorithm>

namespace medlarhub {

namespace {

constexpr milliseconds min_long_request{200};
/// How long before the estimated answer to its last request a node may get the next one.
constexpr milliseconds ahead{40};
constexpr milliseconds failure_pause{1000};

} // namespace

std::vector<std::string> relays_of_partition(int partition, int partitions, std::vector<std::string> nodes) {
    std::ranges::sort(nodes);
    const auto count = static_cast<std::size_t>(std::max(partitions, 1));
    const auto first = static_cast<std::size_t>(partition);
    if (nodes.size() <= first)
        return nodes;
    std::vector<std::string> own;
    for (auto i = first; i < nodes.size(); i += count)
        own.push_back(nodes[i]);
    return own;
}

void advice_relays::set_nodes(std::vector<std::string> nodes) {
    std::ranges::sort(nodes);
    m_nodes = std::move(nodes);
    std::erase_if(m_free_at,
                  [&](const auto& entry) { return !std::ranges::binary_search(m_nodes, entry.first); });
}

std::optional<std::string> advice_relays::take(instant at, milliseconds cost) {
    if (m_nodes.empty())
        return {};
    const auto for_long = static_cast<std::ptrdiff_t>(m_nodes.size() / 2);
    const bool is_long = cost >= min_long_request && for_long > 0;
    const auto first = is_long ? m_nodes.begin() : m_nodes.begin() + for_long;
    const auto last = is_long ? m_nodes.begin() + for_long : m_nodes.end();
    const auto free_at = [&](const std::string& node) { return std::max(at, m_free_at[node]); };
    const auto chosen = *std::min_element(
        first, last, [&](const auto& left, const auto& right) { return free_at(left) < free_at(right); });
    if (free_at(chosen) > at + ahead)
        return {};
    m_free_at[chosen] = free_at(chosen) + cost;
    return chosen;
}

bool advice_relays::any_free(instant at) const {
    return std::ranges::any_of(m_nodes, [&](const std::string& node) {
        const auto found = m_free_at.find(node);
        return found == m_free_at.end() || found->second <= at + ahead;
    });
}

void advice_relays::failed(instant at, const std::string& node) {
    m_free_at[node] = at + failure_pause;
}

} // namespace medlarhub

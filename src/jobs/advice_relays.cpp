#include "jobs/advice_relays.h"

#include <algorithm>
#include <cmath>

namespace medlarhub {

namespace {

constexpr milliseconds min_lengthy_request{200};
/// The number of targets by which the requests of a queue count as brief or lengthy.
constexpr double usual_targets = 30;
/// How long before the estimated answer to its last request a node may get the next one.
constexpr milliseconds ahead{40};
constexpr milliseconds failure_pause{1000};
/// The use by brief requests is averaged over about this time.
constexpr std::chrono::duration<double, std::milli> use_window{2000};
/// Nodes for brief requests, as a multiple of their use: queues stay short at half load.
constexpr double brief_headroom = 2;
/// At least one node in this many is for brief requests, for the time until a burst of them shows in their
/// use.
constexpr std::size_t min_brief_one_in = 8;

} // namespace

request_length length_of(const advice_policy& policy) {
    const auto usual = policy.decide + policy.per_target * usual_targets;
    return usual >= min_lengthy_request ? request_length::lengthy : request_length::brief;
}

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

instant advice_relays::free_at(const std::string& node) const {
    const auto found = m_free_at.find(node);
    return found == m_free_at.end() ? instant{} : found->second;
}

double advice_relays::brief_use(instant at) const {
    const std::chrono::duration<double, std::milli> passed = at - m_brief_at;
    return m_brief_ms / use_window.count() * std::exp(-std::max(passed / use_window, 0.0));
}

std::size_t advice_relays::nodes_for_brief(instant at) const {
    if (m_nodes.size() <= 1)
        return m_nodes.size();
    const auto least = std::max<std::size_t>(m_nodes.size() / min_brief_one_in, 1);
    const auto wanted = static_cast<std::size_t>(std::ceil(brief_headroom * brief_use(at)));
    return std::clamp(wanted, least, m_nodes.size() - 1);
}

const std::string* advice_relays::pick(instant at, request_length length) const {
    if (m_nodes.empty())
        return nullptr;
    const auto earlier = [&](const std::string& left, const std::string& right) {
        return std::max(at, free_at(left)) < std::max(at, free_at(right));
    };
    const auto first_brief = m_nodes.end() - static_cast<std::ptrdiff_t>(nodes_for_brief(at));
    const bool is_lengthy = length == request_length::lengthy && first_brief != m_nodes.begin();
    const auto own = is_lengthy ? std::min_element(m_nodes.begin(), first_brief, earlier)
                                : std::min_element(first_brief, m_nodes.end(), earlier);
    if (free_at(*own) <= at + ahead)
        return &*own;
    if (is_lengthy || first_brief == m_nodes.begin())
        return nullptr;
    // A brief request delays the next lengthy one only a little.
    const auto idle = std::min_element(m_nodes.begin(), first_brief, earlier);
    return free_at(*idle) <= at ? &*idle : nullptr;
}

std::optional<std::string> advice_relays::take(instant at, milliseconds cost, request_length length) {
    const auto* chosen = pick(at, length);
    if (chosen == nullptr)
        return {};
    m_free_at[*chosen] = std::max(at, free_at(*chosen)) + cost;
    if (length == request_length::brief) {
        m_brief_ms = brief_use(at) * use_window.count() + static_cast<double>(cost.count());
        m_brief_at = at;
    }
    return *chosen;
}

bool advice_relays::any_free(instant at, request_length length) const {
    return pick(at, length) != nullptr;
}

void advice_relays::failed(instant at, const std::string& node) {
    m_free_at[node] = at + failure_pause;
}

} // namespace medlarhub

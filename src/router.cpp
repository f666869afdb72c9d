#include "medlarhub/router.h"

#include "medlarhub/hash.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// Round trip to another data centre.
constexpr double remote_cost_ms = 3;
/// Estimated increase of a full partition's wait per queued request.
constexpr double queued_cost_ms = 1;

} // namespace

router::router(std::uint64_t seed) : m_random{seed} {}

void router::update_summary(instant at, const pb::partition_summary& summary) {
    auto& view = m_views[summary.partition()];
    const bool older =
        summary.epoch() < view.summary.epoch() ||
        (summary.epoch() == view.summary.epoch() && summary.version() <= view.summary.version());
    if (older)
        return;
    view.summary = summary;
    view.received_at = at;
    view.sent_since_summary = 0;
}

void router::keep_only(const std::vector<int>& partitions) {
    std::erase_if(m_views, [&](const auto& entry) {
        return std::ranges::find(partitions, entry.first) == partitions.end();
    });
}

double router::cost(const partition_view& view, const route_need& need) const {
    double total = static_cast<double>(view.summary.wait_ms());
    const auto free_cpu = view.summary.free_cpu_milli() - view.sent_since_summary * need.cpu_milli;
    const auto free_slots = view.summary.free_slots() - view.sent_since_summary;
    if (free_cpu < need.cpu_milli || free_slots < 1)
        total += queued_cost_ms * static_cast<double>(1 + std::max<std::int64_t>(0, -free_slots));
    if (view.summary.data_centre() != need.data_centre)
        total += remote_cost_ms;
    return total;
}

std::optional<int> router::pick(const route_need& need, std::optional<int> avoid) {
    std::vector<int> candidates;
    bool any_in_service = false;
    for (const auto& [number, view] : m_views) {
        if (number == avoid || view.summary.owner().empty())
            continue;
        candidates.push_back(number);
        any_in_service = any_in_service || view.summary.slots() > 0;
    }
    if (any_in_service)
        std::erase_if(candidates, [&](int number) { return m_views.at(number).summary.slots() == 0; });
    if (candidates.empty())
        return {};
    if (candidates.size() == 1)
        return candidates.front();
    std::uniform_int_distribution<std::size_t> draw{0, candidates.size() - 1};
    std::uniform_int_distribution<std::size_t> step{1, candidates.size() - 1};
    const auto index = draw(m_random);
    const auto first = candidates[index];
    const auto second = candidates[(index + step(m_random)) % candidates.size()];
    return cost(m_views.at(second), need) < cost(m_views.at(first), need) ? second : first;
}

void router::request_sent(int partition) {
    const auto found = m_views.find(partition);
    if (found != m_views.end())
        ++found->second.sent_since_summary;
}

std::optional<partition_view> router::find(int partition) const {
    const auto found = m_views.find(partition);
    if (found == m_views.end())
        return {};
    return found->second;
}

std::string router::owner(int partition) const {
    const auto found = m_views.find(partition);
    return found == m_views.end() ? std::string{} : found->second.summary.owner();
}

std::vector<pb::partition_summary> router::summaries(std::size_t limit) {
    std::vector<pb::partition_summary> chosen;
    for (const auto& [number, view] : m_views)
        chosen.push_back(view.summary);
    if (chosen.size() > limit) {
        std::ranges::shuffle(chosen, m_random);
        chosen.resize(limit);
    }
    return chosen;
}

std::optional<int> home_partition(const std::vector<int>& partitions, const std::string& team,
                                  const std::string& request_id) {
    if (partitions.empty())
        return {};
    std::vector<std::string> names;
    names.reserve(partitions.size());
    for (const auto number : partitions)
        names.push_back(std::to_string(number));
    return std::stoi(rendezvous(names, team + "\n" + request_id));
}

} // namespace medlarhub

#include "http/client_budget.h"

#include <algorithm>
#include <tuple>

namespace medlarhub {

namespace {

/// The share of a process's memory for unfinished and unanswered requests.
constexpr std::int64_t memory_part = 8;
/// Descriptors of files, libraries and logs.
constexpr std::int64_t other_descriptors = 200;
/// Outgoing calls need the other half of the descriptors.
constexpr std::int64_t incoming_part = 2;
constexpr std::int64_t min_connections = 16;
/// A request that got nothing for this long may be given up for others.
constexpr milliseconds min_stall{250};

} // namespace

http_limits http_limits_for(std::int64_t memory_bytes, std::int64_t descriptors) {
    http_limits limits;
    if (memory_bytes > 0)
        limits.buffered_bytes = memory_bytes / memory_part;
    if (descriptors > 0)
        limits.connections = static_cast<std::size_t>(
            std::max((descriptors - other_descriptors) / incoming_part, min_connections));
    return limits;
}

std::optional<connection_id> client_budget::open(instant at, connection_id connection) {
    std::optional<connection_id> chosen;
    if (m_connections.size() >= m_limits.connections) {
        std::tuple<bool, instant> best{};
        for (const auto& [id, each] : m_connections) {
            if (each.state == phase::handling)
                continue;
            const std::tuple rank{each.state == phase::idle, each.last_progress};
            if (!chosen || rank < best) {
                chosen = id;
                best = rank;
            }
        }
        if (!chosen)
            return connection;
        close(*chosen);
    }
    m_connections[connection].last_progress = at;
    return chosen;
}

void client_budget::close(connection_id connection) {
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    set_counted(found->second, 0);
    m_connections.erase(found);
}

void client_budget::set_counted(entry& of, std::int64_t bytes) {
    m_buffered += bytes - of.counted;
    of.counted = bytes;
}

std::optional<std::vector<connection_id>> client_budget::grow(instant at, connection_id connection,
                                                              std::int64_t bytes) {
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return std::nullopt;
    auto& grown = found->second;
    grown.state = phase::reading;
    grown.last_progress = at;
    const auto counted = std::max<std::int64_t>(bytes - small_request_bytes, 0);
    std::vector<connection_id> closed;
    if (auto excess = m_buffered + counted - grown.counted - m_limits.buffered_bytes; excess > 0) {
        std::vector<std::pair<instant, connection_id>> stalled;
        for (const auto& [id, each] : m_connections) {
            if (each.state == phase::reading && each.counted > 0 && at - each.last_progress >= min_stall)
                stalled.emplace_back(each.last_progress, id);
        }
        std::ranges::sort(stalled);
        for (const auto& [since, id] : stalled) {
            if (excess <= 0)
                break;
            excess -= m_connections.at(id).counted;
            closed.push_back(id);
        }
        if (excess > 0)
            return std::nullopt;
    }
    for (const auto id : closed)
        close(id);
    set_counted(grown, counted);
    return closed;
}

void client_budget::start_handling(connection_id connection) {
    const auto found = m_connections.find(connection);
    if (found != m_connections.end())
        found->second.state = phase::handling;
}

void client_budget::finish(instant at, connection_id connection) {
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    set_counted(found->second, 0);
    found->second.state = phase::idle;
    found->second.last_progress = at;
}

} // namespace medlarhub

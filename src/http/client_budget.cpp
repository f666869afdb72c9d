#include "http/client_budget.h"

#include <algorithm>
#include <tuple>

namespace medlarhub {

namespace {

/// An eighth of a process's memory is for unfinished and unanswered requests: their decoded copies need
/// several times as much.
constexpr std::int64_t memory_part = 8;
/// Reserved for files, libraries and logs.
constexpr std::int64_t reserved_descriptors = 200;
/// Half of the other descriptors; the rest is for outgoing calls.
constexpr std::int64_t incoming_part = 2;
constexpr std::int64_t min_connections = 16;
/// A request without progress for this long may be closed to make room. Parts of a request that a client
/// sends in one go arrive closer together, also over a slow link.
constexpr milliseconds min_stall{250};

} // namespace

http_limits http_limits_for(std::int64_t memory_bytes, std::int64_t descriptors) {
    http_limits limits;
    if (memory_bytes > 0)
        limits.buffered_bytes = memory_bytes / memory_part;
    if (descriptors > 0)
        limits.connections = static_cast<std::size_t>(
            std::max((descriptors - reserved_descriptors) / incoming_part, min_connections));
    return limits;
}

std::optional<connection_id> client_budget::open(instant at, connection_id connection) {
    std::optional<connection_id> chosen;
    if (m_connections.size() >= m_limits.connections) {
        std::tuple<int, instant> best{};
        for (const auto& [id, each] : m_connections) {
            if (each.state == phase::handling)
                continue;
            const bool stalled = each.state == phase::reading && at - each.last_progress >= min_stall;
            const std::tuple rank{stalled ? 0 : each.state == phase::idle ? 1 : 2, each.last_progress};
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

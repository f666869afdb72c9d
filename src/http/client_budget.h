#pragma once

#include "medlarhub/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace medlarhub {

/// Limits on what clients may make this process hold. All HTTP servers of a process share them. The defaults
/// are above what a client within the documented limits of the API needs.
struct http_limits {
    std::size_t header_bytes =
        std::size_t{64} * 1024; ///< request line and header; also trailers and chunk extensions
    std::size_t connections = 1024;
    std::int64_t buffered_bytes = 32 << 20; ///< of all requests, beyond `small_request_bytes` of each
    milliseconds header_time{10'000};       ///< from the first byte of a header to its end
    milliseconds idle_time{60'000};         ///< between two requests of a connection
    milliseconds stall_time{10'000};        ///< between two parts of a body
    milliseconds transfer_time{60'000};     ///< for a whole body, and for a whole response
};

/// Limits for a process with that much memory and that many file descriptors; 0: unknown.
http_limits http_limits_for(std::int64_t memory_bytes, std::int64_t descriptors);

/// The part of each request that doesn't count against the budget, so that small requests are served while
/// large ones use it up. The limit on connections covers it.
constexpr std::int64_t small_request_bytes = std::int64_t{16} * 1024;

using connection_id = std::uint64_t;

/// Decides which connections to close when clients open too many, or when unfinished requests use up the
/// memory budget. Performs no I/O: `open` and `grow` stop counting the connections that they name, and the
/// caller closes them. Not thread-safe.
class client_budget {
public:
    explicit client_budget(const http_limits& limits) : m_limits{limits} {}

    /// Adds a connection. Returns the one to close for it, if there are too many: the one whose unfinished
    /// request has stalled for longest, otherwise the one that has been idle for longest, otherwise one whose
    /// request makes progress. Requests that were handed to the application are never chosen; if there is
    /// nothing else, it is the new connection itself.
    std::optional<connection_id> open(instant at, connection_id connection);
    void close(connection_id connection);

    /// Notes that the unfinished request of the connection now has `bytes` in memory. Returns nothing if the
    /// budget doesn't cover that and the request has to be refused, otherwise the connections to close to
    /// make room: those whose requests have stalled, the longest first.
    std::optional<std::vector<connection_id>> grow(instant at, connection_id connection, std::int64_t bytes);
    /// The request is read whole and was handed to the application.
    void start_handling(connection_id connection);
    /// The response was written.
    void finish(instant at, connection_id connection);

    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }
    [[nodiscard]] std::int64_t buffered_bytes() const { return m_buffered; }

private:
    enum class phase { idle, reading, handling };
    struct entry {
        phase state = phase::idle;
        instant last_progress{};
        std::int64_t counted = 0; ///< bytes that count against the budget
    };

    void set_counted(entry& of, std::int64_t bytes);

    http_limits m_limits;
    std::map<connection_id, entry> m_connections;
    std::int64_t m_buffered = 0;
};

} // namespace medlarhub

#pragma once

#include "http/client_budget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

class metrics;

struct http_request {
    std::string method;
    std::string path; ///< percent-encoded, see `path_segments`
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    /// Returns an empty string when the header or parameter is missing.
    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] std::string parameter(const std::string& name) const;
};

struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
};

/// Sends the response; called once per request, at any later time and from any thread.
using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_responder)>;

/// An HTTP/1.1 server based on Boost.Beast's parser, run on cpprestsdk's thread pool. cpprestsdk's own
/// listener isn't used, because it doesn't bound headers, trailers or chunk extensions.
class http_server {
public:
    http_server();
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens on `address` (`ip:port`) and returns it. Requests with a body above `max_body_bytes` get a 413
    /// response before it is read whole. Returns nothing, with the reason, when listening fails.
    [[nodiscard]] std::optional<std::string> start(const std::string& address, std::int64_t max_body_bytes,
                                                   http_handler handler);
    void stop();
    /// Number of requests that were read whole and whose responses aren't written out yet.
    [[nodiscard]] int in_hand() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

/// Sets the limits that all HTTP servers of this process share, and where refusals are counted. Call before
/// the first server starts.
void set_http_limits(const http_limits& limits, metrics* counters);
/// Ends the counting; call before the counters are destroyed.
void clear_http_counters();

/// Sets the size of the thread pool that all HTTP servers and clients of this process share. Call once, at
/// start.
void set_http_threads(int threads);

/// Creates a response with a problem details body (RFC 9457).
http_response problem(int status, const std::string& title, const std::string& detail);

/// Splits a path into decoded segments: `/v1/a%2Fb` gives `v1` and `a/b`.
std::vector<std::string> path_segments(const std::string& path);
std::string url_encode(const std::string& text);

} // namespace medlarhub

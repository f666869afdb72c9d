#pragma once

#include "http/server.h"
#include "node/node.h"

#include <atomic>

namespace medlarhub {

/// The HTTP API for callers, described in docs/api.md.
class caller_api {
public:
    explicit caller_api(node& served) : m_node{served} {}

    /// Handles requests under /v1/services and /v1/requests, the load balancer's health and readiness checks,
    /// and /metrics. Returns false for any other path.
    bool handle(const http_request& request, const http_responder& respond);
    /// Refuses all further requests under /v1 at once; the process is about to end.
    void refuse_requests() { m_refusing = true; }

private:
    void submit(const http_request& request, const std::string& service, const http_responder& respond);
    void get_or_cancel(const http_request& request, const std::string& id, const http_responder& respond);
    bool handle_health_or_metrics(const http_request& request, const http_responder& respond);

    node& m_node;
    std::atomic<bool> m_refusing{false};
};

/// Returns the bearer token of the Authorization header; empty when there is none.
std::string bearer_key(const http_request& request);

/// Converts an answer to the caller's HTTP response, with problem details and Retry-After for errors.
http_response to_response(const pb::answer& answer);

} // namespace medlarhub

#pragma once

#include "http/server.h"
#include "node/node.h"

namespace medlarhub {

/// The callers' interface: docs/api.md.
class caller_api {
public:
    explicit caller_api(node& served) : m_node{served} {}

    /// Answers a request whose path begins with /v1/services or /v1/requests, and the balancer's and the
    /// metrics' paths. False when the path is not one of these.
    bool handle(const http_request& request, const http_responder& respond);

private:
    void submit(const http_request& request, const std::string& service, const http_responder& respond);
    void get_or_cancel(const http_request& request, const std::string& id, const http_responder& respond);
    bool handle_probe(const http_request& request, const http_responder& respond);

    node& m_node;
};

/// The value after `Bearer ` in the Authorization header; empty text when there is none.
std::string bearer_key(const http_request& request);

/// An answer as the caller gets it: status, problem details, Retry-After.
http_response to_response(const pb::answer& answer);

} // namespace medlarhub

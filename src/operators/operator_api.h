#pragma once

#include "http/server.h"
#include "node/node.h"

#include <memory>

namespace medlarhub {

/// The operators' HTTP API under /v1/operator, see docs/OPERATIONS.md. Requests are served on a thread of
/// their own, because they may block on the platform and must not delay callers.
class operator_api {
public:
    explicit operator_api(node& served);
    ~operator_api();
    operator_api(const operator_api&) = delete;
    operator_api& operator=(const operator_api&) = delete;

    /// Handles a request under /v1/operator. Returns false when the request has another path.
    bool handle(const http_request& request, const http_responder& respond);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarhub

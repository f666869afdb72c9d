#pragma once

#include "http/server.h"
#include "node/node.h"

#include <memory>

namespace medlarhub {

/// The operators' interface under /v1/operator: docs/OPERATIONS.md. Calls that wait on the platform run on a
/// thread of their own, so that they never hold up callers.
class operator_api {
public:
    explicit operator_api(node& served);
    ~operator_api();
    operator_api(const operator_api&) = delete;
    operator_api& operator=(const operator_api&) = delete;

    /// False when the path is not an operator's.
    bool handle(const http_request& request, const http_responder& respond);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarhub

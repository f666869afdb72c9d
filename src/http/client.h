#pragma once

#include "medlarhub/time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace medlarhub {

struct http_call {
    std::string method = "GET";
    std::string path; ///< percent-encoded, with the query
    std::map<std::string, std::string> headers;
    std::string body;
    std::string content_type = "application/octet-stream";
    milliseconds timeout{3000};
};

enum class http_delivery {
    answered, ///< a complete response arrived
    not_sent, ///< the connection was refused or the call is invalid: the server did not get the call
    unknown   ///< anything else: the call, or an earlier send of it, may have taken effect
};

struct http_result {
    http_delivery delivery = http_delivery::unknown;
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string reason;
    int sends = 1; ///< how often the library sent the request; only the last send has a response

    [[nodiscard]] bool ok() const { return delivery == http_delivery::answered && status / 100 == 2; }
};

/// HTTP/1.1 client on cpprestsdk. Keeps one library client, with its persistent connections, for each server
/// and rounded timeout.
class http_client {
public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Calls `done` exactly once, usually on a thread of the HTTP pool; on the calling thread when the call
    /// is invalid.
    void send(const std::string& base_url, const http_call& call, std::function<void(http_result)> done);
    /// Blocks until the response arrives. Must not be called on a thread of the HTTP pool.
    [[nodiscard]] http_result send(const std::string& base_url, const http_call& call);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarhub

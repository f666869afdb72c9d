#include "http/client.h"

#include "log.h"

#include <algorithm>
#include <atomic>
#include <bit>
#include <cctype>
#include <cpprest/http_client.h>
#include <future>
#include <mutex>
#include <system_error>

namespace medlarhub {

namespace {

namespace rest = web::http;

constexpr std::uint64_t min_timeout_ms = 250;

std::string to_lower(std::string text) {
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Rounds up to a power of two: the library has one timeout per client, so that few distinct values mean few
/// clients.
milliseconds round_up_timeout(milliseconds timeout) {
    const auto ms = std::max<std::uint64_t>(
        static_cast<std::uint64_t>(std::max<std::int64_t>(timeout.count(), 0)), min_timeout_ms);
    return milliseconds{static_cast<std::int64_t>(std::bit_ceil(ms))};
}

http_result to_result(const rest::http_response& response, const std::vector<unsigned char>& bytes) {
    http_result result;
    result.delivery = http_delivery::answered;
    result.status = response.status_code();
    result.body.assign(bytes.begin(), bytes.end());
    for (const auto& [name, value] : response.headers())
        result.headers[to_lower(name)] = value;
    const auto expected = response.headers().content_length();
    if (expected != 0 && expected != bytes.size()) {
        result.delivery = http_delivery::unknown;
        result.reason = "the response body was truncated";
    }
    return result;
}

http_result error_to_result(const rest::http_exception& error) {
    http_result result;
    const bool refused = error.error_code() == std::errc::connection_refused;
    result.delivery = refused ? http_delivery::not_sent : http_delivery::unknown;
    result.reason = error.what();
    return result;
}

/// Counts how often the library sends a request: it repeats one by itself, on a new connection, if the server
/// closes a kept connection instead of responding.
std::shared_ptr<std::atomic<int>> count_sends(rest::http_request& request) {
    auto sends = std::make_shared<std::atomic<int>>(0);
    request.set_progress_handler([sends](rest::message_direction::direction direction, std::uint64_t bytes) {
        if (direction == rest::message_direction::upload && bytes == 0)
            ++*sends;
    });
    return sends;
}

/// Only the last send of a request has a response. A refusal says nothing about the earlier ones.
void judge_resends(int sends, const std::string& method, const std::string& url, http_result& result) {
    if (sends <= 1)
        return;
    result.sends = sends;
    if (method != "GET" && !result.ok()) {
        result.delivery = http_delivery::unknown;
        result.reason += (result.reason.empty() ? "" : "; ") + std::string{"sent more than once"};
    }
    log_event(log_level::info, "request_resent",
              {{"url", url},
               {"sends", std::to_string(sends)},
               {"status", std::to_string(result.status)},
               {"reason", result.reason}});
}

/// Logs exceptions of the callback. Nothing else would observe them, and an unobserved exception in a pplx
/// task terminates the process.
void invoke_callback(const std::function<void(http_result)>& done, http_result result) {
    try {
        done(std::move(result));
    } catch (const std::exception& error) {
        log_event(log_level::error, "answer_not_taken", {{"reason", error.what()}});
    }
}

} // namespace

class http_client::impl {
public:
    std::shared_ptr<rest::client::http_client> find(const std::string& base_url, milliseconds timeout) {
        const std::lock_guard lock{m_mutex};
        auto& client = m_clients[{base_url, timeout}];
        if (!client) {
            rest::client::http_client_config config;
            config.set_timeout(timeout);
            client = std::make_shared<rest::client::http_client>(web::uri{base_url}, config);
        }
        return client;
    }

private:
    std::mutex m_mutex;
    std::map<std::pair<std::string, milliseconds>, std::shared_ptr<rest::client::http_client>> m_clients;
};

http_client::http_client() : m_impl{std::make_unique<impl>()} {}
http_client::~http_client() = default;

void http_client::send(const std::string& base_url, const http_call& call,
                       std::function<void(http_result)> done) {
    try {
        const auto client = m_impl->find(base_url, round_up_timeout(call.timeout));
        rest::http_request request(call.method);
        request.set_request_uri(web::uri{call.path});
        for (const auto& [name, value] : call.headers)
            request.headers().add(name, value);
        if (!call.body.empty() || call.method != "GET")
            request.set_body(call.body, call.content_type);
        const auto sends = count_sends(request);
        client->request(request)
            .then([client](const rest::http_response& response) {
                return response.extract_vector().then([response](const std::vector<unsigned char>& bytes) {
                    return to_result(response, bytes);
                });
            })
            .then([done, sends, method = call.method, path = call.path,
                   base_url](const pplx::task<http_result>& finished) {
                http_result result;
                try {
                    result = finished.get();
                } catch (const rest::http_exception& error) {
                    result = error_to_result(error);
                } catch (const std::exception& error) {
                    result.reason = error.what();
                }
                judge_resends(*sends, method, base_url + path, result);
                invoke_callback(done, std::move(result));
            });
    } catch (const std::exception& error) {
        http_result result;
        result.delivery = http_delivery::not_sent;
        result.reason = error.what();
        invoke_callback(done, std::move(result));
    }
}

http_result http_client::send(const std::string& base_url, const http_call& call) {
    const auto promise = std::make_shared<std::promise<http_result>>();
    auto future = promise->get_future();
    send(base_url, call, [promise](http_result result) { promise->set_value(std::move(result)); });
    return future.get();
}

} // namespace medlarhub

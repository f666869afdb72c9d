#include "http/server.h"

#include "medlarhub/reason.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cpprest/http_listener.h>
#include <nlohmann/json.hpp>
#include <pplx/threadpool.h>

namespace medlarhub {

namespace {

namespace rest = web::http;

std::string to_lower(std::string text) {
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

http_request to_http_request(const rest::http_request& from) {
    http_request request;
    request.method = from.method();
    request.path = from.relative_uri().path();
    for (const auto& [key, value] : web::uri::split_query(from.relative_uri().query()))
        request.query[web::uri::decode(key)] = web::uri::decode(value);
    for (const auto& [name, value] : from.headers())
        request.headers[to_lower(name)] = value;
    return request;
}

/// Sends the response; the counter, if there is one, goes down once it is written out or can't be.
void reply(const rest::http_request& request, const http_response& response,
           const std::shared_ptr<std::atomic<int>>& in_hand = {}) {
    rest::http_response message(static_cast<rest::status_code>(response.status));
    message.set_body(response.body, response.content_type);
    for (const auto& [name, value] : response.headers)
        message.headers().add(name, value);
    request.reply(message).then([in_hand](const pplx::task<void>& sent) {
        try {
            sent.get();
        } catch (const std::exception&) {
            // The client disconnected; it can look up the outcome by its request id.
        }
        if (in_hand)
            --*in_hand;
    });
}

} // namespace

class http_server::impl {
public:
    impl(const web::uri& uri, std::int64_t max_body_bytes, http_handler handler)
        : m_listener{uri}, m_max_body_bytes{max_body_bytes}, m_handler{std::move(handler)} {
        m_listener.support([this](const rest::http_request& request) { accept(request); });
    }

    [[nodiscard]] int in_hand() const { return *m_in_hand; }
    void open() { m_listener.open().wait(); }
    void close() { m_listener.close().wait(); }

private:
    void accept(const rest::http_request& request) {
        if (request.headers().content_length() > static_cast<std::uint64_t>(m_max_body_bytes)) {
            reply(request, problem(413, "body too large",
                                   "the limit is " + std::to_string(m_max_body_bytes) + " bytes"));
            return;
        }
        // Never blocks a pool thread here: reading the rest of the body needs one.
        request.extract_vector().then([this, request](const pplx::task<std::vector<unsigned char>>& body) {
            try {
                const auto& bytes = body.get();
                auto translated = to_http_request(request);
                translated.body.assign(bytes.begin(), bytes.end());
                ++*m_in_hand;
                if (translated.body.size() > static_cast<std::size_t>(m_max_body_bytes)) {
                    reply(request, problem(413, "body too large", "the body exceeds the limit"), m_in_hand);
                    return;
                }
                m_handler(std::move(translated),
                          [request, counter = m_in_hand](const http_response& response) {
                              reply(request, response, counter);
                          });
            } catch (const std::exception&) {
                // The connection closed before the body was complete; the request is not handled.
            }
        });
    }

    rest::experimental::listener::http_listener m_listener;
    std::int64_t m_max_body_bytes;
    http_handler m_handler;
    /// Shared with responses that are written out after the server was closed.
    std::shared_ptr<std::atomic<int>> m_in_hand = std::make_shared<std::atomic<int>>(0);
};

http_server::http_server() = default;
http_server::~http_server() {
    stop();
}

std::optional<std::string> http_server::start(const std::string& address, std::int64_t max_body_bytes,
                                              http_handler handler) {
    try {
        m_impl = std::make_unique<impl>(web::uri{"http://" + address}, max_body_bytes, std::move(handler));
        m_impl->open();
        return address;
    } catch (const std::exception& error) {
        m_impl.reset();
        return fail("can't listen on " + address + ": " + error.what());
    }
}

int http_server::in_hand() const {
    return m_impl ? m_impl->in_hand() : 0;
}

void http_server::stop() {
    if (!m_impl)
        return;
    try {
        m_impl->close();
    } catch (const std::exception&) {
        // Closing twice, or while a client disconnects, is harmless.
    }
    m_impl.reset();
}

std::string http_request::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

std::string http_request::parameter(const std::string& name) const {
    const auto found = query.find(name);
    return found == query.end() ? std::string{} : found->second;
}

void set_http_threads(int threads) {
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(threads));
}

http_response problem(int status, const std::string& title, const std::string& detail) {
    const nlohmann::json body{
        {"type", "about:blank"}, {"title", title}, {"status", status}, {"detail", detail}};
    return {status,
            body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
            "application/problem+json",
            {}};
}

std::vector<std::string> path_segments(const std::string& path) {
    std::vector<std::string> segments;
    for (const auto& segment : web::uri::split_path(path))
        segments.push_back(web::uri::decode(segment));
    return segments;
}

std::string url_encode(const std::string& text) {
    return web::uri::encode_data_string(text);
}

} // namespace medlarhub

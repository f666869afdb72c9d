#include "http/server.h"

#include "log.h"
#include "metrics.h"

#include "medlarhub/reason.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <condition_variable>
#include <cpprest/base_uri.h>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <pplx/threadpool.h>

namespace medlarhub {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using steady_time = std::chrono::steady_clock::time_point;

constexpr std::size_t read_size = 4096;
/// Empty lines before a request are ignored up to this many bytes.
constexpr std::size_t max_leading_bytes = 8;
constexpr milliseconds sweep_period{500};
constexpr milliseconds accept_retry{100};
/// How long a refused client may go on sending, so that it reads the response before the connection is reset.
constexpr milliseconds linger_time{1000};
constexpr milliseconds refusal_log_period{1000};
constexpr auto retry_after_refusal_s = "1";
/// What a header field takes in memory besides its text; short fields would otherwise count for little.
constexpr std::size_t bytes_of_field = 128;
constexpr std::ptrdiff_t max_query_parameters = 200;

std::string to_lower(std::string_view from) {
    std::string text{from};
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Parses requests into `http_request`, without its path and query.
class request_parser final : public http::basic_parser<true> {
public:
    request_parser(std::size_t max_header_bytes, std::int64_t max_body_bytes) {
        eager(true);
        header_limit(static_cast<std::uint32_t>(max_header_bytes));
        body_limit(static_cast<std::uint64_t>(max_body_bytes));
    }

    [[nodiscard]] http_request& request() { return m_request; }
    [[nodiscard]] const std::string& uri() const { return m_uri; }
    /// The memory that the request takes.
    [[nodiscard]] std::size_t bytes() const { return m_field_bytes + m_request.body.capacity(); }

private:
    using text = boost::beast::string_view;

    void on_request_impl(http::verb /*method*/, text method, text target, int /*version*/,
                         error_code& /*error*/) override {
        m_request.method = std::string{method};
        m_uri = std::string{target};
    }
    void on_response_impl(int /*code*/, text /*reason*/, int /*version*/, error_code& /*error*/) override {}
    void on_field_impl(http::field /*field*/, text name, text value, error_code& /*error*/) override {
        if (is_header_done()) // a trailer
            return;
        auto& known = m_request.headers[to_lower({name.data(), name.size()})];
        known += (known.empty() ? "" : ", ") + std::string{value};
        m_field_bytes += name.size() + value.size() + bytes_of_field;
    }
    void on_header_impl(error_code& /*error*/) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& /*error*/) override {
        // A string that grows by doubling leaves holes in the heap: many bodies at once took more than they
        // hold.
        if (length)
            m_request.body.reserve(*length);
    }
    std::size_t on_body_impl(text body, error_code& /*error*/) override {
        m_request.body.append(body.data(), body.size());
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, text /*extensions*/, error_code& /*error*/) override {}
    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, text body, error_code& /*error*/) override {
        m_request.body.append(body.data(), body.size());
        return body.size();
    }
    void on_finish_impl(error_code& /*error*/) override {}

    http_request m_request;
    std::string m_uri;
    std::size_t m_field_bytes = 0;
};

/// Sets path and query from the request target. Returns false if it is no valid URI or has too many
/// parameters.
bool set_uri(http_request& request, const std::string& target) {
    try {
        const web::uri uri{target};
        request.path = uri.path();
        (void)path_segments(request.path); // throws if an escape is invalid
        const auto& query = uri.query();
        if (std::ranges::count(query, '&') + std::ranges::count(query, ';') > max_query_parameters)
            return false;
        for (const auto& [key, value] : web::uri::split_query(query))
            request.query[web::uri::decode(key)] = web::uri::decode(value);
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

std::string header_of(const http_response& response, bool keep_alive) {
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                       std::string{http::obsolete_reason(static_cast<http::status>(response.status))} +
                       "\r\nContent-Length: " + std::to_string(response.body.size()) +
                       "\r\nContent-Type: " + response.content_type + "\r\n";
    for (const auto& [name, value] : response.headers)
        text += name + ": " + value + "\r\n";
    if (!keep_alive && !response.headers.contains("Connection"))
        text += "Connection: close\r\n";
    return text + "\r\n";
}

class session;

/// What all servers of the process share: limits, the connections that count against them, and the log of
/// refusals.
class shared_clients {
public:
    static shared_clients& instance() {
        // Never destroyed: pool threads may still use it at the end of the process.
        static auto* made = new shared_clients; // NOLINT(cppcoreguidelines-owning-memory)
        return *made;
    }

    void set(const http_limits& limits, metrics* counters) {
        const std::lock_guard lock{m_mutex};
        m_limits = limits;
        m_budget = client_budget{limits};
        m_counters = counters;
    }
    void clear_counters() {
        const std::lock_guard lock{m_mutex};
        m_counters = nullptr;
    }
    [[nodiscard]] http_limits limits() {
        const std::lock_guard lock{m_mutex};
        return m_limits;
    }

    /// Adds a connection. Returns false if there are too many and none can be closed for it.
    bool open(connection_id id, const std::shared_ptr<session>& opened);
    void close(connection_id id);
    /// Returns false if the request has to be refused.
    bool grow(connection_id id, std::int64_t bytes);
    void start_handling(connection_id id) {
        const std::lock_guard lock{m_mutex};
        m_budget.start_handling(id);
    }
    void finish(connection_id id) {
        const std::lock_guard lock{m_mutex};
        m_budget.finish(now(), id);
        report();
    }
    connection_id next_id() { return ++m_last_id; }

    void note_refusal(int status, const std::string& reason, const std::string& client);

private:
    struct refusal_log {
        instant next{};
        int suppressed = 0;
    };

    std::shared_ptr<session> take(connection_id id);
    void report();

    std::mutex m_mutex;
    http_limits m_limits;
    client_budget m_budget{m_limits};
    std::map<connection_id, std::weak_ptr<session>> m_sessions;
    metrics* m_counters = nullptr;
    std::map<std::string, refusal_log> m_refusals;
    std::atomic<connection_id> m_last_id{0};
};

/// A listening socket with its connections. Handler calls stop once it is closed.
class listener : public std::enable_shared_from_this<listener> {
public:
    listener(std::int64_t max_body_bytes, http_handler handler)
        : m_pool{crossplat::threadpool::shared_instance().service()}, m_acceptor{asio::make_strand(m_pool)},
          m_timer{m_acceptor.get_executor()}, m_max_body_bytes{max_body_bytes}, m_handler{
                                                                                    std::move(handler)} {}

    void open(const std::string& address);
    void close();
    /// Passes the request to the handler unless the listener is closed.
    void handle(http_request request, http_responder respond);
    void remove(connection_id id);
    [[nodiscard]] std::int64_t max_body_bytes() const { return m_max_body_bytes; }
    [[nodiscard]] std::atomic<int>& in_hand() { return m_in_hand; }

private:
    void accept();
    void add(tcp::socket socket);
    void sweep();
    std::vector<std::shared_ptr<session>> sessions();

    asio::io_context& m_pool;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    std::int64_t m_max_body_bytes;
    http_handler m_handler;
    std::atomic<int> m_in_hand{0};
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::map<connection_id, std::weak_ptr<session>> m_sessions;
    int m_calls = 0; ///< handler calls in progress
    bool m_closed = false;
    bool m_sweeping = false;
};

/// One connection: reads a request, has it handled, writes the response, and so on. All its work runs in one
/// strand.
class session : public std::enable_shared_from_this<session> {
public:
    session(std::shared_ptr<listener> owner, tcp::socket socket)
        : m_owner{std::move(owner)}, m_socket{std::move(socket)},
          m_limits{shared_clients::instance().limits()}, m_id{shared_clients::instance().next_id()},
          m_buffer{m_limits.header_bytes + read_size} {
        error_code ignored;
        m_socket.set_option(tcp::no_delay{true}, ignored);
        const auto peer = m_socket.remote_endpoint(ignored);
        if (!ignored)
            m_client = peer.address().to_string();
    }
    ~session() {
        if (m_phase == phase::handling) // the handler dropped the request
            --m_owner->in_hand();
        shared_clients::instance().close(m_id);
        m_owner->remove(m_id);
    }
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    [[nodiscard]] connection_id id() const { return m_id; }
    void start() {
        run([](session& self) { self.start_request(); });
    }
    /// Refuses an unfinished request whose time is up; closes an idle connection.
    void expire() {
        run([](session& self) { self.end_wait(); });
    }
    void close() {
        run([](session& self) { self.close_now(); });
    }
    [[nodiscard]] bool is_overdue(steady_time at) const { return at >= m_deadline.load(); }

private:
    enum class phase { idle, header, body, handling, writing, lingering, closed };

    template <typename Body> void run(Body body) {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), body] { body(*self); });
    }
    void set_phase(phase next, milliseconds time) {
        m_phase = next;
        m_deadline = std::chrono::steady_clock::now() + time;
    }
    void start_request();
    void read();
    void received(const error_code& error, std::size_t bytes);
    void consume();
    void skip_empty_lines();
    bool note_progress();
    bool continue_if_expected();
    void handle();
    void respond(http_response response);
    void write(http_response response, bool keep_alive, bool linger);
    void written(bool keep_alive, bool linger);
    void refuse(int status, const std::string& reason, const std::string& detail);
    void refuse(const error_code& error);
    void linger();
    void end_wait();
    void close_now();

    std::shared_ptr<listener> m_owner;
    tcp::socket m_socket;
    http_limits m_limits;
    connection_id m_id;
    std::string m_client;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::size_t m_leading_bytes = 0;
    steady_time m_body_deadline{};
    phase m_phase = phase::idle;
    std::atomic<steady_time> m_deadline{steady_time::max()};
    std::string m_header_text;
    http_response m_response;
    bool m_keep_alive = true;
    bool m_is_head = false;   ///< the request's method is HEAD, so that the response has no body
    bool m_reading = false;   ///< a read is in progress
    bool m_continued = false; ///< the client was told, or needn't be told, to send the body
};

// ---- Shared limits ----

bool shared_clients::open(connection_id id, const std::shared_ptr<session>& opened) {
    std::shared_ptr<session> evicted;
    {
        const std::lock_guard lock{m_mutex};
        const auto chosen = m_budget.open(now(), id);
        if (chosen == id)
            return false;
        m_sessions[id] = opened;
        if (chosen)
            evicted = take(*chosen);
        report();
    }
    if (evicted)
        evicted->close();
    return true;
}

void shared_clients::close(connection_id id) {
    const std::lock_guard lock{m_mutex};
    m_sessions.erase(id);
    m_budget.close(id);
    report();
}

bool shared_clients::grow(connection_id id, std::int64_t bytes) {
    std::vector<std::shared_ptr<session>> evicted;
    {
        const std::lock_guard lock{m_mutex};
        const auto closed = m_budget.grow(now(), id, bytes);
        report();
        if (!closed)
            return false;
        for (const auto each : *closed)
            evicted.push_back(take(each));
    }
    for (const auto& each : evicted) {
        if (each)
            each->close();
    }
    return true;
}

std::shared_ptr<session> shared_clients::take(connection_id id) {
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end())
        return {};
    auto taken = found->second.lock();
    m_sessions.erase(found);
    return taken;
}

void shared_clients::report() {
    if (m_counters == nullptr)
        return;
    m_counters->set("http_connections", static_cast<double>(m_budget.connections()));
    m_counters->set("http_bytes_in_hand", static_cast<double>(m_budget.buffered_bytes()));
}

void shared_clients::note_refusal(int status, const std::string& reason, const std::string& client) {
    int suppressed = 0;
    {
        const std::lock_guard lock{m_mutex};
        if (m_counters != nullptr)
            m_counters->count("http_refused_total", {{"reason", reason}});
        auto& log = m_refusals[reason];
        const auto at = now();
        if (at < log.next) {
            ++log.suppressed;
            return;
        }
        log.next = at + refusal_log_period;
        suppressed = std::exchange(log.suppressed, 0);
    }
    log_event(log_level::warning, "client_refused",
              {{"status", std::to_string(status)},
               {"reason", reason},
               {"client", client},
               {"suppressed", std::to_string(suppressed)}});
}

// ---- Listener ----

void listener::open(const std::string& address) {
    const auto colon = address.rfind(':');
    const tcp::endpoint endpoint{asio::ip::make_address(address.substr(0, colon)),
                                 static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address{true});
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] { self->accept(); });
}

void listener::accept() {
    m_acceptor.async_accept(asio::make_strand(m_pool),
                            [self = shared_from_this()](const error_code& error, tcp::socket socket) {
                                if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
                                    return;
                                if (!error) {
                                    self->add(std::move(socket));
                                    return self->accept();
                                }
                                // Mostly a lack of descriptors.
                                log_event(log_level::warning, "accept_failed", {{"reason", error.message()}});
                                self->m_timer.expires_after(accept_retry);
                                self->m_timer.async_wait([self](const error_code& cancelled) {
                                    if (!cancelled)
                                        self->accept();
                                });
                            });
}

void listener::add(tcp::socket socket) {
    auto opened = std::make_shared<session>(shared_from_this(), std::move(socket));
    if (!shared_clients::instance().open(opened->id(), opened)) {
        shared_clients::instance().note_refusal(0, "too many connections", {});
        return;
    }
    {
        const std::lock_guard lock{m_mutex};
        if (m_closed)
            return;
        m_sessions[opened->id()] = opened;
        if (!std::exchange(m_sweeping, true))
            asio::post(m_acceptor.get_executor(), [self = shared_from_this()] { self->sweep(); });
    }
    opened->start();
}

std::vector<std::shared_ptr<session>> listener::sessions() {
    std::vector<std::shared_ptr<session>> alive;
    const std::lock_guard lock{m_mutex};
    for (const auto& [id, each] : m_sessions) {
        if (auto found = each.lock())
            alive.push_back(std::move(found));
    }
    return alive;
}

void listener::sweep() {
    const auto at = std::chrono::steady_clock::now();
    for (const auto& each : sessions()) {
        if (each->is_overdue(at))
            each->expire();
    }
    {
        const std::lock_guard lock{m_mutex};
        m_sweeping = !m_sessions.empty() && !m_closed;
        if (!m_sweeping)
            return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_acceptor.get_executor(), sweep_period);
    timer->async_wait([self = shared_from_this(), timer](const error_code&) { self->sweep(); });
}

void listener::remove(connection_id id) {
    const std::lock_guard lock{m_mutex};
    m_sessions.erase(id);
}

void listener::handle(http_request request, http_responder respond) {
    {
        const std::lock_guard lock{m_mutex};
        if (m_closed)
            return;
        ++m_calls;
    }
    try {
        m_handler(std::move(request), respond);
    } catch (const std::exception& error) {
        log_event(log_level::error, "handler_failed", {{"reason", error.what()}});
        respond(problem(500, "internal error", "the request could not be handled"));
    }
    const std::lock_guard lock{m_mutex};
    --m_calls;
    m_idle.notify_all();
}

void listener::close() {
    {
        const std::lock_guard lock{m_mutex};
        m_closed = true;
    }
    std::promise<void> closed;
    asio::post(m_acceptor.get_executor(), [&] {
        error_code ignored;
        m_acceptor.close(ignored);
        m_timer.cancel();
        closed.set_value();
    });
    closed.get_future().wait();
    for (const auto& each : sessions())
        each->close();
    std::unique_lock lock{m_mutex};
    m_idle.wait(lock, [&] { return m_calls == 0; });
}

// ---- Session ----

void session::start_request() {
    m_parser.emplace(m_limits.header_bytes, m_owner->max_body_bytes());
    m_leading_bytes = 0;
    m_continued = false;
    set_phase(phase::idle, m_limits.idle_time);
    if (m_buffer.size() > 0)
        return consume();
    m_buffer.shrink_to_fit(); // an idle connection keeps no memory for what it read before
    read();
}

void session::read() {
    if (std::exchange(m_reading, true))
        return;
    const auto size = std::min(read_size, m_buffer.max_size() - m_buffer.size());
    m_socket.async_read_some(m_buffer.prepare(size),
                             [self = shared_from_this()](const error_code& error, std::size_t bytes) {
                                 self->received(error, bytes);
                             });
}

void session::received(const error_code& error, std::size_t bytes) {
    m_reading = false;
    if (m_phase == phase::closed)
        return;
    if (error)
        return close_now();
    m_buffer.commit(bytes);
    if (m_phase == phase::lingering)
        return linger();
    if (m_phase == phase::writing) // it was refused while the read was in progress
        return m_buffer.consume(m_buffer.size());
    consume();
}

void session::skip_empty_lines() {
    const auto* bytes = static_cast<const char*>(m_buffer.data().data());
    std::size_t empty = 0;
    while (empty < m_buffer.size() && (bytes[empty] == '\r' || bytes[empty] == '\n'))
        ++empty;
    m_buffer.consume(empty);
    m_leading_bytes += empty;
}

void session::consume() {
    if (m_phase == phase::idle)
        skip_empty_lines();
    if (m_leading_bytes > max_leading_bytes)
        return refuse(400, "malformed", "empty lines before the request");
    if (m_phase == phase::idle && m_buffer.size() > 0)
        set_phase(phase::header, m_limits.header_time);
    while (m_buffer.size() > 0) {
        error_code error;
        const auto used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (error && error != http::error::need_more)
            return refuse(error);
        if (!note_progress())
            return;
        if (m_parser->is_done())
            return handle();
        if (continue_if_expected())
            return;
        if (used == 0)
            break;
    }
    // What the parser needs at once, such as a header or all trailers, has to fit into the buffer.
    if (m_buffer.size() >= m_buffer.max_size())
        return refuse(431, "header too large", "header, trailers or chunk extensions exceed the limit");
    read();
}

/// Returns false if the request was refused.
bool session::note_progress() {
    const auto at = std::chrono::steady_clock::now();
    if (m_phase == phase::header && m_parser->is_header_done()) {
        m_body_deadline = at + m_limits.transfer_time;
        set_phase(phase::body, m_limits.stall_time);
    } else if (m_phase == phase::body) {
        m_deadline = std::min(at + m_limits.stall_time, m_body_deadline);
    }
    const auto bytes = static_cast<std::int64_t>(m_buffer.capacity() + m_parser->bytes());
    if (shared_clients::instance().grow(m_id, bytes))
        return true;
    refuse(503, "overload", "too many large requests at once; it was not run");
    return false;
}

/// Tells a client that waits for it to send the body; goes on once that is written. Returns false if the
/// client doesn't wait.
bool session::continue_if_expected() {
    if (m_phase != phase::body || std::exchange(m_continued, true) ||
        to_lower(m_parser->request().header("expect")) != "100-continue")
        return false;
    static const std::string proceed = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_socket, asio::buffer(proceed),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                          if (self->m_phase != phase::body)
                              return;
                          if (error)
                              return self->close_now();
                          self->consume();
                      });
    return true;
}

void session::handle() {
    auto& request = m_parser->request();
    m_keep_alive = m_parser->keep_alive();
    m_is_head = request.method == "HEAD";
    if (!set_uri(request, m_parser->uri()))
        return refuse(400, "malformed", "the request target is not a valid URI");
    m_phase = phase::handling;
    m_deadline = steady_time::max();
    shared_clients::instance().start_handling(m_id);
    ++m_owner->in_hand();
    m_owner->handle(std::move(request), [self = shared_from_this()](http_response response) {
        asio::post(self->m_socket.get_executor(),
                   [self, response = std::move(response)]() mutable { self->respond(std::move(response)); });
    });
}

void session::respond(http_response response) {
    if (m_phase != phase::handling) // the server was stopped
        return;
    const auto connection = response.headers.find("Connection");
    const bool keep_alive =
        m_keep_alive && (connection == response.headers.end() || to_lower(connection->second) != "close");
    write(std::move(response), keep_alive, false);
}

void session::write(http_response response, bool keep_alive, bool linger) {
    const bool counted = m_phase == phase::handling;
    set_phase(phase::writing, m_limits.transfer_time);
    m_response = std::move(response);
    m_header_text = header_of(m_response, keep_alive);
    const auto body_size = m_is_head ? 0 : m_response.body.size();
    const std::array<asio::const_buffer, 2> parts{asio::buffer(m_header_text),
                                                  asio::buffer(m_response.body.data(), body_size)};
    const auto done = [self = shared_from_this(), counted, keep_alive, linger](const error_code& error,
                                                                               std::size_t) {
        if (counted)
            --self->m_owner->in_hand();
        if (self->m_phase == phase::closed)
            return;
        // After an error, the client can look up the outcome by its request id.
        if (error)
            return self->close_now();
        self->written(keep_alive, linger);
    };
    asio::async_write(m_socket, parts, done);
}

void session::written(bool keep_alive, bool linger_on) {
    m_response = {};
    shared_clients::instance().finish(m_id);
    if (keep_alive)
        return start_request();
    if (!linger_on)
        return close_now();
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    set_phase(phase::lingering, linger_time);
    linger();
}

void session::linger() {
    m_buffer.consume(m_buffer.size());
    read();
}

void session::refuse(const error_code& error) {
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return refuse(431, "header too large",
                      "the limit is " + std::to_string(m_limits.header_bytes) + " bytes");
    if (error == http::error::body_limit)
        return refuse(413, "body too large",
                      "the limit is " + std::to_string(m_owner->max_body_bytes()) + " bytes");
    refuse(400, "malformed", error.message());
}

void session::refuse(int status, const std::string& reason, const std::string& detail) {
    shared_clients::instance().note_refusal(status, reason, m_client);
    m_parser.emplace(m_limits.header_bytes, m_owner->max_body_bytes()); // frees what was read
    m_buffer.consume(m_buffer.size());
    if (!m_reading) // a read in progress still writes into the buffer
        m_buffer.shrink_to_fit();
    shared_clients::instance().finish(m_id);
    m_is_head = false;
    auto response = problem(status, reason, detail);
    if (status == 503)
        response.headers["Retry-After"] = retry_after_refusal_s;
    write(std::move(response), false, true);
}

void session::end_wait() {
    const bool progressed = !is_overdue(std::chrono::steady_clock::now()); // since the sweep looked
    if (progressed || m_phase == phase::closed || m_phase == phase::handling)
        return;
    if (m_phase != phase::header && m_phase != phase::body)
        return close_now();
    refuse(408, "timeout", "the request was not complete in time; it was not run");
}

void session::close_now() {
    if (m_phase == phase::closed)
        return;
    if (m_phase == phase::handling)
        --m_owner->in_hand();
    m_phase = phase::closed;
    error_code ignored;
    m_socket.close(ignored);
    shared_clients::instance().close(m_id);
    m_owner->remove(m_id);
}

} // namespace

class http_server::impl {
public:
    impl(std::int64_t max_body_bytes, http_handler handler)
        : m_listener{std::make_shared<listener>(max_body_bytes, std::move(handler))} {}

    void open(const std::string& address) { m_listener->open(address); }
    void close() { m_listener->close(); }
    [[nodiscard]] int in_hand() { return m_listener->in_hand(); }

private:
    std::shared_ptr<listener> m_listener;
};

http_server::http_server() = default;
http_server::~http_server() {
    stop();
}

std::optional<std::string> http_server::start(const std::string& address, std::int64_t max_body_bytes,
                                              http_handler handler) {
    try {
        m_impl = std::make_unique<impl>(max_body_bytes, std::move(handler));
        m_impl->open(address);
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
    m_impl->close();
    m_impl.reset();
}

void set_http_limits(const http_limits& limits, metrics* counters) {
    shared_clients::instance().set(limits, counters);
}

void clear_http_counters() {
    shared_clients::instance().clear_counters();
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

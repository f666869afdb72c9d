#include "cell/leave_cell.h"
#include "http/client.h"
#include "platform/job_api.h"

#include "standin/memory_platform.h"
#include "standin/unreachable_targets.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <thread>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

constexpr auto host = "orders.example";

/// A table that may be silent: calls then wait until it is up again.
class silent_table final : public table {
public:
    explicit silent_table(standin::memory_table& rows) : m_rows{rows} {}
    silent_table(const silent_table&) = delete;
    silent_table& operator=(const silent_table&) = delete;
    ~silent_table() override { set_silent(false); }

    write_result transact(const std::vector<table_write>& writes) override {
        await_up();
        return m_rows.transact(writes);
    }
    std::optional<std::vector<table_row>> read(const std::string& key) override {
        await_up();
        return m_rows.read(key);
    }
    std::optional<std::vector<table_row>> list(const std::string& prefix, const std::string& after,
                                               int limit) override {
        await_up();
        return m_rows.list(prefix, after, limit);
    }
    void set_silent(bool silent) {
        const std::lock_guard lock{m_mutex};
        m_silent = silent;
        m_changed.notify_all();
    }

private:
    void await_up() {
        std::unique_lock lock{m_mutex};
        m_changed.wait(lock, [&] { return !m_silent; });
    }

    standin::memory_table& m_rows;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_silent = false;
};

class one_configuration final : public declaration_source {
public:
    std::optional<declarations> next(milliseconds longest) override {
        if (std::exchange(m_asked, true))
            std::this_thread::sleep_for(std::min(longest, 50ms));
        return declarations{m_config, {}};
    }

private:
    static std::shared_ptr<const cell_config> make_config() {
        auto made = std::make_shared<cell_config>();
        made->version = 1;
        auto& queue = made->queues["orders"];
        queue.name = "orders";
        queue.host = host;
        queue.path_prefix = "/orders/";
        queue.service = "orders";
        queue.open_to_all = true;
        return made;
    }

    std::shared_ptr<const cell_config> m_config = make_config();
    bool m_asked = false;
};

class one_target final : public target_source {
public:
    std::optional<std::vector<target_entry>> next(milliseconds /*longest*/) override {
        std::this_thread::sleep_for(50ms);
        target_entry target;
        target.id = "t1";
        target.service = "orders";
        target.address = "127.0.0.1:1";
        target.capacity = {4000, 8000, 0};
        return std::vector{target};
    }
};

class no_advice final : public advice_port {
public:
    void ask(const std::string& /*step*/, const std::vector<std::string>& /*targets*/,
             milliseconds /*timeout*/, std::function<void(std::optional<advice_reply>)> done) override {
        done(std::nullopt);
    }
};

/// Returns an address with a port that is free now.
std::string free_address() {
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof address;
    if (bind(probe, generic, size) != 0 || getsockname(probe, generic, &size) != 0)
        throw std::runtime_error("no free port");
    close(probe);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// A cell of one node, with its callers' side.
class lone_node {
public:
    lone_node() {
        cell_options options;
        options.node = "n1";
        options.peer_address = free_address();
        cell_ports ports;
        auto rows = std::make_unique<silent_table>(m_rows);
        table_port = rows.get();
        ports.rows = std::move(rows);
        ports.declared = std::make_unique<one_configuration>();
        ports.targets = std::make_unique<one_target>();
        ports.commands = std::make_unique<standin::unreachable_targets>();
        ports.advice = std::make_unique<no_advice>();
        node = std::make_unique<cell_node>(options, std::move(ports));
        api = std::make_unique<platform::job_api>(*node);
        address = free_address();
        REQUIRE(node->start());
        REQUIRE(server.start(address, 1 << 18,
                             [this](const http_request& request, const http_responder& respond) {
                                 {
                                     const std::lock_guard lock{m_mutex};
                                     m_seen.insert(request.path);
                                 }
                                 api->handle(request, respond);
                             }));
    }
    lone_node(const lone_node&) = delete;
    lone_node& operator=(const lone_node&) = delete;
    ~lone_node() {
        table_port->set_silent(false);
        server.stop();
        node->stop();
    }

    /// Paths of the requests that were read whole.
    std::set<std::string> seen() {
        const std::lock_guard lock{m_mutex};
        return m_seen;
    }

    std::unique_ptr<cell_node> node;
    std::unique_ptr<platform::job_api> api;
    http_server server;
    std::string address;
    silent_table* table_port = nullptr;

private:
    standin::memory_table m_rows;
    std::mutex m_mutex;
    std::set<std::string> m_seen;
};

/// A client's connection.
class connection {
public:
    explicit connection(const std::string& address) : m_socket{socket(AF_INET, SOCK_STREAM, 0)} {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        if (connect(m_socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
            throw std::runtime_error("can't connect");
    }
    ~connection() { close(m_socket); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void send(const std::string& text) const {
        (void)::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
    }

    /// Returns the status line and headers of the next response without waiting; empty if there is none.
    std::string receive() {
        std::array<char, 4096> bytes{};
        const auto size = recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
        return size > 0 ? std::string{bytes.data(), static_cast<std::size_t>(size)} : std::string{};
    }

private:
    int m_socket;
};

std::string id_of(int number) {
    const auto digits = std::to_string(number);
    return "/orders/" + std::string(16 - digits.size(), '0') + digits;
}

std::string submission(int number) {
    const std::string body = R"({"spec":"s","steps":[{"count":1,"cpu":500}]})";
    return "POST " + id_of(number) + " HTTP/1.1\r\nHost: " + host +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

// Guards against a process that ends with whole requests unanswered: those that wait for an owner that can't
// come, or for a table that is silent.
TEST_CASE("a node that leaves answers every request that it has read", "[drain]") {
    const bool silent = GENERATE(false, true);
    INFO((silent ? "the table is silent" : "the table answers"));
    constexpr milliseconds grace{2400};
    lone_node lone;
    http_client client;
    http_call first{"POST", "/orders/00000000ffffffff", {{"Host", host}}, "", "application/json", 3000ms};
    first.body = R"({"spec":"s","steps":[{"count":1,"cpu":500}]})";
    const auto up_by = now() + 30s;
    while (client.send("http://" + lone.address, first).status != 200 && now() < up_by)
        std::this_thread::sleep_for(50ms);
    if (silent)
        lone.table_port->set_silent(true);
    std::list<connection> open;
    const auto send_next = [&] {
        open.emplace_back(lone.address);
        open.back().send(submission(static_cast<int>(open.size())));
    };
    std::atomic<bool> refusing{false};
    std::thread clients{[&] {
        for (; !refusing; std::this_thread::sleep_for(20ms))
            send_next();
    }};
    lone.api->close_connections();
    leave_cell(*lone.node, lone.server, grace, [&] {
        refusing = true;
        clients.join();
        lone.api->refuse_requests();
        for (int i = 0; i < 5; ++i)
            send_next();
    });
    // The process would end here: what is written out by now is all that callers get.
    const auto seen = lone.seen();
    std::map<std::string, int> statuses;
    int unanswered = 0;
    int closing = 0;
    int number = 0;
    for (auto& each : open) {
        const auto answer = each.receive();
        unanswered += answer.empty() && seen.contains(id_of(++number)) ? 1 : 0;
        if (!answer.empty())
            ++statuses[answer.substr(std::string{"HTTP/1.1 "}.size(), 3)];
        closing += answer.find("Connection: close") != std::string::npos ? 1 : 0;
    }
    INFO("200: " << statuses["200"] << ", 503: " << statuses["503"] << ", 504: " << statuses["504"]);
    CHECK(seen.size() > 20);
    CHECK(unanswered == 0);
    CHECK(statuses["503"] > 0);
    CHECK(closing >= statuses["503"]);
    if (!silent)
        CHECK(statuses["200"] > 20); // served until the load balancer has noticed
}

TEST_CASE("a response is in hand until it is written out", "[drain][http]") {
    const auto address = free_address();
    std::mutex mutex;
    std::vector<http_responder> held;
    http_server server;
    REQUIRE(server.start(address, 1 << 18, [&](const http_request&, const http_responder& respond) {
        const std::lock_guard lock{mutex};
        held.push_back(respond);
    }));
    connection half_read{address};
    half_read.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab");
    connection whole{address};
    whole.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
    const auto until = [&](int count) {
        for (const auto by = now() + 20s; now() < by && server.in_hand() != count;)
            std::this_thread::sleep_for(1ms);
        return server.in_hand() == count;
    };
    REQUIRE(until(1)); // the half request isn't
    while (true) {
        const std::lock_guard lock{mutex};
        if (!held.empty())
            break;
    }
    constexpr std::size_t more_than_buffers = 64 << 20;
    http_response large;
    large.body.assign(more_than_buffers, 'x');
    held.front()(large);
    std::this_thread::sleep_for(100ms);
    CHECK(server.in_hand() == 1); // the client doesn't read
    for (const auto by = now() + 60s; now() < by && server.in_hand() > 0;)
        (void)whole.receive();
    CHECK(server.in_hand() == 0);
    server.stop();
}

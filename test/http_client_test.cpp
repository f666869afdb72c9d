#include "http/client.h"
#include "http/server.h"
#include "platform/workers.h"
#include "targets/http_targets.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <future>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

/// Answers 200 to the first request of each connection. The second one of the first connection that is kept
/// is read, then the connection is closed without an answer; the request after that gets the given answer.
class closing_server {
public:
    explicit closing_server(std::string last_answer)
        : m_last_answer{std::move(last_answer)}, m_listener{socket(AF_INET, SOCK_STREAM, 0)} {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        socklen_t size = sizeof address;
        constexpr int backlog = 16;
        if (bind(m_listener, generic, size) != 0 || listen(m_listener, backlog) != 0 ||
            getsockname(m_listener, generic, &size) != 0)
            throw std::runtime_error("no listener");
        m_port = ntohs(address.sin_port);
        m_thread = std::thread{[this] { serve(); }};
    }
    closing_server(const closing_server&) = delete;
    closing_server& operator=(const closing_server&) = delete;
    ~closing_server() {
        m_stopping = true;
        m_thread.join();
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// A request was read and its connection closed without an answer.
    [[nodiscard]] bool has_closed() const { return m_closed; }
    [[nodiscard]] int requests() const { return m_requests; }

private:
    struct connection {
        int socket = -1;
        std::string unread;
        int requests = 0;
    };

    void serve() {
        std::vector<connection> connections;
        while (!m_stopping) {
            std::vector<pollfd> waits{{m_listener, POLLIN, 0}};
            for (const auto& each : connections)
                waits.push_back({each.socket, POLLIN, 0});
            constexpr int wait_ms = 20;
            poll(waits.data(), waits.size(), wait_ms);
            for (std::size_t i = 0; i < connections.size(); ++i) {
                if (waits[i + 1].revents != 0 && !take(connections[i])) {
                    close(connections[i].socket);
                    connections[i].socket = -1;
                }
            }
            std::erase_if(connections, [](const connection& each) { return each.socket < 0; });
            if (waits[0].revents != 0)
                connections.push_back({accept(m_listener, nullptr, nullptr), {}, 0});
        }
        for (const auto& each : connections)
            close(each.socket);
        close(m_listener);
    }

    /// Returns false if the connection is to be closed.
    bool take(connection& from) {
        std::array<char, 4096> bytes{};
        const auto size = read(from.socket, bytes.data(), bytes.size());
        if (size <= 0)
            return false;
        from.unread.append(bytes.data(), static_cast<std::size_t>(size));
        if (!from.unread.ends_with("}")) // all bodies are JSON
            return true;
        from.unread.clear();
        ++m_requests;
        const bool close_now = ++from.requests == 2 && !m_closed;
        const bool is_last = m_closed;
        m_closed = m_closed || close_now;
        if (close_now)
            return false;
        const std::string answer = is_last ? m_last_answer : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        return write(from.socket, answer.data(), answer.size()) > 0;
    }

    std::string m_last_answer;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_closed{false};
    std::atomic<int> m_requests{0};
    std::thread m_thread;
};

std::string response(int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Calls `body` until the server has closed a kept connection instead of answering on it.
template <typename Body> void repeat_until_closed(const closing_server& server, Body body) {
    constexpr int most = 100;
    for (int i = 0; i < most && !server.has_closed(); ++i) {
        body();
        std::this_thread::sleep_for(10ms); // the library takes a connection back after its answer is read
    }
    REQUIRE(server.has_closed());
}

} // namespace

// Guards against a refusal that is taken for all sends of a request: the HTTP library repeats one by itself
// when a kept connection is closed, and the first send may have been carried out.
TEST_CASE("a refusal of a request that the library sent twice leaves its outcome unknown", "[http]") {
    struct row {
        const char* method;
        int status;
        http_delivery delivery;
    };
    const auto given =
        GENERATE(row{"POST", 409, http_delivery::unknown}, row{"POST", 503, http_delivery::unknown},
                 row{"POST", 412, http_delivery::unknown}, row{"PUT", 412, http_delivery::unknown},
                 row{"POST", 200, http_delivery::answered});
    INFO(given.method << " " << given.status);
    closing_server server{response(given.status, "{}")};
    http_client client;
    http_call call;
    call.method = given.method;
    call.path = "/x";
    call.body = "{}";
    http_result result;
    repeat_until_closed(server, [&] { result = client.send("http://" + server.address(), call); });
    CHECK(result.delivery == given.delivery);
    CHECK(result.status == given.status);
}

// Guards against a run that is started elsewhere though the first send of its start was carried out.
TEST_CASE("a start that the library sent twice counts as lost if the last send is refused", "[http][late]") {
    const auto status = GENERATE(409, 429, 503, 421, 400);
    INFO(status);
    closing_server server{response(status, R"({"reason":"old"})")};
    http_client client;
    const auto port = platform::make_target_port(client);
    start_stop_command command;
    command.target = "i-1";
    command.address = server.address();
    command.task = {"5c0e7a21d94b36f8", 0, 0, 0};
    command.run = 1;
    command_reply reply;
    repeat_until_closed(server, [&] {
        std::promise<command_reply> answered;
        port->send(command, 2000ms, [&](const command_reply& got) { answered.set_value(got); });
        reply = answered.get_future().get();
    });
    CHECK(reply.outcome == command_outcome::lost);
}

// Guards against "not run" for work that the first send started: these targets refuse with status 200.
TEST_CASE(
    "a start that the library sent twice counts as lost if a target of partitions refuses the last send",
    "[http][late]") {
    struct row {
        const char* outcome;
        start_outcome expected;
    };
    const auto given = GENERATE(row{"refused", start_outcome::lost}, row{"fenced", start_outcome::lost},
                                row{"never", start_outcome::lost}, row{"running", start_outcome::running},
                                row{"done", start_outcome::done});
    INFO(given.outcome);
    start_command command;
    command.task_id = "orchard/r1#0#1";
    command.body = "{}";
    command.timeout = 2000ms;
    closing_server server{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nMedlar-Boot: boot1\r\nMedlar-Task: " +
                          url_encode(command.task_id) + "\r\nMedlar-Outcome: " + given.outcome +
                          "\r\n\r\n{}"};
    http_client client;
    const auto targets = make_http_targets(client, 2000ms);
    vm_info target;
    target.address = server.address();
    start_answer answer;
    repeat_until_closed(server, [&] {
        std::promise<start_answer> answered;
        targets->start(target, {}, command, [&](start_answer got) { answered.set_value(std::move(got)); });
        answer = answered.get_future().get();
    });
    CHECK(answer.outcome == given.expected);
}

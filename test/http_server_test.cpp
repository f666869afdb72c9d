#include "http/server.h"

#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

int any_free_port() {
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
    close(probe);
    return ntohs(address.sin_port);
}

/// A client's connection; `receive` waits for the next bytes and returns nothing once it is closed.
class raw_connection {
public:
    explicit raw_connection(int port) : m_socket{socket(AF_INET, SOCK_STREAM, 0)} {
        const timeval longest{20, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof longest);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        REQUIRE(connect(m_socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
    }
    ~raw_connection() { close(m_socket); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    void send(std::string_view text) const { (void)::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL); }
    [[nodiscard]] std::string receive() const {
        std::array<char, 4096> bytes{};
        const auto size = recv(m_socket, bytes.data(), bytes.size(), 0);
        return size > 0 ? std::string{bytes.data(), static_cast<std::size_t>(size)} : std::string{};
    }

private:
    int m_socket;
};

/// A server that echoes bodies; under /throw its handler fails.
struct echo_server {
    echo_server() {
        REQUIRE(server.start("127.0.0.1:" + std::to_string(port), 1000,
                             [](const http_request& request, const http_responder& respond) {
                                 if (request.path == "/throw")
                                     throw std::runtime_error{"a fault"};
                                 http_response response;
                                 response.body = request.method + " " + request.path + " " + request.body;
                                 respond(response);
                             }));
    }
    ~echo_server() { server.stop(); }
    echo_server(const echo_server&) = delete;
    echo_server& operator=(const echo_server&) = delete;

    int port = any_free_port();
    http_server server;
};

} // namespace

// Guards against requests that end the process, or that are answered otherwise than the protocol says.
TEST_CASE("a server answers each request plainly, and goes on", "[http][clients]") {
    struct row {
        const char* name;
        std::string request;
        const char* status;
        const char* part;
    };
    const auto given = GENERATE(
        row{"a body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", "200", "POST /a hi"},
        row{"a chunked body with a trailer",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
            "chunked\r\n\r\n1;x=y\r\nh\r\n1\r\ni\r\n0\r\nT: 1\r\n\r\n",
            "200", "POST /a hi"},
        row{"an empty line before the request", "\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", "200", "GET /a"},
        row{"empty lines before the request", std::string(20, '\n') + "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
            "400", ""},
        row{"an invalid escape", "GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n", "400", ""},
        row{"no HTTP", "hello\r\n\r\n", "400", ""},
        row{"a body above the limit", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", "413",
            "1000"},
        row{"a header above the limit", "GET /a HTTP/1.1\r\nX: " + std::string(70'000, 'x') + "\r\n\r\n",
            "431", ""},
        row{"a handler that fails", "GET /throw HTTP/1.1\r\nHost: h\r\n\r\n", "500", ""});
    INFO(given.name);
    echo_server echo;
    const raw_connection client{echo.port};
    client.send(given.request);
    auto answer = client.receive();
    for (auto more = std::string{"x"}; answer.find(given.part) == std::string::npos && !more.empty();
         answer += more)
        more = client.receive();
    CHECK(answer.starts_with("HTTP/1.1 " + std::string{given.status}));
    CHECK(answer.find(given.part) != std::string::npos);
    const raw_connection next{echo.port};
    next.send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(next.receive().find("200") != std::string::npos);
}

TEST_CASE("a client that waits to be told to send its body is told so", "[http][clients]") {
    echo_server echo;
    const raw_connection client{echo.port};
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    CHECK(client.receive().starts_with("HTTP/1.1 100"));
    client.send("hi");
    CHECK(client.receive().find("POST /a hi") != std::string::npos);
}

// Guards against bytes that arrive for a request that was given up, into memory that was freed.
TEST_CASE("what arrives after a request ran into its time is dropped", "[http][clients]") {
    http_limits limits;
    limits.header_time = 50ms;
    set_http_limits(limits, nullptr);
    {
        echo_server echo;
        const raw_connection client{echo.port};
        client.send("GET /a HTTP/1.1\r\nHost: h\r\n");
        CHECK(client.receive().starts_with("HTTP/1.1 408"));
        for (int i = 0; i < 100; ++i)
            client.send(std::string(1000, 'x'));
        const raw_connection next{echo.port};
        next.send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(next.receive().find("200") != std::string::npos);
    }
    set_http_limits(http_limits{}, nullptr);
}

#include "cluster.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

// Guards against clients that make a process run out of memory or descriptors. Each case starts the product's
// own process and checks that it lives, that its memory and descriptors stay under a bound, and that an
// ordinary request is answered afterwards.

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;
constexpr std::size_t max_body = 256 * kib;

/// A client's connection, which stays open. Sending ends when the server has closed it or reads no more.
class raw_client {
public:
    explicit raw_client(int port) : m_socket{socket(AF_INET, SOCK_STREAM, 0)} {
        const timeval patience{2, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        m_open = connect(m_socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
    }
    ~raw_client() { close(m_socket); }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void send(std::string_view text) {
        while (m_open && !text.empty()) {
            const auto sent = ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
            m_open = sent > 0;
            if (m_open)
                text.remove_prefix(static_cast<std::size_t>(sent));
        }
    }
    [[nodiscard]] bool is_open() const { return m_open; }

private:
    int m_socket;
    bool m_open = false;
};

struct crowd {
    const char* name;
    std::string opening;
    std::string filler;
    std::size_t bytes; ///< of filler, from each client
    int clients;
    bool piecewise = false; ///< clients take turns, a piece each
};

std::vector<crowd> crowds(const std::string& path) {
    const auto post = "POST " + path + " HTTP/1.1\r\nHost: h\r\n";
    const auto chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    const auto body = post + "Content-Length: " + std::to_string(max_body) + "\r\n\r\n";
    const std::string line = "X-Filler: " + std::string(1000, 'x') + "\r\n";
    return {
        {"a header without end", post, line, 4 * mib, 24},
        {"a header line without end", post + "X: ", std::string(kib, 'x'), 4 * mib, 24},
        {"a request line without end", "GET /", std::string(kib, 'x'), 4 * mib, 24},
        {"empty lines without end", "", "\r\n\r\n\r\n\r\n", 4 * mib, 24},
        {"trailers without end", chunked + "1\r\nx\r\n0\r\n", line, 4 * mib, 24},
        {"a chunk extension without end", chunked + "1;", std::string(kib, 'x'), 4 * mib, 24},
        {"a chunk size without end", chunked, std::string(kib, '0'), 4 * mib, 24},
        {"bodies that stop just short of their end", body, std::string(kib, ' '), max_body - 2, 320},
        {"bodies in pieces that stop just short of their end", body, std::string(kib, ' '), max_body - 2, 320,
         true},
        {"whole bodies at once", body, std::string(kib, ' '), max_body, 320, true},
        {"silent connections", "", "", 0, 320},
    };
}

std::vector<std::unique_ptr<raw_client>> let_in(const crowd& given, int port) {
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < given.clients; ++i) {
        clients.push_back(std::make_unique<raw_client>(port));
        clients.back()->send(given.opening);
    }
    const auto piece_of = [&](std::size_t sent) {
        return std::string_view{given.filler}.substr(0, std::min(given.filler.size(), given.bytes - sent));
    };
    if (given.piecewise) {
        for (std::size_t sent = 0; sent < given.bytes; sent += given.filler.size()) {
            for (const auto& client : clients)
                client->send(piece_of(sent));
        }
        return clients;
    }
    for (const auto& client : clients) {
        for (std::size_t sent = 0; sent < given.bytes && client->is_open(); sent += given.filler.size())
            client->send(piece_of(sent));
    }
    return clients;
}

/// Returns the most memory that the process had resident so far.
std::size_t peak_bytes(pid_t process) {
    std::ifstream in{"/proc/" + std::to_string(process) + "/status"};
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * kib;
    }
    return 0;
}

std::ptrdiff_t descriptors(pid_t process) {
    const std::filesystem::directory_iterator open{"/proc/" + std::to_string(process) + "/fd"};
    return std::distance(begin(open), end(open));
}

/// Waits until the process has stopped growing, so that it has read what clients sent.
void settle(pid_t process) {
    for (std::size_t before = 0; before != peak_bytes(process);) {
        before = peak_bytes(process);
        std::this_thread::sleep_for(700ms);
    }
}

bool lives(pid_t process) {
    return waitpid(process, nullptr, WNOHANG) == 0;
}

/// A process of `medlarhub platform` on loopback; its store can't be reached.
struct platform_process {
    platform_process() {
        const auto peer = first_of_two_ports();
        const auto on = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        const nlohmann::json boot{
            {"node", "n1"},
            {"zone", "vernon"},
            {"ip", "127.0.0.1"},
            {"listen", {{"front", on(front)}, {"ready", on(ready)}}},
            {"port_range", {peer, peer + 1}},
            {"seeds", nlohmann::json::array()},
            {"platform", {{"addr", on(free_port())}}},
            {"advice", on(free_port())},
            {"limits", {{"cpu_share", 1.0}, {"cores", 1}, {"memory_mb", 64}, {"max_fds", 400}}}};
        metrics = peer + 1;
        const auto name =
            (std::filesystem::temp_directory_path() / ("medlarhub-boot-" + std::to_string(front))).string();
        std::ofstream{name + ".json"} << boot.dump();
        setenv("MEDLARHUB_BOOT", (name + ".json").c_str(), 1);
        const auto self = std::filesystem::read_symlink("/proc/self/exe").parent_path();
        process = child_process{{(self.parent_path() / "medlarhub").string(), "platform"}, name + ".log"};
        REQUIRE(cluster::wait_until([&] { return answers(front) && answers(ready) && answers(metrics); }));
    }

    static int first_of_two_ports() {
        for (;;) {
            const auto port = free_port();
            const int probe = socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            address.sin_port = htons(static_cast<std::uint16_t>(port + 1));
            const bool is_free = bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
            close(probe);
            if (is_free)
                return port;
        }
    }

    bool answers(int port) {
        http_call call{"GET", "/orders/", {}, "", "application/json", 15000ms};
        const auto result = client.send("http://127.0.0.1:" + std::to_string(port), call);
        return result.delivery == http_delivery::answered;
    }

    int front = free_port();
    int ready = free_port();
    int metrics = 0;
    child_process process;
    http_client client;
};

} // namespace

TEST_CASE("clients outside the limits end no node of the platform", "[clients]") {
    constexpr std::size_t most_growth = 24 * mib;
    constexpr std::ptrdiff_t most_descriptors = 200;
    for (const auto& given : crowds("/orders/00000000ffffffff")) {
        for (const auto* listener : {"callers", "readiness", "metrics"}) {
            DYNAMIC_SECTION(listener << ": " << given.name) {
                platform_process node;
                const std::string on{listener};
                const auto port = on == "callers"     ? node.front
                                  : on == "readiness" ? node.ready
                                                      : node.metrics;
                const auto before = peak_bytes(node.process.pid());
                const auto clients = let_in(given, port);
                settle(node.process.pid());
                REQUIRE(lives(node.process.pid()));
                CHECK(descriptors(node.process.pid()) <= most_descriptors);
                CHECK(node.answers(port));
                const auto grown = (peak_bytes(node.process.pid()) - before) / kib;
                CAPTURE(grown);
                CHECK(grown <= most_growth / kib);
                REQUIRE(lives(node.process.pid()));
            }
        }
    }
}

TEST_CASE("clients outside the limits end no node of a cluster", "[clients]") {
    constexpr std::size_t most_growth = 48 * mib;
    for (const auto& given : crowds("/v1/services/counter-check/requests")) {
        const bool is_short = std::string_view{given.name} == "silent connections";
        if (is_short) // its limit on connections is above this crowd
            continue;
        DYNAMIC_SECTION(given.name) {
            cluster_options options;
            options.nodes = 1;
            options.targets = 2;
            options.partitions = 1;
            options.data_centres = {"vernon"};
            options.node_settings["limits.max_body_bytes"] = std::to_string(max_body);
            cluster testbed{std::move(options)};
            REQUIRE(testbed.start());
            for (const auto& document : sample_documents())
                REQUIRE(testbed.apply(document) > 0);
            const auto key = testbed.grant("orchard");
            const auto is_served = [&] {
                return testbed.call(0, "POST", "/v1/services/counter-check/requests", key, "in stock?")
                           .outcome == "done";
            };
            REQUIRE(cluster::wait_until(is_served));
            const auto process = testbed.node(0).pid();
            const auto address = testbed.node_address(0);
            const auto before = peak_bytes(process);
            const auto clients = let_in(given, std::stoi(address.substr(address.rfind(':') + 1)));
            settle(process);
            REQUIRE(lives(process));
            CHECK(cluster::wait_until(is_served));
            const auto grown = (peak_bytes(process) - before) / kib;
            CAPTURE(grown);
            CHECK(grown <= most_growth / kib);
            REQUIRE(lives(process));
        }
    }
}

#pragma once

#include "http/client.h"

#include "medlarhub/time.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace medlarhub::testing {

/// A child process, which the destructor kills.
class child_process {
public:
    child_process() = default;
    child_process(std::vector<std::string> command, const std::string& log_file);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;
    /// Waits for the process to end. Returns its exit code, or 128 plus the terminating signal's number.
    int wait();
    [[nodiscard]] pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = 0;
};

struct cluster_options {
    int nodes = 3;
    int targets = 6;
    int partitions = 2;
    std::vector<std::string> data_centres{"vernon", "kelowna"};
    std::string directory;                            ///< for settings and logs; created if missing
    std::map<std::string, std::string> node_settings; ///< `section.key` to value, for all nodes
    bool one_target_process = false;
    int target_slots = 8;
};

struct reply {
    int status = 0;
    std::string outcome;
    std::string body;
    std::string retry_after;
    bool answered = false;

    [[nodiscard]] nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// A cluster of separate processes on loopback: the platform's stand-in, targets and nodes. The kernel
/// assigns the ports.
class cluster {
public:
    explicit cluster(cluster_options options);

    /// Starts all processes and waits until all partitions are owned and their targets claimed.
    bool start();
    void start_node(int index);
    void stop_node(int index, int signal_number);
    [[nodiscard]] child_process& node(int index) { return m_nodes[static_cast<std::size_t>(index)]; }
    [[nodiscard]] child_process& target(int index) { return m_targets[static_cast<std::size_t>(index)]; }
    [[nodiscard]] pid_t platform_pid() const { return m_platform.pid(); }
    [[nodiscard]] std::string node_address(int index) const;
    [[nodiscard]] std::string target_address(int index) const;
    [[nodiscard]] std::string platform_address() const { return m_platform_address; }
    [[nodiscard]] std::string target_name(int index) const { return "t" + std::to_string(index); }
    [[nodiscard]] std::string data_centre_of_target(int index) const;
    [[nodiscard]] int nodes() const { return m_options.nodes; }
    [[nodiscard]] int targets() const { return m_options.targets; }

    void set_platform_mode(const std::string& mode, int delay_ms = 0);
    void set_target_mode(int index, const std::string& mode, int delay_ms = 0);
    void publish_fleet(const std::vector<int>& leaving = {});

    /// Applies a document through any node that answers. Returns its revision, or 0 when it was refused.
    std::int64_t apply(const std::string& text);
    std::string grant(const std::string& team, std::string* digest = nullptr);

    reply call(int node, const std::string& method, const std::string& path, const std::string& key,
               const std::string& body = {}, const std::map<std::string, std::string>& headers = {},
               milliseconds timeout = milliseconds{15000});
    void call_async(int node, const std::string& method, const std::string& path, const std::string& key,
                    const std::string& body, const std::map<std::string, std::string>& headers,
                    std::function<void(reply)> done);
    reply call_as_operator(int node, const std::string& method, const std::string& path,
                           const std::string& body = {});
    nlohmann::json status(int node);
    /// Returns how often each task was started, over all targets.
    std::map<std::string, int> executions();
    std::map<std::string, int> executions_at(int target);
    std::vector<std::string> running_tasks();
    /// Returns the status of every target as its partition's owner reports it.
    std::vector<nlohmann::json> all_targets();

    /// Polls `condition` until it is true. Returns false if it is still false after `limit`.
    static bool wait_until(const std::function<bool()>& condition, milliseconds limit = milliseconds{30000});

    [[nodiscard]] const std::string& operator_key() const { return m_operator_key; }

private:
    [[nodiscard]] std::string rack_of_target(int index) const;
    [[nodiscard]] std::string cell_document() const;
    [[nodiscard]] std::string settings_of(int index) const;
    bool all_owned();

    cluster_options m_options;
    std::string m_operator_key;
    std::string m_platform_address;
    std::vector<std::pair<int, int>> m_node_ports;
    std::vector<int> m_target_ports;
    child_process m_platform;
    std::vector<child_process> m_nodes;
    std::vector<child_process> m_targets;
    http_client m_client;
};

/// Returns a free port, which the kernel picks; a different one on each call.
int free_port();

/// Returns team and service documents of two sample teams, for the demo and tests.
std::vector<std::string> sample_documents();

} // namespace medlarhub::testing

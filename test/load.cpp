#include "cluster.h"

#include "http/server.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>
#include <unistd.h>

/// Measures nodes that run as separate processes: their resource use when idle and under load, their
/// throughput, and the latency of a quick request on each path. Prints CSV.

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

struct usage {
    double cpu_seconds = 0;
    double resident_mb = 0;
    int threads = 0;
};

usage read_usage(pid_t pid) {
    usage used;
    std::ifstream stat{"/proc/" + std::to_string(pid) + "/stat"};
    std::string text{std::istreambuf_iterator<char>{stat}, {}};
    std::istringstream fields{text.substr(text.rfind(')') + 2)};
    std::vector<std::string> words;
    for (std::string word; fields >> word;)
        words.push_back(word);
    used.cpu_seconds =
        (std::stod(words[11]) + std::stod(words[12])) / static_cast<double>(sysconf(_SC_CLK_TCK));
    used.threads = std::stoi(words[17]);
    used.resident_mb = std::stod(words[21]) * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
    return used;
}

std::pair<double, double> table_counts(cluster& testbed, http_client& client) {
    const auto result = client.send("http://" + testbed.platform_address(),
                                    {.path = "/v1/counts", .headers = {}, .body = {}});
    const auto body = nlohmann::json::parse(result.body, nullptr, false);
    return {body.value("writes", 0.0), body.value("reads", 0.0)};
}

double percentile(std::vector<double> values, double fraction) {
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

/// Makes `count` sequential calls on one connection. Returns the durations in milliseconds of the successful
/// ones.
std::vector<double> time_calls(int count, const std::function<bool()>& call) {
    std::vector<double> took;
    for (int i = 0; i < count; ++i) {
        const auto began = std::chrono::steady_clock::now();
        if (call())
            took.push_back(
                std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count());
    }
    return took;
}

void print_times(const std::string& name, const std::vector<double>& took) {
    std::cout << name << "," << took.size() << "," << percentile(took, 0.5) << "," << percentile(took, 0.99)
              << "," << percentile(took, 0.999) << "\n";
}

/// Makes the query string of a start command for the first target, with the authority of the target's owner.
std::string make_direct_start_query(cluster& testbed, http_client& client) {
    for (const auto& target : testbed.all_targets()) {
        if (target.value("target", "") != testbed.target_name(0))
            continue;
        const auto partition = target.value("partition", 0);
        const auto summaries = testbed.status(0)["partitions"];
        std::uint64_t epoch = 0;
        for (const auto& summary : summaries)
            epoch = summary.value("partition", -1) == partition ? summary.value("epoch", std::uint64_t{0})
                                                                : epoch;
        const auto authority = "?partition=" + std::to_string(partition) + "&epoch=" + std::to_string(epoch) +
                               "&since=0&wait_ms=";
        const auto polled =
            client.send("http://" + testbed.target_address(0), {.method = "POST",
                                                                .path = "/v1/poll" + authority + "0",
                                                                .headers = {},
                                                                .body = R"({"renew":true})"});
        const auto boot = nlohmann::json::parse(polled.body, nullptr, false).value("boot", "");
        return authority + "1000&boot=" + boot +
               "&cpu_milli=500&memory_mb=256&accelerators=0&run_ms=1&lease_ms=2000&direct=true";
    }
    return {};
}

struct load_result {
    std::size_t done = 0;
    std::size_t other = 0;
    std::vector<double> took;
};

load_result run_load(cluster& testbed, const std::string& key, const std::string& service, bool durable,
                     int clients, milliseconds span) {
    std::vector<load_result> parts(static_cast<std::size_t>(clients));
    std::vector<std::thread> threads;
    threads.reserve(parts.size());
    const auto end = now() + span;
    for (int c = 0; c < clients; ++c) {
        threads.emplace_back([&, c] {
            auto& mine = parts[static_cast<std::size_t>(c)];
            for (int i = 0; now() < end; ++i) {
                std::map<std::string, std::string> headers;
                if (durable)
                    headers["Idempotency-Key"] = "l" + std::to_string(c) + "-" + std::to_string(i);
                const auto began = std::chrono::steady_clock::now();
                const auto answer =
                    testbed.call((c + i) % testbed.nodes(), "POST", "/v1/services/" + service + "/requests",
                                 key, R"({"run_ms":1})", headers);
                const auto took = std::chrono::steady_clock::now() - began;
                mine.took.push_back(std::chrono::duration<double, std::milli>(took).count());
                ++(answer.outcome == "done" ? mine.done : mine.other);
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    load_result sum;
    for (const auto& part : parts) {
        sum.done += part.done;
        sum.other += part.other;
        sum.took.insert(sum.took.end(), part.took.begin(), part.took.end());
    }
    return sum;
}

/// Prints the latency of sequential calls to a target directly, to a node only, and through each node.
void print_call_paths(cluster& testbed, http_client& client, const std::string& key) {
    std::cout << "\nway,calls,p50_ms,p99_ms,p999_ms\n";
    constexpr int calls = 1000;
    const std::string body = R"({"run_ms":1})";
    const auto check = [&](int node) {
        return testbed.call(node, "POST", "/v1/services/counter-check/requests", key, body).outcome == "done";
    };
    int number = 0;
    const auto direct = make_direct_start_query(testbed, client);
    print_times("target, called directly", time_calls(calls, [&] {
                    return client
                        .send("http://" + testbed.target_address(0),
                              {.method = "POST",
                               .path = "/v1/tasks/direct-" + std::to_string(++number) + direct,
                               .headers = {},
                               .body = body})
                        .ok();
                }));
    print_times("node, health only",
                time_calls(calls, [&] { return testbed.call(0, "GET", "/healthz", {}).status == 200; }));
    for (int node = 0; node < std::min(testbed.nodes(), 3); ++node)
        print_times("counter check through node " + std::to_string(node),
                    time_calls(calls, [&] { return check(node); }));
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    set_http_threads(8);
    CLI::App app{"Measures nodes that run as separate processes; prints CSV"};
    int nodes = 3;
    int targets = 6;
    int seconds = 10;
    int clients = 8;
    app.add_option("--nodes", nodes)->check(CLI::Range(1, 8));
    app.add_option("--targets", targets)->check(CLI::Range(1, 1000));
    app.add_option("--seconds", seconds)->check(CLI::Range(1, 60));
    app.add_option("--clients", clients)->check(CLI::Range(1, 64));
    CLI11_PARSE(app, argc, argv);

    cluster testbed{{.nodes = nodes,
                     .targets = targets,
                     .partitions = std::max(2, std::min(8, targets / 6)),
                     .directory = "run/load",
                     .node_settings = {},
                     .one_target_process = targets > 20}};
    if (!testbed.start()) {
        std::cerr << "the cluster did not start, see the logs in run/load\n";
        return 1;
    }
    for (const auto& document : sample_documents())
        (void)testbed.apply(document);
    (void)testbed.apply("[team]\nname = orchard\nshare = 3\n");
    const auto key = testbed.grant("orchard");
    http_client client;
    std::this_thread::sleep_for(5s); // until the ownership of the partitions is stable

    const auto measure = [&](const std::string& name, const std::function<std::size_t()>& body) {
        std::vector<usage> before;
        before.reserve(static_cast<std::size_t>(nodes));
        for (int i = 0; i < nodes; ++i)
            before.push_back(read_usage(testbed.node(i).pid()));
        const auto [writes, reads] = table_counts(testbed, client);
        const auto began = now();
        const auto work = body();
        const auto span = std::chrono::duration<double>(now() - began).count();
        const auto [writes_after, reads_after] = table_counts(testbed, client);
        double cpu = 0;
        double resident = 0;
        int threads = 0;
        for (int i = 0; i < nodes; ++i) {
            const auto after = read_usage(testbed.node(i).pid());
            cpu += after.cpu_seconds - before[static_cast<std::size_t>(i)].cpu_seconds;
            resident = std::max(resident, after.resident_mb);
            threads = std::max(threads, after.threads);
        }
        std::cout << name << "," << nodes << "," << targets << "," << static_cast<double>(work) / span << ","
                  << 100 * cpu / span / nodes << "," << (work > 0 ? 1e6 * cpu / static_cast<double>(work) : 0)
                  << "," << resident << "," << threads << "," << (writes_after - writes) / span << ","
                  << (reads_after - reads) / span << "\n";
    };

    std::cout << "phase,nodes,targets,done_per_s,cpu_percent_per_node,cpu_us_per_request,resident_mb,threads,"
                 "table_writes_per_s,table_reads_per_s\n";
    measure("idle", [&] {
        std::this_thread::sleep_for(std::chrono::seconds{seconds});
        return std::size_t{0};
    });
    load_result quick;
    load_result durable;
    measure("quick", [&] {
        quick = run_load(testbed, key, "counter-check", false, clients, std::chrono::seconds{seconds});
        return quick.done;
    });
    measure("durable", [&] {
        durable = run_load(testbed, key, "reorder", true, clients, std::chrono::seconds{seconds});
        return durable.done;
    });
    print_call_paths(testbed, client, key);
    print_times("under load, quick", quick.took);
    print_times("under load, durable", durable.took);
    std::cout << "other answers: quick " << quick.other << ", durable " << durable.other << "\n";
    return 0;
}

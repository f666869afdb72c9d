#include "cluster.h"

#include "http/server.h"

#include <csignal>
#include <iostream>

using namespace medlarhub;
using namespace medlarhub::testing;

namespace {

void show(const std::string& what, const reply& answer) {
    std::cout << "\n== " << what << "\n   status " << answer.status << ", outcome " << answer.outcome
              << "\n   " << answer.body.substr(0, 300) << "\n";
}

bool finished(cluster& running, int node, const std::string& id, const std::string& key, reply& last) {
    return cluster::wait_until([&] {
        last = running.call(node, "GET", "/v1/requests/" + id, key);
        return last.outcome == "done";
    });
}

} // namespace

/// Starts a whole cluster as separate processes and shows an answer for each of the five kinds of work. With
/// `--keep` the cluster stays up until the program is interrupted.
int main(int argc, char** argv) {
    const bool keep = argc > 1 && std::string_view{argv[1]} == "--keep";
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    set_http_threads(4);
    cluster running{
        {.nodes = 3, .targets = 6, .partitions = 2, .directory = "run/demo", .node_settings = {}}};
    std::cout
        << "starting 3 nodes in 2 data centres, 6 targets, and the platform's stand-in; logs in run/demo\n";
    if (!running.start()) {
        std::cerr << "the cluster did not start, see the logs in run/demo\n";
        return 1;
    }
    for (const auto& document : sample_documents()) {
        if (running.apply(document) == 0) {
            std::cerr << "a document was refused\n";
            return 1;
        }
    }
    const auto key = running.grant("orchard");
    reply last;
    bool all_ok = true;

    last = running.call(0, "POST", "/v1/services/counter-check/requests", key, "wax in stock?");
    show("1. quick idempotent request (counter check) at node 0", last);
    all_ok = all_ok && last.outcome == "done" && last.body == "wax in stock?";

    last = running.call(1, "POST", "/v1/services/reorder/requests", key, "12 cases of wax",
                        {{"Idempotency-Key", "reorder-1"}});
    show("2. non-idempotent request (reorder) at node 1", last);
    all_ok = all_ok && last.outcome == "done";
    last = running.call(2, "POST", "/v1/services/reorder/requests", key, "12 cases of wax",
                        {{"Idempotency-Key", "reorder-1"}});
    show("   the same request id again at node 2: the recorded answer", last);
    all_ok = all_ok && last.outcome == "done";
    int runs = 0;
    for (const auto& [id, times] : running.executions())
        runs += id.starts_with("orchard/reorder-1#") ? times : 0;
    std::cout << "   ran " << runs << " time(s) at targets\n";
    all_ok = all_ok && runs == 1;

    last = running.call(2, "POST", "/v1/services/allocation/requests", key,
                        R"({"tasks":4,"payload":"season"})", {{"Idempotency-Key", "allocation-1"}});
    show("3. must-finish batch of 4 tasks (allocation) at node 2", last);
    all_ok = finished(running, 0, "allocation-1", key, last) && all_ok;
    show("   its state, queried at node 0", last);

    last = running.call(0, "POST", "/v1/services/season-plan/requests", key,
                        R"({"tasks":3,"payload":"plan"})", {{"Idempotency-Key", "plan-1"}});
    show("4. job that needs its 3 tasks at once (season plan) at node 0", last);
    all_ok = finished(running, 1, "plan-1", key, last) && all_ok;
    show("   its state, queried at node 1", last);

    const bool kept = cluster::wait_until([&] {
        int replicas = 0;
        for (const auto& id : running.running_tasks())
            replicas += id.starts_with("tearoom/service.catalogue#") ? 1 : 0;
        return replicas == 3;
    });
    std::cout << "\n== 5. service with 3 replicas (catalogue)\n   " << (kept ? "3" : "not 3")
              << " replicas run at targets\n";
    all_ok = all_ok && kept;

    std::cout << (all_ok ? "\nall five kinds were answered\n"
                         : "\nat least one kind of work failed, see the logs in run/demo\n");
    if (keep) {
        std::cout << "export MEDLARHUB_NODE=" << running.node_address(0)
                  << " MEDLARHUB_KEY=" << running.operator_key() << " TEAM_KEY=" << key << std::endl;
        int received = 0;
        sigwait(&signals, &received);
    }
    return all_ok ? 0 : 1;
}

#include "cluster.h"

#include "http/server.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <set>
#include <thread>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

/// A running cluster with the sample documents applied and a key for each team.
struct started_cluster : cluster {
    explicit started_cluster(cluster_options options = {}) : cluster{std::move(options)} {
        REQUIRE(start());
        for (const auto& document : sample_documents())
            REQUIRE(apply(document) > 0);
        orchard = grant("orchard", &orchard_digest);
        tearoom = grant("tearoom");
        REQUIRE_FALSE(orchard.empty());
    }

    reply check(int node) {
        return call(node, "POST", "/v1/services/counter-check/requests", orchard, "in stock?");
    }
    reply reorder(int node, const std::string& id, const std::string& body = "12 cases") {
        return call(node, "POST", "/v1/services/reorder/requests", orchard, body, {{"Idempotency-Key", id}});
    }
    reply allocate(int node, const std::string& id, int tasks, int run_ms) {
        const auto body = nlohmann::json{{"tasks", tasks}, {"payload", {{"run_ms", run_ms}}}}.dump();
        return call(node, "POST", "/v1/services/allocation/requests", orchard, body,
                    {{"Idempotency-Key", id}});
    }
    reply ask(int node, const std::string& id) { return call(node, "GET", "/v1/requests/" + id, orchard); }

    bool wait_done(int node, const std::string& id, milliseconds limit = 60s) {
        return wait_until([&] { return ask(node, id).outcome == "done"; }, limit);
    }

    /// Returns how often the first task of a request was started at targets.
    int runs(const std::string& id) {
        int total = 0;
        for (const auto& [task, times] : executions())
            total += task.starts_with("orchard/" + id + "#0#") ? times : 0;
        return total;
    }

    std::string owner_of(int partition, int seen_by) {
        const auto seen = status(seen_by);
        for (const auto& item : seen.value("partitions", nlohmann::json::array())) {
            if (item.value("partition", -1) == partition)
                return item.value("owner", "");
        }
        return {};
    }

    /// Waits until 20 consecutive quick requests, spread over all nodes, succeed.
    bool wait_until_all_succeed() {
        return wait_until([&] {
            int good = 0;
            for (int i = 0; i < 20; ++i)
                good += check(i % nodes()).outcome == "done" ? 1 : 0;
            return good == 20;
        });
    }

    static int index_of(const std::string& node) { return std::stoi(node.substr(1)); }

    std::string orchard;
    std::string orchard_digest;
    std::string tearoom;
};

/// Sends requests on several threads until stopped, and records every answer.
class load {
public:
    load(started_cluster& testbed, std::vector<int> nodes, bool durable)
        : m_on{testbed}, m_nodes{std::move(nodes)} {
        constexpr int threads = 3;
        for (int i = 0; i < threads; ++i)
            m_threads.emplace_back([this, i, durable] { run(i, durable); });
    }
    ~load() { stop(); }
    load(const load&) = delete;
    load& operator=(const load&) = delete;

    void stop() {
        m_stop = true;
        for (auto& thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }

    std::map<std::string, reply> answers() {
        const std::lock_guard lock{m_mutex};
        return m_answers;
    }
    std::size_t done() {
        const std::lock_guard lock{m_mutex};
        return static_cast<std::size_t>(std::ranges::count_if(
            m_answers, [](const auto& entry) { return entry.second.outcome == "done"; }));
    }

private:
    void run(int thread, bool durable) {
        for (int i = 0; !m_stop; ++i) {
            const auto id = "load-" + std::to_string(thread) + "-" + std::to_string(i);
            const auto node = m_nodes[static_cast<std::size_t>(thread + i) % m_nodes.size()];
            auto answer = durable ? m_on.reorder(node, id, id) : m_on.check(node);
            const std::lock_guard lock{m_mutex};
            m_answers[id] = std::move(answer);
        }
    }

    started_cluster& m_on;
    std::vector<int> m_nodes;
    std::atomic<bool> m_stop{false};
    std::mutex m_mutex;
    std::map<std::string, reply> m_answers;
    std::vector<std::thread> m_threads;
};

/// Checks that the answer to each request agrees with the executions at the targets.
void check_answers_match_executions(started_cluster& testbed, const std::map<std::string, reply>& answers) {
    std::map<std::string, int> runs;
    for (const auto& [task, times] : testbed.executions())
        runs[task.substr(0, task.find('#'))] += times;
    for (const auto& [id, answer] : answers) {
        INFO(id << " " << answer.outcome << " " << answer.body);
        const auto ran = runs["orchard/" + id];
        CHECK(ran <= 1);
        if (answer.outcome == "not_run")
            CHECK(ran == 0);
        if (answer.outcome == "done") {
            CHECK(ran == 1);
            CHECK(answer.body == id);
        }
        if (answer.outcome == "accepted") {
            CHECK(testbed.wait_done(0, id));
        }
    }
}

} // namespace

TEST_CASE("the callers' interface answers plainly", "[process]") {
    started_cluster testbed;
    struct call_case {
        std::string name;
        std::string service;
        std::string key;
        std::string id;
        std::string body;
        int status = 0;
    };
    const auto job = std::string{"allocation"};
    const std::vector<call_case> cases{
        {"quick", "counter-check", testbed.orchard, "", "x", 200},
        {"no key", "counter-check", "", "", "x", 401},
        {"wrong key", "counter-check", "mh_00", "", "x", 401},
        {"another team's key", "counter-check", testbed.tearoom, "", "x", 403},
        {"unknown service", "nothing", testbed.orchard, "", "x", 404},
        {"reorder", "reorder", testbed.orchard, "a", "x", 200},
        {"same id again", "reorder", testbed.orchard, "a", "x", 200},
        {"same id, another body", "reorder", testbed.orchard, "a", "y", 422},
        {"reorder without id", "reorder", testbed.orchard, "", "x", 400},
        {"bad id", "reorder", testbed.orchard, "a b", "x", 400},
        {"job", job, testbed.orchard, "j1", R"({"tasks":2})", 202},
        {"job, malformed", job, testbed.orchard, "j2", R"({"tasks":2)", 400},
        {"job, unknown field", job, testbed.orchard, "j2", R"({"tasks":2,"copies":1})", 400},
        {"job, negative", job, testbed.orchard, "j2", R"({"tasks":-1})", 400},
        {"job, overflow", job, testbed.orchard, "j2", R"({"tasks":99999999999999999999})", 400},
        {"a request to a replicated service", "catalogue", testbed.tearoom, "j2", "x", 409},
        {"too large", "reorder", testbed.orchard, "big", std::string(2 << 20, 'x'), 413},
    };
    for (const auto& given : cases) {
        INFO(given.name);
        std::map<std::string, std::string> headers;
        if (!given.id.empty())
            headers["Idempotency-Key"] = given.id;
        const auto answer = testbed.call(0, "POST", "/v1/services/" + given.service + "/requests", given.key,
                                         given.body, headers);
        INFO(answer.body);
        CHECK(answer.status == given.status);
    }
    CHECK(testbed.runs("a") == 1);
    CHECK(testbed.ask(1, "a").body == "x");
    CHECK(testbed.ask(2, "never-sent").status == 404);
    CHECK(testbed.call(1, "GET", "/v1/requests/a", testbed.tearoom).status == 404);

    REQUIRE(testbed.apply("[service]\nname = huge\nteam = orchard\nkind = batch\nidempotent = true\n[needs]\n"
                          "cpus = 500\nmemory = 1GB\n") > 0);
    const auto huge = testbed.call(0, "POST", "/v1/services/huge/requests", testbed.orchard, R"({"tasks":1})",
                                   {{"Idempotency-Key", "huge"}});
    CHECK(huge.status == 422);
    CHECK(huge.outcome == "not_run");
}

TEST_CASE("a single node serves alone", "[process]") {
    started_cluster testbed{
        {.nodes = 1, .targets = 2, .partitions = 1, .directory = {}, .node_settings = {}}};
    CHECK(testbed.check(0).outcome == "done");
    CHECK(testbed.reorder(0, "alone").outcome == "done");
}

TEST_CASE("a job is cancelled, wherever it is asked for", "[process]") {
    started_cluster testbed;
    REQUIRE(testbed.allocate(0, "slow", 3, 60'000).outcome == "accepted");
    REQUIRE(cluster::wait_until([&] { return testbed.runs("slow") == 1; }));
    CHECK(testbed.call(1, "DELETE", "/v1/requests/slow", testbed.orchard).answered);
    CHECK(testbed.wait_done(2, "slow"));
    CHECK(cluster::wait_until([&] {
        const auto running = testbed.running_tasks();
        return std::ranges::none_of(running, [](const auto& id) { return id.starts_with("orchard/slow#"); });
    }));
}

TEST_CASE("a killed owner's work is taken over, nothing is lost or doubled", "[process]") {
    started_cluster testbed;
    REQUIRE(testbed.allocate(0, "season", 8, 3000).outcome == "accepted");
    const auto owner = testbed.owner_of(0, 0);
    const auto killed = started_cluster::index_of(owner);
    const auto survivor = (killed + 1) % 3;
    const auto other = (killed + 2) % 3;
    load work{testbed, {survivor, other}, true};
    REQUIRE(cluster::wait_until([&] { return work.done() > 20; }));
    testbed.stop_node(killed, SIGKILL);
    REQUIRE(cluster::wait_until([&] {
        const auto next = testbed.owner_of(0, survivor);
        return !next.empty() && next != owner;
    }));
    const auto before = work.done();
    CHECK(cluster::wait_until([&] { return work.done() > before + 20; }));
    work.stop();
    testbed.start_node(killed);
    CHECK(testbed.wait_done(survivor, "season"));
    REQUIRE(cluster::wait_until([&] { return testbed.ask(0, "season").answered; }));
    check_answers_match_executions(testbed, work.answers());
    int season_runs = 0;
    for (const auto& [task, times] : testbed.executions())
        season_runs += task.starts_with("orchard/season#") ? times : 0;
    CHECK(season_runs == 8);
}

TEST_CASE("an owner that is stopped and goes on does no harm", "[process]") {
    started_cluster testbed;
    const auto owner = testbed.owner_of(0, 0);
    const auto paused = started_cluster::index_of(owner);
    const auto running = (paused + 1) % 3;
    load work{testbed, {running, (paused + 2) % 3}, true};
    REQUIRE(cluster::wait_until([&] { return work.done() > 10; }));
    testbed.node(paused).signal(SIGSTOP);
    REQUIRE(cluster::wait_until([&] {
        const auto next = testbed.owner_of(0, running);
        return !next.empty() && next != owner;
    }));
    const auto before = work.done();
    CHECK(cluster::wait_until([&] { return work.done() > before + 20; }));
    testbed.node(paused).signal(SIGCONT);
    // The node rejoins and gets its partitions back by requesting their release.
    CHECK(cluster::wait_until([&] { return testbed.status(paused).value("ready", false); }));
    CHECK(cluster::wait_until([&] { return testbed.check(paused).outcome == "done"; }));
    work.stop();
    check_answers_match_executions(testbed, work.answers());
}

TEST_CASE("while the table is out quick requests go on and durable ones are refused as not run",
          "[process]") {
    const std::string mode = GENERATE("down", "silent");
    started_cluster testbed;
    REQUIRE(testbed.reorder(0, "before").outcome == "done");
    REQUIRE(testbed.wait_until_all_succeed()); // then each partition has its allotment of the team's limit
    testbed.set_platform_mode(mode);
    // The first write detects the outage; from then on durable requests are refused immediately.
    int attempt = 0;
    REQUIRE(cluster::wait_until([&] {
        ++attempt;
        return testbed.reorder(attempt % 3, "probe-" + std::to_string(attempt)).outcome == "not_run";
    }));
    int refused = 0;
    for (int i = 0; i < 30; ++i) {
        const auto answer = testbed.reorder(i % 3, "out-" + std::to_string(i));
        CHECK((answer.outcome == "not_run" || answer.outcome == "unknown"));
        CHECK_FALSE(answer.retry_after.empty());
        refused += answer.outcome == "not_run" ? 1 : 0;
    }
    CHECK(refused >= 20);
    // 5 s is well beyond the time after which a node without contact to a majority would fail closed.
    const auto end = now() + 5s;
    for (int i = 0; now() < end; ++i) {
        const auto answer = testbed.check(i % 3);
        INFO(answer.body);
        CHECK(answer.outcome == "done");
    }
    CHECK(testbed.reorder(1, "before").outcome == "done"); // a recorded answer needs no new record
    testbed.set_platform_mode("up");
    CHECK(cluster::wait_until([&] { return testbed.reorder(1, "after").outcome == "done"; }));
    for (int i = 0; i < 30; ++i) {
        const auto id = "out-" + std::to_string(i);
        CHECK(testbed.runs(id) <= 1);
    }
}

TEST_CASE("a slow table slows durable work down and loses none of it", "[process]") {
    started_cluster testbed;
    REQUIRE(testbed.wait_until_all_succeed()); // then each partition has its allotment of the team's limit
    testbed.set_platform_mode("up", 2000);
    CHECK(testbed.check(0).outcome == "done");
    const auto answer = testbed.reorder(0, "slow-1");
    CHECK((answer.outcome == "done" || answer.outcome == "unknown" || answer.outcome == "accepted" ||
           answer.outcome == "not_run"));
    testbed.set_platform_mode("up");
    CHECK(cluster::wait_until([&] { return testbed.reorder(1, "slow-1").outcome == "done"; }));
    CHECK(testbed.runs("slow-1") == 1);
}

TEST_CASE("a graceful shutdown under load cuts nothing off", "[process]") {
    const bool table_out = GENERATE(false, true);
    started_cluster testbed;
    load durable{testbed, {0, 1, 2}, !table_out};
    REQUIRE(cluster::wait_until([&] { return durable.done() > 30; }));
    if (table_out)
        testbed.set_platform_mode("down");
    testbed.node(1).signal(SIGTERM);
    std::atomic<int> code{-1};
    std::thread waiting{[&] { code = testbed.node(1).wait(); }};
    waiting.join();
    CHECK(code == 0);
    durable.stop();
    int interrupted = 0;
    for (const auto& [id, answer] : durable.answers()) {
        // A connection refused after the node has stopped is no interrupted request, because a load balancer
        // would no longer send requests there.
        if (!answer.answered && testbed.runs(id) > 0)
            ++interrupted;
        if (answer.answered && !table_out)
            CHECK((answer.outcome == "done" || answer.outcome == "not_run"));
    }
    CHECK(interrupted == 0);
}

TEST_CASE("a withdrawn key stops working everywhere within seconds, also when the table goes out",
          "[process]") {
    const bool table_out = GENERATE(false, true);
    started_cluster testbed;
    REQUIRE(testbed.check(2).outcome == "done");
    const auto withdrawn =
        testbed.call_as_operator(0, "DELETE", "/v1/operator/keys/" + testbed.orchard_digest);
    REQUIRE(withdrawn.status == 200);
    if (table_out)
        testbed.set_platform_mode("down");
    const auto end = now() + 4s; // the users' requirement for a withdrawn key
    for (int node = 0; node < 3; ++node)
        CHECK(cluster::wait_until([&] { return testbed.check(node).status == 401; },
                                  std::max(end - now(), milliseconds{1})));
}

TEST_CASE("nothing starts in a drained data centre, and what returns is used again", "[process]") {
    started_cluster testbed;
    REQUIRE(testbed.call_as_operator(1, "PUT", "/v1/operator/drains/data_centre/kelowna").status == 200);
    REQUIRE(cluster::wait_until(
        [&] { return testbed.status(2).value("drains", nlohmann::json::array()).size() == 1; }, 4s));
    std::set<std::string> before;
    for (int i = 1; i < testbed.targets(); i += 2) {
        for (const auto& [id, times] : testbed.executions_at(i))
            before.insert(id);
    }
    for (int i = 0; i < 30; ++i)
        CHECK(testbed.check(i % 3).outcome == "done");
    REQUIRE(testbed.allocate(0, "drained", 12, 50).outcome == "accepted");
    CHECK(testbed.wait_done(1, "drained"));
    for (int i = 1; i < testbed.targets(); i += 2) {
        for (const auto& [id, times] : testbed.executions_at(i))
            CHECK(before.contains(id));
    }
    REQUIRE(testbed.call_as_operator(0, "DELETE", "/v1/operator/drains/data_centre/kelowna").status == 200);
    CHECK(cluster::wait_until([&] {
        (void)testbed.check(0);
        for (int i = 1; i < testbed.targets(); i += 2) {
            for (const auto& [id, times] : testbed.executions_at(i)) {
                if (!before.contains(id))
                    return true;
            }
        }
        return false;
    }));
}

TEST_CASE("no team has more running than its upper limit", "[process]") {
    started_cluster testbed;
    REQUIRE(testbed.apply("[team]\nname = orchard\nshare = 3\nlimit_cpus = 5\n") > 0);
    for (int i = 0; i < 6; ++i)
        REQUIRE(testbed.allocate(i % 3, "many-" + std::to_string(i), 4, 300).outcome == "accepted");
    std::size_t most = 0;
    bool finished = false;
    const auto done = [&] {
        const auto running = testbed.running_tasks();
        const auto count =
            std::ranges::count_if(running, [](const auto& id) { return id.starts_with("orchard/many-"); });
        most = std::max(most, static_cast<std::size_t>(count));
        for (int i = 0; i < 6; ++i) {
            if (testbed.ask(0, "many-" + std::to_string(i)).outcome != "done")
                return false;
        }
        finished = true;
        return true;
    };
    CHECK(cluster::wait_until(done, 120s));
    CHECK(finished);
    CHECK(most <= 5);
    CHECK(most >= 1);
}

TEST_CASE("targets that fail, hang or leave don't stop the rest", "[process]") {
    struct fault_case {
        std::string name;
        std::string mode;
    };
    const auto given = GENERATE(
        values<fault_case>({{"fails everything", "fail_all"}, {"frozen", "freeze"}, {"leaving", ""}}));
    INFO(given.name);
    started_cluster testbed;
    if (given.mode.empty())
        testbed.publish_fleet({0});
    else
        testbed.set_target_mode(0, given.mode);
    // Once many consecutive requests succeed, the nodes have detected the faulty target.
    CHECK(testbed.wait_until_all_succeed());
    REQUIRE(testbed.allocate(0, "through", 6, 50).outcome == "accepted");
    CHECK(testbed.wait_done(1, "through"));
    testbed.set_target_mode(0, "normal");
    testbed.publish_fleet();
    CHECK(cluster::wait_until(
        [&] {
            (void)testbed.check(0);
            for (const auto& target : testbed.all_targets()) {
                if (target.value("target", "") == "t0")
                    return target.value("state", "") == "in service";
            }
            return false;
        },
        60s));
}

TEST_CASE("a target that restarts or is cut off loses no must-finish task", "[process]") {
    const std::string mode = GENERATE("restart", "freeze");
    started_cluster testbed;
    REQUIRE(testbed.allocate(0, "steady", 12, 2000).outcome == "accepted");
    REQUIRE(cluster::wait_until([&] { return testbed.running_tasks().size() >= 12; }));
    testbed.set_target_mode(0, mode);
    testbed.set_target_mode(1, mode);
    CHECK(testbed.wait_done(2, "steady", 90s));
}

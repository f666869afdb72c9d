#include "cell/admission.h"
#include "cell/submission.h"

#include "standin/memory_platform.h"
#include "standin/unreachable_targets.h"

#include "medlarhub/hash.h"

#include <catch2/catch.hpp>

#include <future>
#include <random>
#include <thread>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

constexpr int partitions = 3;
constexpr auto host = "orders.example";
constexpr auto key = "k-1";

/// Configuration of one queue in which `team`, if it isn't empty, has the key.
struct key_state {
    std::string team;
    bool open = false;
};

cell_config make_config(const key_state& state) {
    cell_config made;
    auto& queue = made.queues["orders"];
    queue.name = "orders";
    queue.host = host;
    queue.path_prefix = "/orders/";
    queue.open_to_all = state.open;
    // The first and the last of the four share a partition.
    for (const auto* name : {"nursery", "orchard", "packing", "quarry"}) {
        made.teams[name].name = name;
        made.teams[name].key_digests.push_back(digest(std::string{"own-"} + name));
        if (state.team == name)
            made.teams[name].key_digests.push_back(digest(key));
    }
    return made;
}

/// A node as an arriving call finds it: its configuration and its layout, of which either may be old.
struct node_state {
    cell_config config;
    cell_layout layout;
};

/// A cell of several partitions over one table, all owned by this process.
class divided_cell final : public owner_lookup {
public:
    divided_cell() {
        m_layout.partitions = partitions;
        for (int number = 0; number < partitions; ++number)
            take(number);
    }
    divided_cell(const divided_cell&) = delete;
    divided_cell& operator=(const divided_cell&) = delete;
    ~divided_cell() override {
        for (const auto& [number, owned] : m_owned)
            owned->join();
    }

    /// Returns a node on which this configuration is in force, and the layout covers it.
    node_state declare(const key_state& state) {
        node_state made{make_config(state), {}};
        m_layout = with_teams_of(m_layout, made.config);
        made.layout = m_layout;
        return made;
    }

    /// A new owner takes the partition over.
    void take(int number) {
        if (m_owned.contains(number))
            m_owned[number]->join();
        partition_environment environment;
        environment.rows = &rows;
        environment.commands = &m_targets;
        environment.counters = &m_counters;
        environment.ask = [](const advice_request&, auto done) { done(std::nullopt); };
        environment.holds = [](int, const std::string&, auto done) { done(std::nullopt); };
        owned_partition_options options;
        options.number = number;
        options.partitions = partitions;
        options.owner = "n" + std::to_string(++m_owners) + "/1";
        const auto owned = std::make_shared<owned_partition>(options, environment);
        owned->set_declarations({std::make_shared<cell_config>(make_config({"orchard", true})), {}});
        owned->start();
        while (owned->status() == partition_status::taking_over)
            std::this_thread::sleep_for(1ms);
        m_owned[number] = owned;
    }

    /// A call arrives at a node. Returns nothing if the node refuses it before it reaches a partition.
    std::optional<std::future<pb::job_answer>> arrive(const node_state& at, pb::job_call::kind what,
                                                      const std::string& id, const std::string& by = key) {
        const auto* queue = find_queue(at.config, host, "/orders/" + id);
        const auto* team = find_team(at.config, by);
        if (team == nullptr && !queue->open_to_all)
            return {};
        pb::job_call call;
        call.set_what(what);
        call.set_id(id);
        call.set_timeout_ms(10'000);
        set_caller(call, *queue, team, by);
        auto& spec = *call.mutable_spec();
        spec.set_id(id);
        spec.set_queue(call.queue());
        spec.set_team(call.team());
        spec.add_steps()->set_count(2);
        const auto group = call.has_key_group() ? std::optional{call.key_group()} : std::nullopt;
        const auto places = places_of(at.layout, call.team(), group, id);
        if (!places)
            return {};
        const auto promise = std::make_shared<std::promise<pb::job_answer>>();
        const auto done = [promise](const pb::job_answer& answer) { promise->set_value(answer); };
        if (what == pb::job_call::submit)
            submit_once(m_router, call, *places, done);
        else
            m_router->call_all(call, partitions, done);
        return promise->get_future();
    }

    pb::job_answer::outcome result(const node_state& at, pb::job_call::kind what, const std::string& id,
                                   const std::string& by = key) {
        auto answer = arrive(at, what, id, by);
        return answer ? answer->get().result() : pb::job_answer::not_run;
    }

    pb::job_answer::job_state state(const node_state& at, const std::string& id, const std::string& by) {
        return arrive(at, pb::job_call::state, id, by).value().get().state();
    }

    /// Returns the partitions that know the job.
    std::vector<int> stored_in(const std::string& id) {
        std::vector<int> found;
        for (const auto& [number, owned] : m_owned) {
            pb::job_call call;
            call.set_what(pb::job_call::holds);
            call.set_id(id);
            owned->call(call, [&found, number = number](const pb::job_answer& answer) {
                if (answer.result() == pb::job_answer::ok)
                    found.push_back(number);
            });
        }
        return found;
    }

    std::shared_ptr<owned_partition> local_partition(int number) const override { return m_owned.at(number); }
    std::string remote_owner(int /*number*/) const override { return {}; }

    standin::memory_table rows;

private:
    standin::unreachable_targets m_targets;
    metrics m_counters;
    cell_layout m_layout;
    int m_owners = 0;
    std::map<int, std::shared_ptr<owned_partition>> m_owned;
    std::shared_ptr<call_router> m_router = std::make_shared<call_router>(
        *this,
        [](const std::string&, const pb::job_calls&, milliseconds, peer_callback<pb::job_answers> done) {
            done(peer_delivery::lost, {});
        },
        m_counters);
};

std::string job_id(int number) {
    return digest("job " + std::to_string(number)).substr(0, 16);
}

} // namespace

// Guards against a submission that is stored a second time because its key's team, or the queue's openness,
// differs between its arrivals.
TEST_CASE("a submission that comes again is one job, whatever became of its key", "[submission]") {
    struct row {
        const char* name;
        std::vector<key_state> configs;    ///< in the order in which they are declared
        std::vector<std::size_t> arrivals; ///< the configuration of the node at which each arrives
    };
    const auto given = GENERATE(
        row{"taken away", {{"orchard", true}, {"", true}}, {0, 1}},
        row{"taken away, and the queue opens", {{"orchard", false}, {"", true}}, {0, 1}},
        row{"the queue opens, and it is taken away",
            {{"orchard", false}, {"orchard", true}, {"", true}},
            {0, 2}},
        row{"added", {{"", true}, {"orchard", true}}, {0, 1}},
        row{"added, and the queue closes", {{"", true}, {"orchard", false}}, {0, 1}},
        row{"added, and arrives at an older node", {{"", true}, {"orchard", true}}, {1, 0}},
        row{"given to another team", {{"orchard", false}, {"nursery", false}}, {0, 1}},
        row{"given on, and arrives at an older node", {{"orchard", false}, {"nursery", false}}, {1, 0}},
        row{"given on twice", {{"orchard", false}, {"nursery", false}, {"packing", false}}, {1, 2, 0}},
        row{"given on and back", {{"orchard", false}, {"nursery", false}, {"orchard", false}}, {1, 2}},
        row{"added, taken away and given back",
            {{"", true}, {"nursery", true}, {"", true}, {"nursery", true}},
            {1, 2, 3, 0}});
    const bool takeover = GENERATE(false, true);
    const bool at_once = GENERATE(false, true);
    INFO(given.name << (takeover ? ", takeover between" : "") << (at_once ? ", all at once" : ""));
    divided_cell cell;
    std::vector<node_state> nodes;
    for (const auto& state : given.configs)
        nodes.push_back(cell.declare(state));
    for (int number = 0; number < 12; ++number) {
        const auto id = job_id(number);
        std::vector<std::future<pb::job_answer>> open;
        int accepted = 0;
        for (const auto node : given.arrivals) {
            auto answer = cell.arrive(nodes[node], pb::job_call::submit, id);
            REQUIRE(answer);
            if (at_once)
                open.push_back(std::move(*answer));
            else
                accepted += answer->get().result() == pb::job_answer::ok ? 1 : 0;
            if (takeover && !at_once && number < partitions)
                cell.take(number);
        }
        for (auto& each : open)
            accepted += each.get().result() == pb::job_answer::ok ? 1 : 0;
        CHECK(accepted >= 1);
        CHECK(cell.stored_in(id).size() == 1);
    }
}

TEST_CASE("random changes of a key keep each submission one job", "[submission]") {
    const auto seed = GENERATE(range(1U, 41U));
    INFO("seed " << seed);
    std::mt19937 random{seed};
    const auto pick = [&](std::size_t below) { return static_cast<std::size_t>(random() % below); };
    const std::vector<std::string> teams{"", "nursery", "orchard", "packing"};
    divided_cell cell;
    std::vector<node_state> nodes{cell.declare({teams[pick(4)], pick(2) == 0})};
    std::vector<std::pair<std::string, std::future<pb::job_answer>>> open;
    std::map<std::string, int> accepted;
    const auto settle = [&] {
        for (auto& [id, answer] : std::exchange(open, {}))
            accepted[id] += answer.get().result() == pb::job_answer::ok ? 1 : 0;
    };
    for (int step = 0; step < 60; ++step) {
        if (pick(6) == 0) {
            nodes.push_back(cell.declare({teams[pick(4)], pick(2) == 0}));
        } else if (pick(10) == 0) {
            settle();
            cell.take(static_cast<int>(pick(partitions)));
        } else {
            const auto id = job_id(static_cast<int>(pick(5)));
            if (auto answer = cell.arrive(nodes[pick(nodes.size())], pb::job_call::submit, id))
                open.emplace_back(id, std::move(*answer));
        }
    }
    settle();
    for (const auto& [id, times] : accepted) {
        INFO(id << " accepted " << times << " times");
        CHECK(cell.stored_in(id).size() <= 1);
        CHECK((times == 0 || !cell.stored_in(id).empty()));
    }
}

TEST_CASE("a submission costs one write where its key was always the team's", "[submission]") {
    divided_cell cell;
    const auto node = cell.declare({"orchard", false});
    const auto before = cell.rows.writes();
    REQUIRE(cell.result(node, pb::job_call::submit, job_id(1)) == pb::job_answer::ok);
    CHECK(cell.rows.writes() == before + 1);
    const auto moved = cell.declare({"nursery", false});
    const auto between = cell.rows.writes();
    REQUIRE(cell.result(moved, pb::job_call::submit, job_id(2)) == pb::job_answer::ok);
    CHECK(cell.rows.writes() == between + 2); // with the claim
}

// Guards against a caller who reads, cancels or seems to submit the job of another team by its id.
TEST_CASE("a job is shown to and stopped by its own callers only", "[submission]") {
    struct row {
        const char* name;
        key_state submitted;
        key_state called;
        const char* by; ///< key of the later calls
        pb::job_answer::outcome look_up;
        pb::job_answer::outcome submit;
    };
    const auto ok = pb::job_answer::ok;
    const auto none = pb::job_answer::not_found;
    const auto conflict = pb::job_answer::conflict;
    const auto given = GENERATE_COPY(
        row{"the same key", {"nursery", false}, {"nursery", false}, key, ok, ok},
        row{"another key of the team", {"nursery", false}, {"nursery", false}, "own-nursery", ok, ok},
        row{"another team", {"nursery", false}, {"nursery", false}, "own-quarry", none, conflict},
        row{"another team, open queue", {"nursery", true}, {"nursery", true}, "own-quarry", ok, conflict},
        row{"the key is another team's by now", {"orchard", false}, {"nursery", false}, key, none, conflict},
        row{"the key was taken away, open queue", {"orchard", true}, {"", true}, key, ok, ok},
        row{"the key became a team's", {"", true}, {"orchard", true}, key, ok, ok},
        row{"the key became a team's, closed queue", {"", true}, {"orchard", false}, key, ok, ok});
    INFO(given.name);
    divided_cell cell;
    const auto first = cell.declare(given.submitted);
    const auto later = cell.declare(given.called);
    for (int number = 0; number < 6; ++number) {
        const auto id = job_id(number);
        REQUIRE(cell.result(first, pb::job_call::submit, id) == ok);
        CHECK(cell.result(later, pb::job_call::submit, id, given.by) == given.submit);
        CHECK(cell.result(later, pb::job_call::state, id, given.by) == given.look_up);
        CHECK(cell.result(later, pb::job_call::cancel, id, given.by) == given.look_up);
        CHECK(cell.result(first, pb::job_call::state, id) == ok);
        CHECK(cell.stored_in(id).size() == 1);
    }
}

TEST_CASE("teams of two partitions that use the same id have a job each, and see only their own",
          "[submission]") {
    divided_cell cell;
    const auto node = cell.declare({"nursery", false});
    const auto id = job_id(1);
    REQUIRE(cell.result(node, pb::job_call::submit, id, "own-nursery") == pb::job_answer::ok);
    CHECK(cell.result(node, pb::job_call::state, id, "own-orchard") == pb::job_answer::not_found);
    CHECK(cell.result(node, pb::job_call::cancel, id, "own-orchard") == pb::job_answer::not_found);
    REQUIRE(cell.result(node, pb::job_call::submit, id, "own-orchard") == pb::job_answer::ok);
    CHECK(cell.stored_in(id).size() == 2);
    CHECK(cell.result(node, pb::job_call::cancel, id, "own-orchard") == pb::job_answer::ok);
    CHECK(cell.state(node, id, "own-orchard") == pb::job_answer::cancelled);
    CHECK(cell.state(node, id, "own-nursery") == pb::job_answer::queued);
}

TEST_CASE("a claim is used again until it is removed, and its row follows", "[submission]") {
    const auto retention = 10s;
    id_claims claims{retention};
    const instant start{100s};
    CHECK(claims.claim(start, "a", 1) == 1);
    CHECK(claims.claim(start, "a", 2) == 1);
    CHECK(!claims.durable("a"));
    const auto rows = claims.take_rows(10);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].partition == 1);
    claims.rows_written();
    CHECK(claims.durable("a"));
    CHECK(!claims.write_due());

    CHECK(claims.take_due_checks(start + 9s).empty());
    CHECK(claims.claim(start + 9s, "a", 2) == 1);
    CHECK(claims.take_due_checks(start + 11s).empty()); // it was used
    const auto due = claims.take_due_checks(start + 30s);
    REQUIRE(due.size() == 1);
    CHECK(due[0].partition == 1);
    claims.handle_check(start + 30s, "a", true);
    CHECK(claims.holder("a") == 1);

    SECTION("removed") {
        claims.handle_check(start + 30s, "a", false);
        CHECK(!claims.holder("a"));
        const auto removal = claims.take_rows(10);
        REQUIRE(removal.size() == 1);
        CHECK(!removal[0].partition);
        claims.rows_written();
        CHECK(claims.size() == 0);
    }
    SECTION("claimed again while its removal is being written") {
        claims.handle_check(start + 30s, "a", false);
        REQUIRE(claims.take_rows(10).size() == 1);
        CHECK(claims.claim(start + 31s, "a", 2) == 2);
        claims.rows_written();
        CHECK(!claims.durable("a"));
        const auto again = claims.take_rows(10);
        REQUIRE(again.size() == 1);
        CHECK(again[0].partition == 2);
        claims.rows_written();
        CHECK(claims.durable("a"));
    }
    SECTION("used between the question and its answer") {
        CHECK(claims.claim(start + 30s, "a", 2) == 1);
        claims.handle_check(start + 31s, "a", false);
        CHECK(claims.holder("a") == 1);
    }
    SECTION("read by a new owner") {
        id_claims next{retention};
        next.restore(start + 40s, {{"a", 1}});
        CHECK(next.durable("a"));
        CHECK(next.claim(start + 41s, "a", 2) == 1);
        CHECK(!next.write_due());
    }
}

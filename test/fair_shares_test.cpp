#include "jobs/fair_shares.h"

#include "job_world.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

struct shares_case {
    const char* name;
    std::map<std::string, team_demand> teams;
    std::map<std::string, double> shares;
};

const resources capacity{1000, 1000, 0};

team_demand wants(double weight, resources wanted) {
    return {weight, {}, wanted};
}

const std::vector<shares_case> shares_cases{
    {"all fits", {{"a", wants(1, {600, 100, 0})}, {"b", wants(5, {400, 100, 0})}}, {}},
    {"nobody wants anything", {{"a", wants(1, {})}}, {}},
    {"by weight", {{"a", wants(1, {900, 0, 0})}, {"b", wants(3, {900, 0, 0})}}, {{"a", 0.25}, {"b", 0.75}}},
    {"what one doesn't want goes to the others",
     {{"a", wants(1, {900, 0, 0})}, {"b", wants(1, {900, 0, 0})}, {"c", wants(8, {100, 0, 0})}},
     {{"a", 0.45}, {"b", 0.45}}},
    {"all fits, though each wants most of one resource",
     {{"a", wants(1, {900, 100, 0})}, {"b", wants(1, {100, 900, 0})}},
     {}},
    {"each wants more than all of one resource, and gets more than half",
     {{"a", wants(1, {2000, 1000, 0})}, {"b", wants(1, {1000, 2000, 0})}},
     {{"a", 2.0 / 3}, {"b", 2.0 / 3}}},
    {"a memory share dominates", {{"a", wants(1, {100, 2000, 0})}}, {{"a", 1.0}}},
};

constexpr int teams = 20;
constexpr int targets = 20;
constexpr std::size_t large_team = 2;
constexpr double size_skew = 1.2;
constexpr auto task_time = 600ms;
/// In time, a job takes at most this long: its task and the latency goal.
constexpr auto latency_goal = 1s;

/// Teams of skewed sizes that keep a partition three quarters busy. Jobs of the large team have `times` as
/// many tasks as usual.
class skewed_load {
public:
    explicit skewed_load(int times) : m_times{times} {
        m_world.set_config([&](cell_config& config) {
            config.queues.at("checks").latency_goal = latency_goal;
            for (std::size_t rank = 0; rank < m_teams.size(); ++rank) {
                auto& team = config.teams[name_of(rank)];
                team.name = name_of(rank);
                // Above what it sends: the rate alone holds nothing back.
                team.jobs_per_second = 3 * rate_of(rank);
            }
        });
    }

    /// Returns the share of its jobs that each team gets done in time.
    std::vector<double> served() {
        for (milliseconds passed{0}; passed < 10s; passed += tick) {
            for (std::size_t rank = 0; rank < m_teams.size(); ++rank)
                submit_due(rank);
            run_for_tick();
        }
        for (milliseconds passed{0}; passed < 2s; passed += tick)
            run_for_tick();
        CHECK(m_world.violation().empty());
        std::vector<double> shares;
        for (const auto& team : m_teams)
            shares.push_back(static_cast<double>(team.in_time) / std::max(team.sent, 1));
        return shares;
    }

private:
    static constexpr milliseconds tick{20};
    /// Of two tasks each; 80 cores run 133 tasks of 600 ms a second.
    static constexpr double jobs_per_second = 50;

    struct team_state {
        double due = 0; ///< jobs to send, as a fraction
        int sent = 0;
        int in_time = 0;
        std::vector<std::pair<std::string, instant>> open; ///< jobs, and when they were sent
    };

    static std::string name_of(std::size_t rank) { return "team" + std::to_string(rank); }
    static double size_of(std::size_t rank) { return std::pow(static_cast<double>(rank + 1), -size_skew); }

    [[nodiscard]] double rate_of(std::size_t rank) const {
        double sum = 0;
        for (std::size_t each = 0; each < m_teams.size(); ++each)
            sum += size_of(each);
        return jobs_per_second * size_of(rank) / sum;
    }

    void submit_due(std::size_t rank) {
        auto& team = m_teams[rank];
        team.due += rate_of(rank) * std::chrono::duration<double>(tick).count();
        for (; team.due >= 1; team.due -= 1) {
            auto step = simple_step(rank == large_team ? 2 * m_times : 2, 1000);
            step.set_estimate_ms(milliseconds{task_time}.count());
            auto job = simple_job(name_of(rank) + "-" + std::to_string(team.sent++), {step});
            job.set_team(name_of(rank));
            team.open.emplace_back(job.id(), m_world.at());
            m_world.submit(std::move(job));
        }
    }

    void run_for_tick() {
        m_world.run_for(tick);
        for (auto& team : m_teams) {
            std::erase_if(team.open, [&](const auto& job) {
                const bool is_done = m_world.owner().state(job.first) == pb::job_answer::completed;
                const bool is_late = m_world.at() - job.second > task_time + latency_goal;
                team.in_time += is_done && !is_late ? 1 : 0;
                return is_done || is_late;
            });
        }
    }

    int m_times;
    std::vector<team_state> m_teams = std::vector<team_state>(teams);
    job_world m_world{{.targets = targets, .work = task_time, .faults = false, .fair_shares = true}, 1};
};

} // namespace

TEST_CASE("a full partition is divided by weight and dominant resource", "[fair_shares]") {
    const auto& given = GENERATE_REF(from_range(shares_cases));
    INFO(given.name);
    const auto shares = fair_shares(given.teams, capacity);
    REQUIRE(shares.size() == given.shares.size());
    for (const auto& [team, share] : given.shares) {
        REQUIRE(shares.contains(team));
        CHECK(shares.at(team) == Approx(share));
    }
}

TEST_CASE("a team without a job rate counts as a small one", "[fair_shares]") {
    cell_config config;
    config.teams["a"].jobs_per_second = 20;
    config.teams["b"].jobs_per_second = 0;
    CHECK(weight_of(config, "a") == 20);
    CHECK(weight_of(config, "b") == 1);
    CHECK(weight_of(config, "unknown") == 1);
}

// Guards against a team whose jobs are within its rate, but eight times as large as usual, taking the
// capacity that the shares of other teams cover.
TEST_CASE("a team at eight times its usual load doesn't cost others their shares", "[fair_shares]") {
    const auto usual = skewed_load{1}.served();
    const auto beside_load = skewed_load{8}.served();
    for (std::size_t rank = 0; rank < usual.size(); ++rank) {
        if (rank == large_team)
            continue;
        CAPTURE(rank);
        CHECK(beside_load[rank] >= usual[rank] - 0.05);
    }
}

// Guards against a new owner that takes what it hasn't heard from for unused: it would give a team its share
// twice.
TEST_CASE("what may run unheard after a takeover counts as its team's share", "[fair_shares]") {
    job_world world{{.targets = 2, .work = 20s, .faults = false, .fair_shares = true}, 1};
    world.set_config([](cell_config& config) {
        config.teams["orchard"].jobs_per_second = 20;
        config.teams["mill"].name = "mill";
        config.teams["mill"].jobs_per_second = 10;
    });
    const auto submit = [&](const std::string& id, const std::string& team, int tasks) {
        auto job = simple_job(id, {simple_step(tasks, 1000)});
        job.mutable_steps(0)->set_estimate_ms(20'000);
        job.set_team(team);
        world.submit(std::move(job));
    };
    submit("before", "mill", 8);
    world.run_for(1s);
    REQUIRE(world.starts().size() == 8);
    world.make_unresponsive("t0", 5s);
    world.restart("t1");
    world.read_entries();
    world.take_over();
    submit("first", "mill", 8);
    submit("second", "orchard", 8);
    world.run_for(3s);
    const auto started_of = [&](const std::string& job) {
        return std::ranges::count_if(world.starts(),
                                     [&](const std::string& task) { return task.starts_with(job); });
    };
    CHECK(started_of("second") == 4);
    CHECK(started_of("first") == 0);
    CHECK(world.violation().empty());
}

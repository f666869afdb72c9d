#include "cell/partition_loads.h"
#include "job_world.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace medlarhub::testing;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds look_period{260};

pb::step_spec gang_of(int count, std::int64_t cpu_milli) {
    auto step = simple_step(count, cpu_milli);
    step.set_gang(true);
    step.set_estimate_ms(2000);
    return step;
}

/// Two partitions with targets of their own. What waits in one may move to the other.
class divided_cell {
public:
    explicit divided_cell(job_world::options options)
        : m_parts{job_world{options, 61}, job_world{options, 62}} {
        for (auto& part : m_parts)
            part.set_config([](cell_config& config) { config.queues.at("checks").latency_goal = 30s; });
    }

    job_world& part(int number) { return m_parts.at(static_cast<std::size_t>(number)); }

    void run_for(milliseconds time, bool moves) {
        for (milliseconds passed{0}; passed < time; passed += look_period) {
            for (auto& each : m_parts)
                each.run_for(look_period);
            if (moves)
                move();
        }
    }

private:
    void move() {
        for (int home = 0; home < 2; ++home) {
            auto& from = part(home);
            auto& to = part(1 - home);
            m_loads.learn(1 - home,
                          {to.owner().wait_for_room(to.at()), to.owner().wait_of_gangs(to.at()), to.at()});
            std::vector<std::string> leave;
            for (const auto& [wait, spec] : from.owner().movable(from.at())) {
                if (m_loads.better_than(from.at(), wait, {1 - home}, 2s, true))
                    leave.push_back(spec->id());
            }
            for (const auto& id : leave)
                from.owner().move(from.at(), id, 1 - home);
            for (const auto& each : from.owner().take_moves(from.at())) {
                to.submit_handed_on(each.spec, each.beyond_rate);
                from.owner().moved(from.at(), each.spec.id(), true);
            }
        }
    }

    std::array<job_world, 2> m_parts;
    partition_loads m_loads;
};

} // namespace

TEST_CASE("gangs that queue in one partition leave for another that is empty", "[engine][load]") {
    const bool moves = GENERATE(false, true);
    divided_cell cell{{.targets = 4, .work = 2s}};
    cell.run_for(300ms, false);
    constexpr int gangs = 10;
    for (int i = 0; i < gangs; ++i) // each fills the partition for two seconds
        cell.part(0).submit(simple_job("g" + std::to_string(i), {gang_of(4, 3000)}));
    cell.run_for(16s, moves); // one partition takes 20 s
    int left = 0;
    for (int i = 0; i < gangs; ++i) {
        const auto id = "g" + std::to_string(i);
        const auto ended = [&](int part) {
            return cell.part(part).owner().state(id) == pb::job_answer::completed;
        };
        CHECK_FALSE((ended(0) && ended(1)));
        left += ended(0) || ended(1) ? 0 : 1;
    }
    INFO(left << " gangs left");
    CHECK((left == 0) == moves);
    CHECK(cell.part(0).violation().empty());
    CHECK(cell.part(1).violation().empty());
}

TEST_CASE("a job moves only when nothing of it has started and it can run anywhere", "[engine]") {
    struct row {
        const char* name;
        std::function<void(job_world&)> given;
        bool movable;
    };
    const auto job_with = [](const std::function<void(pb::step_spec&)>& change) {
        auto step = gang_of(4, 3000);
        change(step);
        return simple_job("j", {step});
    };
    const auto each = GENERATE_COPY(
        row{"waits for room", [&](job_world& world) { world.submit(job_with([](pb::step_spec&) {})); }, true},
        row{"after a takeover",
            [&](job_world& world) {
                world.submit(job_with([](pb::step_spec&) {}));
                world.run_for(200ms);
                world.take_over();
            },
            true},
        row{"moved before",
            [&](job_world& world) { world.submit_handed_on(job_with([](pb::step_spec&) {}), false); }, false},
        row{"its team is near its limit",
            [&](job_world& world) {
                world.set_config(
                    [](cell_config& config) { config.teams.at("orchard").cap.cpu_milli = 20'000; });
                world.submit(job_with([](pb::step_spec&) {}));
            },
            false},
        row{"needs a label",
            [&](job_world& world) {
                world.submit(job_with([](pb::step_spec& step) { step.set_required_label("a"); }));
            },
            false},
        row{"a task of it runs",
            [&](job_world& world) {
                world.submit(simple_job("j", {simple_step(4, 1000), gang_of(4, 3000)}));
            },
            false});
    INFO(each.name);
    job_world world{{.targets = 4, .work = 60s}, 63};
    world.run_for(100ms);
    world.submit(simple_job("early", {simple_step(12, 1000)}));
    world.run_for(200ms);
    each.given(world);
    world.run_for(2s);
    const auto movable = world.owner().movable(world.at());
    REQUIRE(movable.size() == (each.movable ? 1 : 0));
    if (!each.movable)
        return;
    CHECK(movable.front().second->id() == "j");
    world.owner().move(world.at(), "j", 1);
    CHECK(world.owner().take_moves(world.at()).empty()); // it isn't recorded yet
    world.run_for(100ms);
    REQUIRE(world.owner().take_moves(world.at()).size() == 1);
    CHECK(world.owner().take_moves(world.at()).empty());
    world.owner().moved(world.at(), "j", false);
    world.run_for(1s);
    CHECK(world.owner().take_moves(world.at()).size() == 1);
    world.take_over(); // whether the other one has it isn't known
    CHECK(world.owner().moving("j"));
    CHECK(world.owner().take_moves(world.at()).size() == 1);
    world.owner().moved(world.at(), "j", true);
    world.run_for(1s);
    world.take_over();
    CHECK_FALSE(world.owner().moving("j"));
    CHECK(world.owner().handed_on("j")->partition == 1);
    CHECK(std::ranges::none_of(world.starts(), [](const auto& start) { return start.starts_with("j"); }));
}

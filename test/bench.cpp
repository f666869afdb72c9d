#include "medlarhub/direct_queue.h"
#include "medlarhub/partition.h"
#include "medlarhub/router.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <sys/resource.h>

/// Benchmarks the scheduling classes with virtual time and a seeded arrival process against simple baselines
/// in the same run. It doesn't simulate the cluster: it has no nodes, messages or failures.

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

const instant epoch{milliseconds{1'000'000}};

double percentile(std::vector<double> values, double part) {
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
    return values[index];
}

long resident_kb() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

vm_info make_vm(int index, int racks) {
    vm_info vm;
    vm.id = "t" + std::to_string(index);
    vm.address = vm.id;
    vm.data_centre = "dc" + std::to_string(index % 3);
    vm.rack = "r" + std::to_string(index % racks);
    vm.capacity = {32'000, 65'536, 0};
    vm.slots = 8;
    return vm;
}

// ---- Cost of a placement decision ----

struct placement_cost {
    int targets = 0;
    int partitions = 0;
    double median_us = 0;
    double p99_us = 0;
    double bytes_per_job = 0;
};

/// Fills partitions of `per_partition` targets to 90 % with one-task jobs, then measures further submissions,
/// each with its scheduling decision; one task ends before each of them.
placement_cost measure_placement(int targets, int per_partition, int decisions) {
    const int count = std::max(1, targets / per_partition);
    std::vector<std::unique_ptr<partition>> cores;
    const config_state config;
    for (int p = 0; p < count; ++p) {
        partition_options options;
        options.number = p;
        options.seed = static_cast<std::uint64_t>(p);
        cores.push_back(std::make_unique<partition>(options));
        std::vector<vm_info> fleet;
        fleet.reserve(static_cast<std::size_t>(per_partition));
        for (int i = 0; i < per_partition; ++i)
            fleet.push_back(make_vm(p * per_partition + i, std::max(1, per_partition / 8)));
        cores.back()->set_fleet(fleet, config);
        for (const auto& vm : fleet)
            cores.back()->inventory(
                epoch, {.target = vm.id, .incarnation = "b", .version = 1, .asked = 0, .items = {}});
    }
    service_document doc;
    doc.name = "work";
    doc.team = "team";
    doc.kind = work_kind::batch;
    doc.idempotent = true;
    doc.need = {2000, 2048, 0};
    std::mt19937 random{42};
    std::vector<int> next(static_cast<std::size_t>(count));
    std::vector<std::deque<task_ref>> running(static_cast<std::size_t>(count));
    const auto before_kb = resident_kb();
    int filled = 0;
    const auto submit = [&](int p) {
        auto& core = *cores[static_cast<std::size_t>(p)];
        auto& number = next[static_cast<std::size_t>(p)];
        const auto item =
            make_job(doc, "team" + std::to_string(number % 20), "r" + std::to_string(number), 1);
        ++number;
        (void)core.submit(epoch, item);
        (void)core.take_records(1 << 20);
        core.committed();
        for (const auto& action : core.take_effects(epoch)) {
            core.start_answered(epoch, action.task, {start_outcome::running, {}, {}, 1, "b"});
            running[static_cast<std::size_t>(p)].push_back(action.task);
        }
        (void)core.take_accepted();
    };
    for (int p = 0; p < count; ++p) {
        for (int i = 0; i < per_partition * 8 * 9 / 10; ++i, ++filled)
            submit(p);
    }
    const auto after_kb = resident_kb();
    std::vector<double> took;
    for (int i = 0; i < decisions; ++i) {
        const auto p = static_cast<int>(random() % static_cast<unsigned>(count));
        auto& core = *cores[static_cast<std::size_t>(p)];
        auto& tasks = running[static_cast<std::size_t>(p)];
        core.start_answered(epoch, tasks.front(), {start_outcome::done, {}, {}, 1, "b"});
        tasks.pop_front();
        (void)core.take_ended();
        const auto began = std::chrono::steady_clock::now();
        submit(p);
        took.push_back(
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count());
    }
    return {targets, count, percentile(took, 0.5), percentile(took, 0.99),
            1024.0 * static_cast<double>(after_kb - before_kb) / std::max(filled, 1)};
}

void bench_placement() {
    std::cout << "targets,partitions,median_us,p99_us,bytes_per_job\n";
    for (const auto& [targets, per] : {std::pair{50, 50},
                                       {200, 50},
                                       {1000, 50},
                                       {5000, 50},
                                       {20'000, 50},
                                       {200, 200},
                                       {1000, 1000},
                                       {5000, 5000},
                                       {20'000, 20'000}}) {
        const auto cost = measure_placement(targets, per, per > 2000 ? 400 : 20'000);
        std::cout << cost.targets << "," << cost.partitions << "," << cost.median_us << "," << cost.p99_us
                  << "," << cost.bytes_per_job << "\n";
    }
}

// ---- Waiting time of direct requests, and overload ----

enum class policy { ours, no_refusal, random_target, first_come };

const char* name_of(policy which) {
    switch (which) {
    case policy::ours:
        return "ours";
    case policy::no_refusal:
        return "no_early_refusal";
    case policy::random_target:
        return "random_target";
    case policy::first_come:
        return "first_come_first_fit";
    }
    return "";
}

struct arrival {
    double at_ms = 0;
    std::string team;
    double run_ms = 0;
};

struct wait_result {
    std::vector<double> waits_quiet;
    std::vector<double> waits_all;
    std::size_t good = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    double span_ms = 0;
    double useful_work_ms = 0;
};

/// Generates Poisson arrivals from six teams, one of which sends half of them, with lognormal run times of
/// the given mean.
std::vector<arrival> make_arrivals(double load, int slots, double mean_ms, int count, unsigned seed) {
    std::mt19937 random{seed};
    constexpr double sigma = 1;
    std::lognormal_distribution<double> run{std::log(mean_ms) - sigma * sigma / 2, sigma};
    std::exponential_distribution<double> gap{load * slots / mean_ms};
    std::uniform_real_distribution<double> pick{0, 1};
    std::vector<arrival> made;
    double at = 0;
    for (int i = 0; i < count; ++i) {
        at += gap(random);
        const double draw = pick(random);
        const auto team =
            draw < 0.5 ? std::string{"hot"} : "quiet" + std::to_string(static_cast<int>(draw * 10) - 5);
        made.push_back({at, team, run(random)});
    }
    return made;
}

struct finish_event {
    double at_ms = 0;
    std::uint64_t token = 0;
    bool operator>(const finish_event& other) const { return at_ms > other.at_ms; }
};

/// Simulates the `direct_queue`, with or without early refusal.
wait_result run_queue(const std::vector<arrival>& arrivals, int targets, double deadline_ms,
                      bool early_refusal) {
    target_pool pool{{}};
    fair_share shares;
    std::vector<vm_info> fleet;
    fleet.reserve(static_cast<std::size_t>(targets));
    for (int i = 0; i < targets; ++i)
        fleet.push_back(make_vm(i, 8));
    pool.set_fleet(fleet, [](const vm_info&) { return false; });
    for (const auto& vm : fleet)
        pool.find(vm.id)->confirmed = true;
    shares.set_capacity(pool.capacity());
    direct_queue queue{pool, shares, 7};
    wait_result result;
    std::priority_queue<finish_event, std::vector<finish_event>, std::greater<>> ends;
    const auto at_of = [](double ms) { return epoch + milliseconds{static_cast<std::int64_t>(ms)}; };
    const auto started = [&](std::uint64_t token, double at) {
        const auto& item = arrivals[token];
        const auto wait = at - item.at_ms;
        result.waits_all.push_back(wait);
        if (item.team != "hot")
            result.waits_quiet.push_back(wait);
        ends.push({at + item.run_ms, token});
        result.span_ms = std::max(result.span_ms, at + item.run_ms);
        if (wait + item.run_ms <= deadline_ms) {
            ++result.good;
            result.useful_work_ms += item.run_ms;
        } else {
            ++result.late;
        }
    };
    double next_expiry = early_refusal ? 0 : 1e18;
    const auto drain = [&](double until) {
        while (!ends.empty() && ends.top().at_ms <= until) {
            const auto event = ends.top();
            ends.pop();
            queue.finished(at_of(event.at_ms), event.token, false);
            if (event.at_ms >= next_expiry) { // the period of a node's tick
                next_expiry = event.at_ms + 5;
                result.refused += queue.take_expired(at_of(event.at_ms)).size();
            }
            for (const auto& next : queue.start_ready(at_of(event.at_ms)))
                started(next.token, event.at_ms);
        }
    };
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        drain(arrivals[i].at_ms);
        direct_request request;
        request.token = i;
        request.team = arrivals[i].team;
        request.service = "check";
        request.need = {4000, 1024, 0};
        request.run_estimate = 10ms;
        request.deadline = at_of(arrivals[i].at_ms + (early_refusal ? deadline_ms : 1e9));
        const auto decision = queue.admit(at_of(arrivals[i].at_ms), request);
        if (decision.outcome == direct_outcome::placed)
            started(i, arrivals[i].at_ms);
        else if (decision.outcome == direct_outcome::refused)
            ++result.refused;
    }
    drain(1e18);
    return result;
}

/// Simulates a central first-come first-served queue, or a random target with its own queue.
wait_result run_baseline(const std::vector<arrival>& arrivals, int targets, double deadline_ms,
                         bool random_target) {
    const std::size_t servers = static_cast<std::size_t>(targets) * 8;
    std::vector<double> free_at(servers, 0);
    std::mt19937 random{11};
    wait_result result;
    for (const auto& item : arrivals) {
        std::size_t first = 0;
        std::size_t last = servers;
        if (random_target) {
            first = random() % static_cast<unsigned>(targets) * 8U;
            last = first + 8;
        }
        const auto slot = std::min_element(free_at.begin() + static_cast<std::ptrdiff_t>(first),
                                           free_at.begin() + static_cast<std::ptrdiff_t>(last));
        const auto start = std::max(*slot, item.at_ms);
        const auto wait = start - item.at_ms;
        *slot = start + item.run_ms;
        result.span_ms = std::max(result.span_ms, *slot);
        result.waits_all.push_back(wait);
        if (item.team != "hot")
            result.waits_quiet.push_back(wait);
        if (wait + item.run_ms <= deadline_ms) {
            ++result.good;
            result.useful_work_ms += item.run_ms;
        } else {
            ++result.late;
        }
    }
    return result;
}

void bench_direct(unsigned seed) {
    constexpr int targets = 50;
    constexpr int count = 120'000;
    constexpr double mean_ms = 10;
    constexpr double deadline_ms = 500;
    constexpr int slots = targets * 8;
    std::cout
        << "load,policy,wait_p50_ms,wait_p99_ms,wait_p999_ms,quiet_p99_ms,good,late,refused,goodput_part\n";
    for (const double load : {0.5, 0.7, 0.9, 0.95, 1.2, 2.0}) {
        const auto arrivals = make_arrivals(load, slots, mean_ms, count, seed);
        for (const auto which :
             {policy::ours, policy::no_refusal, policy::random_target, policy::first_come}) {
            const bool queue = which == policy::ours || which == policy::no_refusal;
            const auto result =
                queue ? run_queue(arrivals, targets, deadline_ms, which == policy::ours)
                      : run_baseline(arrivals, targets, deadline_ms, which == policy::random_target);
            std::cout << load << "," << name_of(which) << "," << percentile(result.waits_all, 0.5) << ","
                      << percentile(result.waits_all, 0.99) << "," << percentile(result.waits_all, 0.999)
                      << "," << percentile(result.waits_quiet, 0.99) << "," << result.good << ","
                      << result.late << "," << result.refused << ","
                      << result.useful_work_ms / (result.span_ms * slots) << "\n";
        }
    }
}

// ---- Number of partitions, fair shares, packing ----

/// A cell whose targets are divided into partitions, each with a pool and a queue.
struct partitioned_cell {
    partitioned_cell(int partitions, int targets, unsigned seed) {
        for (int p = 0; p < partitions; ++p) {
            pools.push_back(std::make_unique<target_pool>(target_pool_options{}));
            shares.push_back(std::make_unique<fair_share>());
            std::vector<vm_info> fleet;
            fleet.reserve(static_cast<std::size_t>(targets));
            for (int i = p; i < targets; i += partitions)
                fleet.push_back(make_vm(i, 8));
            pools.back()->set_fleet(fleet, [](const vm_info&) { return false; });
            for (const auto& vm : fleet)
                pools.back()->find(vm.id)->confirmed = true;
            shares.back()->set_capacity(pools.back()->capacity());
            queues.push_back(std::make_unique<direct_queue>(*pools.back(), *shares.back(), seed));
        }
    }

    std::vector<std::unique_ptr<target_pool>> pools;
    std::vector<std::unique_ptr<fair_share>> shares;
    std::vector<std::unique_ptr<direct_queue>> queues;
};

/// Direct requests at 90 % load on 48 targets divided into partitions, routed by summaries that are up to 500
/// ms old.
void bench_partitioning(unsigned seed) {
    constexpr int targets = 48;
    constexpr double mean_ms = 10;
    std::cout << "partitions,choices,wait_p50_ms,wait_p99_ms,wait_p999_ms,refused\n";
    for (const int partitions : {1, 4, 8, 16}) {
        for (const bool informed : {true, false}) {
            const auto arrivals = make_arrivals(0.9, targets * 8, mean_ms, 200'000, seed);
            partitioned_cell cell{partitions, targets, seed};
            auto& pools = cell.pools;
            auto& queues = cell.queues;
            router routes{seed};
            std::mt19937 random{seed};
            std::vector<double> waits;
            std::size_t refused = 0;
            std::vector<int> placed_in(arrivals.size());
            std::priority_queue<finish_event, std::vector<finish_event>, std::greater<>> ends;
            double next_summary = 0;
            std::uint64_t version = 0;
            const auto at_of = [](double ms) { return epoch + milliseconds{static_cast<std::int64_t>(ms)}; };
            const auto started = [&](std::uint64_t token, double at) {
                waits.push_back(at - arrivals[token].at_ms);
                ends.push({at + arrivals[token].run_ms, token});
            };
            const auto drain = [&](double until) {
                while (!ends.empty() && ends.top().at_ms <= until) {
                    const auto event = ends.top();
                    ends.pop();
                    auto& queue = *queues[static_cast<std::size_t>(placed_in[event.token])];
                    queue.finished(at_of(event.at_ms), event.token, false);
                    refused += queue.take_expired(at_of(event.at_ms)).size();
                    for (const auto& next : queue.start_ready(at_of(event.at_ms)))
                        started(next.token, event.at_ms);
                }
            };
            for (std::size_t i = 0; i < arrivals.size(); ++i) {
                const auto at = arrivals[i].at_ms;
                drain(at);
                if (at >= next_summary) {
                    next_summary = at + 500;
                    ++version;
                    for (int p = 0; p < partitions; ++p) {
                        pb::partition_summary summary;
                        summary.set_partition(p);
                        summary.set_owner("n");
                        summary.set_epoch(1);
                        summary.set_version(version);
                        summary.set_slots(targets * 8 / partitions);
                        summary.set_free_slots(pools[static_cast<std::size_t>(p)]->free_slots());
                        summary.set_free_cpu_milli(1'000'000);
                        summary.set_wait_ms(queues[static_cast<std::size_t>(p)]->expected_wait().count());
                        routes.update_summary(at_of(at), summary);
                    }
                }
                const auto p = informed ? *routes.pick({4000, ""})
                                        : static_cast<int>(random() % static_cast<unsigned>(partitions));
                routes.request_sent(p);
                placed_in[i] = p;
                const direct_request request{i,    arrivals[i].team, "check", {4000, 1024, 0},
                                             10ms, at_of(at + 500)};
                const auto decision = queues[static_cast<std::size_t>(p)]->admit(at_of(at), request);
                if (decision.outcome == direct_outcome::placed)
                    started(i, at);
                else if (decision.outcome == direct_outcome::refused)
                    ++refused;
            }
            drain(1e18);
            std::cout << partitions << "," << (informed ? "two_by_wait" : "random") << ","
                      << percentile(waits, 0.5) << "," << percentile(waits, 0.99) << ","
                      << percentile(waits, 0.999) << "," << refused << "\n";
        }
    }
}

/// Keeps one partition full for a minute and measures how closely three teams get their shares.
void bench_shares(unsigned seed) {
    constexpr int targets = 50;
    partition_options options;
    options.seed = seed;
    partition core{options};
    config_state config;
    std::vector<std::pair<std::string, int>> teams{{"large", 5}, {"middle", 3}, {"small", 2}};
    std::int64_t revision = 0;
    for (const auto& [team, share] : teams) {
        pb::config_change change;
        change.set_revision(++revision);
        change.mutable_put()->set_kind("team");
        change.mutable_put()->set_name(team);
        change.mutable_put()->set_text("[team]\nname = " + team + "\nshare = " + std::to_string(share) +
                                       "\n");
        (void)config.apply(change);
    }
    std::vector<vm_info> fleet;
    fleet.reserve(static_cast<std::size_t>(targets));
    for (int i = 0; i < targets; ++i)
        fleet.push_back(make_vm(i, 8));
    core.set_fleet(fleet, config);
    for (const auto& vm : fleet)
        core.inventory(epoch, {.target = vm.id, .incarnation = "b", .version = 1, .asked = 0, .items = {}});
    core.apply_config(epoch, config, {0});
    std::mt19937 random{seed};
    std::exponential_distribution<double> run{1.0 / 800};
    std::priority_queue<std::pair<double, std::string>, std::vector<std::pair<double, std::string>>,
                        std::greater<>>
        ends;
    std::map<std::string, task_ref> refs;
    std::map<std::string, double> held_time;
    std::map<std::string, int> waiting;
    double held_total = 0;
    int number = 0;
    for (double at = 0; at < 70'000; at += 10) {
        const auto when = epoch + milliseconds{static_cast<std::int64_t>(at)};
        for (const auto& [team, share] : teams) {
            while (waiting[team] < 100) { // every team always has work waiting
                ++waiting[team];
                service_document doc;
                doc.name = "work-" + team;
                doc.kind = work_kind::batch;
                doc.idempotent = true;
                doc.need = {4000, 4096, 0};
                (void)core.submit(when, make_job(doc, team, "r" + std::to_string(number++), 1));
            }
        }
        while (!ends.empty() && ends.top().first <= at) {
            core.start_answered(when, refs[ends.top().second], {start_outcome::done, {}, {}, 1, "b"});
            refs.erase(ends.top().second);
            ends.pop();
        }
        core.tick(when);
        (void)core.take_records(64 << 20);
        core.committed();
        for (const auto& action : core.take_effects(when)) {
            core.start_answered(when, action.task, {start_outcome::running, {}, {}, 1, "b"});
            refs[action.task.to_string()] = action.task;
            ends.emplace(at + run(random), action.task.to_string());
            --waiting[action.task.job_id.substr(0, action.task.job_id.find('/'))];
        }
        (void)core.take_ended();
        (void)core.take_accepted();
        if (at < 10'000)
            continue;
        for (const auto& [team, share] : teams) {
            held_time[team] += static_cast<double>(core.shares().held(team).cpu_milli);
            held_total += static_cast<double>(core.shares().held(team).cpu_milli);
        }
    }
    std::cout << "team,share,got,off_by\n";
    for (const auto& [team, share] : teams) {
        const double got = held_time[team] / held_total;
        std::cout << team << "," << share / 10.0 << "," << got << "," << std::abs(got - share / 10.0) << "\n";
    }
}

/// Fills 50 targets with tasks of mixed sizes until one no longer fits, and measures the fraction of CPU
/// held.
void bench_packing(unsigned seed) {
    std::cout << "policy,seed,cpu_part_held,whole_free_targets_at_half\n";
    for (const bool pack : {true, false}) {
        for (unsigned round = 0; round < 5; ++round) {
            target_pool pool{{.non_bulk_slots = 0}};
            std::vector<vm_info> fleet;
            fleet.reserve(static_cast<std::size_t>(50));
            for (int i = 0; i < 50; ++i)
                fleet.push_back(make_vm(i, 8));
            pool.set_fleet(fleet, [](const vm_info&) { return false; });
            for (const auto& vm : fleet)
                pool.find(vm.id)->confirmed = true;
            std::mt19937 random{seed + round};
            const std::vector<std::int64_t> sizes{4000, 4000, 6000, 8000, 12'000, 16'000};
            std::int64_t held = 0;
            int free_targets_at_half_load = -1;
            const auto whole = pool.capacity().cpu_milli;
            for (;;) {
                const auto size = sizes[random() % sizes.size()];
                const resources need{size, size * 2, 0};
                const auto target = pool.choose(epoch, {.need = need, .pack = pack});
                if (!target)
                    break;
                pool.hold(*target, need);
                held += size;
                if (free_targets_at_half_load < 0 && held * 2 >= whole)
                    free_targets_at_half_load =
                        static_cast<int>(std::ranges::count(pool.all(), 0, &target_view::slots_held));
            }
            std::cout << (pack ? "best_fit" : "spread") << "," << seed + round << ","
                      << static_cast<double>(held) / static_cast<double>(whole) << ","
                      << free_targets_at_half_load << "\n";
        }
    }
}

/// Measures the size of messages and stored records.
void bench_sizes() {
    std::cout << "what,bytes\n";
    pb::gossip message;
    message.set_from("node-000");
    message.set_incarnation(1'800'000'000'000);
    for (int i = 0; i < 9; ++i) {
        auto& member = *message.add_members();
        member.set_id("node-" + std::to_string(100 + i));
        member.set_peer_address("10.100.100.100:8081");
        member.set_data_centre("vernon");
        member.set_incarnation(1'800'000'000'000);
    }
    std::cout << "gossip without partitions," << message.ByteSizeLong() << "\n";
    for (int i = 0; i < 32; ++i) {
        auto& summary = *message.add_partitions();
        summary.set_partition(300 + i);
        summary.set_owner("node-100");
        summary.set_epoch(100'000);
        summary.set_free_cpu_milli(1'000'000);
        summary.set_free_slots(300);
        summary.set_slots(400);
        summary.set_version(1'000'000);
        summary.set_data_centre("vernon");
    }
    std::cout << "gossip with 32 partitions," << message.ByteSizeLong() << "\n";
    service_document doc;
    doc.name = "allocation";
    doc.kind = work_kind::batch;
    doc.need = {1000, 512, 0};
    pb::record accept;
    auto item = make_job(doc, "orchard", "request-000000000001", 1);
    item.set_body(std::string(100, 'x'));
    item.set_digest(std::string(64, 'd'));
    *accept.mutable_accept()->mutable_item() = item;
    std::cout << "accept record with a body of 100," << accept.ByteSizeLong() << "\n";
    pb::record place;
    place.mutable_place()->set_job_id("orchard/request-000000000001");
    place.mutable_place()->set_target("target-00001");
    place.mutable_place()->set_boot("12345678901234567890");
    std::cout << "place record," << place.ByteSizeLong() << "\n";
    pb::record finish;
    finish.mutable_finish()->set_job_id("orchard/request-000000000001");
    finish.mutable_finish()->set_state(pb::task::done);
    finish.mutable_finish()->set_result(std::string(100, 'x'));
    finish.mutable_finish()->set_at_ms(1'800'000'000'000);
    std::cout << "finish record with a result of 100," << finish.ByteSizeLong() << "\n";
    item.clear_body();
    std::cout << "ended job in a snapshot," << item.ByteSizeLong() + 100 << "\n";
    pb::config_change change;
    change.mutable_put()->set_text(std::string(300, 'x'));
    change.set_who("alice");
    std::cout << "config change with a document of 300," << change.ByteSizeLong() << "\n";
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Benchmarks of the scheduling decisions; prints CSV"};
    std::string what;
    unsigned seed = 1;
    app.add_option("what", what, "placement, quick, cut, shares, packing or sizes")->required();
    app.add_option("--seed", seed);
    CLI11_PARSE(app, argc, argv);
    if (what == "placement")
        bench_placement();
    else if (what == "quick")
        bench_direct(seed);
    else if (what == "cut")
        bench_partitioning(seed);
    else if (what == "shares")
        bench_shares(seed);
    else if (what == "packing")
        bench_packing(seed);
    else if (what == "sizes")
        bench_sizes();
    else
        return 2;
    return 0;
}

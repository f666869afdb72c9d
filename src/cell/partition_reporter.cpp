#include "cell/partition_reporter.h"

#include "log.h"

#include <algorithm>
#include <span>

namespace medlarhub {

namespace {

constexpr milliseconds run_time_report_period{5000};
constexpr std::size_t max_shares_reported = 5;
/// Longer waits are logged each second while most of the CPU capacity is free.
constexpr milliseconds reported_wait{3000};
/// A load that another partition reported is used for this long.
constexpr milliseconds max_load_age{5000};
constexpr double milli = 1000;

} // namespace

void partition_reporter::report(instant at, job_engine& engine, const partition_load_details& details) {
    const auto statistics = engine.count();
    const auto text = [](auto number) { return std::to_string(number); };
    log_event(log_level::info, "partition_load",
              {{"partition", text(m_partition)},
               {"epoch", text(details.epoch)},
               {"open_jobs", text(statistics.open_jobs)},
               {"kept_jobs", text(statistics.kept_jobs)},
               {"waiting_tasks", text(statistics.waiting_tasks)},
               {"live_runs", text(statistics.live_runs)},
               {"held_cpu_milli", text(statistics.held_cpu_milli)},
               {"capacity_cpu_milli", text(statistics.capacity_cpu_milli)},
               {"deciding_ms", text(details.deciding.count())},
               {"round_trip_ms", text(details.round_trip.count())},
               {"limiting", details.limiting ? "true" : "false"},
               {"unconfirmed_targets", text(statistics.unconfirmed_targets)},
               {"unconfirmed_jobs", text(statistics.unconfirmed_jobs)},
               {"team_limits", engine.describe_limits()},
               {"callers", text(details.callers)}});
    report_wait(at, engine, statistics);
    report_advice(at, engine);
    report_run_times(at, engine);
    report_shares(engine);
    m_counters.set("open_jobs", static_cast<double>(statistics.open_jobs));
    m_counters.set("waiting_tasks", static_cast<double>(statistics.waiting_tasks));
    m_counters.set("held_cores", static_cast<double>(statistics.held_cpu_milli) / milli);
}

void partition_reporter::report_advice(instant at, job_engine& engine) {
    const auto statistics = engine.take_advice_statistics(at);
    for (const auto& [queue, load] : statistics.queues) {
        log_event(log_level::info, "advice_load",
                  {{"partition", std::to_string(m_partition)},
                   {"nodes", std::to_string(statistics.nodes)},
                   {"nodes_for_brief", std::to_string(statistics.nodes_for_brief)},
                   {"queue", queue},
                   {"requests", std::to_string(load.requests)},
                   {"ms", std::to_string(load.time.count())},
                   {"targets", std::to_string(load.targets)},
                   {"good", std::to_string(load.good)}});
    }
}

void partition_reporter::report_shares(const job_engine& engine) {
    const auto teams = engine.shares_of_teams();
    m_counters.set("teams_at_fair_share", static_cast<double>(teams.size()));
    const auto reported = std::min(teams.size(), max_shares_reported);
    for (const auto& team : std::span{teams}.first(reported)) {
        log_event(log_level::info, "team_share",
                  {{"partition", std::to_string(m_partition)},
                   {"team", team.team},
                   {"weight", std::to_string(team.weight)},
                   {"used", std::to_string(team.used)},
                   {"fair", std::to_string(team.fair)}});
    }
}

void partition_reporter::report_run_times(instant at, const job_engine& engine) {
    if (at < m_next_run_time_report)
        return;
    m_next_run_time_report = at + run_time_report_period;
    for (const auto& errors : engine.errors_of_run_times()) {
        log_event(log_level::info, "run_time_error",
                  {{"partition", std::to_string(m_partition)},
                   {"queue", errors.queue},
                   {"ends", std::to_string(errors.ends)},
                   {"estimate", std::to_string(errors.estimate)},
                   {"prediction", std::to_string(errors.prediction)}});
        m_counters.set("run_time_error_ratio", errors.estimate,
                       {{"queue", errors.queue}, {"source", "estimate"}});
        m_counters.set("run_time_error_ratio", errors.prediction,
                       {{"queue", errors.queue}, {"source", "prediction"}});
    }
}

void partition_reporter::report_wait(instant at, const job_engine& engine,
                                     const job_engine::engine_statistics& statistics) {
    const auto longest = engine.longest_wait(at);
    auto held = statistics.held_cpu_milli;
    auto capacity = statistics.capacity_cpu_milli;
    for (const auto& [partition, other] : m_other_loads) {
        if (at - other.at > max_load_age)
            continue;
        held += other.load.demand_cpu_milli;
        capacity += other.load.capacity_cpu_milli;
    }
    const bool much_free = held * 2 < capacity;
    const bool suspicious = longest && longest->time >= reported_wait && much_free;
    m_counters.set("waits_beside_room", suspicious ? 1 : 0);
    if (!suspicious)
        return;
    log_event(log_level::warning, "waits_beside_room",
              {{"request", longest->job},
               {"partition", std::to_string(m_partition)},
               {"waited", longest->text},
               {"cause", std::string{name_of(longest->cause)}},
               {"held_cpu_milli", std::to_string(held)},
               {"capacity_cpu_milli", std::to_string(capacity)}});
}

} // namespace medlarhub

#pragma once

#include "jobs/engine.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace medlarhub::standin {

/// An in-memory target: checks fencing tokens, shortens leases to a maximum, expires them by its own clock,
/// refuses to start a run that was stopped or has ended, lists ends until they are acknowledged, and keeps
/// its id across restarts.
class job_target {
public:
    struct run_state {
        int number = 0;
        resources held;
        instant started_at{};
        milliseconds work{0};
        std::string saved;
    };

    job_target(std::string id, resources capacity, instant at);

    command_outcome start(instant at, const start_stop_command& command, const resources& need,
                          milliseconds work);
    command_outcome stop(instant at, const start_stop_command& command);
    poll_result poll(instant at, const target_poll_command& command);
    /// Ends runs that are complete or whose lease has expired; `fails` decides whether a complete run has
    /// failed.
    void advance(instant at, const std::function<bool(const std::string& task, int run)>& fails);
    /// When set, polls report no CPU usage, like gang members that wait for others.
    void set_idle(bool idle) { m_idle = idle; }
    /// How many ends one poll returns at most.
    void set_max_listed_ends(std::size_t most) { m_max_listed_ends = most; }
    void set_labels(std::vector<std::string> labels) { m_labels = std::move(labels); }
    /// Simulates a crash: a new incarnation that knows no earlier runs, with a clock that starts there.
    void restart(instant at, std::int64_t clock_start_ms = 0);

    [[nodiscard]] target_entry entry() const;
    /// Its clock, in milliseconds.
    [[nodiscard]] std::int64_t clock(instant at) const {
        return m_clock_start_ms + (at - m_incarnation_start).count();
    }
    [[nodiscard]] const std::map<std::string, run_state>& running() const { return m_running; }
    [[nodiscard]] resources held() const;
    /// Ends that the owner acknowledged in a poll.
    [[nodiscard]] const std::vector<reported_end>& acknowledged() const { return m_acknowledged; }

private:
    [[nodiscard]] bool is_fenced(std::uint64_t epoch);
    void extend_lease(instant at, std::int64_t deadline_ms);
    void end(const std::string& task, end_kind how);

    std::string m_id;
    bool m_idle = false;
    std::vector<std::string> m_labels{"a", "r1"};
    resources m_capacity;
    instant m_incarnation_start;
    std::int64_t m_clock_start_ms = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_deadline_ms = 0;
    std::int64_t m_next_end = 1;
    std::size_t m_max_listed_ends = 500;
    std::map<std::string, run_state> m_running;
    /// Highest run that was stopped or has ended, by task; only later runs may start.
    std::map<std::string, int> m_last_finished_run;
    std::vector<reported_end> m_ended;
    std::vector<reported_end> m_acknowledged;
};

} // namespace medlarhub::standin

#pragma once

#include "jobs/engine.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace medlarhub::standin {

/// A target of the users' platform in memory: fences, leases on its own clock, runs that are barred after a
/// stop, ends that are listed until they are acknowledged, and lives under one id.
class job_target {
public:
    struct run_state {
        int number = 0;
        resources held;
        instant began{};
        milliseconds work{0};
        std::string saved;
    };

    job_target(std::string id, resources capacity, instant at);

    command_outcome start(instant at, const start_stop_command& order, const resources& need,
                          milliseconds work);
    command_outcome stop(instant at, const start_stop_command& order);
    poll_result poll(instant at, const target_poll_command& order);
    /// Lets work end and leases lapse; `fails` says whether a run that is over has failed.
    void advance(instant at, const std::function<bool(const std::string& task, int run)>& fails);
    /// Whether what runs does no work, as members of a gang that wait for others.
    void set_idle(bool idle) { m_idle = idle; }
    /// A crash and a new life: nothing of before is known.
    void restart(instant at);

    [[nodiscard]] target_entry entry() const;
    [[nodiscard]] const std::map<std::string, run_state>& running() const { return m_running; }
    [[nodiscard]] resources held() const;
    /// Ends that were listed in an answered poll and then acknowledged.
    [[nodiscard]] const std::vector<reported_end>& acknowledged() const { return m_acknowledged; }

private:
    [[nodiscard]] std::int64_t clock(instant at) const { return (at - m_born).count(); }
    [[nodiscard]] bool fenced(std::uint64_t epoch);
    void end(const std::string& task, end_kind how);

    std::string m_id;
    bool m_idle = false;
    resources m_capacity;
    instant m_born;
    std::uint64_t m_fence = 0;
    std::int64_t m_deadline_ms = 0;
    std::int64_t m_next_end = 1;
    std::map<std::string, run_state> m_running;
    std::map<std::string, int> m_barred; ///< the highest run stopped or ended, by task
    std::vector<reported_end> m_ended;
    std::vector<reported_end> m_acknowledged;
};

} // namespace medlarhub::standin

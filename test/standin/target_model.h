#pragma once

#include "medlarhub/targets.h"
#include "medlarhub/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarhub::standin {

/// Implements the contract of a target that docs/platform.md describes, without I/O. Callers pass the time;
/// runs end when `advance` reaches their end.
class target_model {
public:
    target_model(vm_info info, std::string incarnation);

    struct start_result {
        std::string outcome; ///< running, done, failed, refused, fenced, never
        std::string result;
        std::uint64_t version = 0;
    };

    /// Runs for `run` (without end when 0) and then returns its body, or fails when `fails` is set.
    start_result start(instant at, const target_authority& authority, const start_command& command,
                       milliseconds run, bool fails);
    /// Returns nothing when the authority is fenced.
    std::optional<target_inventory> poll(instant at, const target_authority& authority, bool renew,
                                         const std::vector<std::string>& acknowledged);
    /// Returns whether the task is stopped; nothing when the authority is fenced.
    std::optional<bool> stop(instant at, const target_authority& authority, const std::string& id);
    /// Settles a start whose outcome is unknown: returns the task's outcome. A task that is unknown here is
    /// marked so that it never runs.
    start_result settle(instant at, const target_authority& authority, const std::string& id);

    /// Ends runs that are over or whose lease has expired by `at`.
    void advance(instant at);
    /// Simulates a VM restart: forgets all tasks and starts a new incarnation.
    void restart(const std::string& incarnation);
    /// Makes every start fail (the fault "fails everything it starts").
    void set_fail_all_starts(bool fail) { m_fail_all_starts = fail; }
    /// Makes polls report the declared memory times `factor` as used.
    void set_usage_factor(double factor) { m_usage_factor = factor; }

    [[nodiscard]] const std::string& incarnation() const { return m_incarnation; }
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::optional<start_result> outcome(const std::string& id) const;
    [[nodiscard]] std::optional<instant> next_event() const;
    [[nodiscard]] int running() const;
    [[nodiscard]] resources used() const;
    [[nodiscard]] std::vector<std::string> running_ids() const;
    /// How often each task was started, over all incarnations.
    [[nodiscard]] const std::map<std::string, int>& executions() const { return m_executions; }
    void forget_direct(const std::string& id);
    [[nodiscard]] const vm_info& info() const { return m_info; }

private:
    struct task {
        std::uint64_t epoch = 0;
        run_state state = run_state::running;
        bool direct = false;
        bool fails = false;
        resources need;
        std::string body;
        milliseconds lease{0};
        instant lease_end{};
        std::optional<instant> run_end;
    };

    bool accept_authority(instant at, const target_authority& authority);
    void end(task& ended, run_state state);

    vm_info m_info;
    std::string m_incarnation;
    std::uint64_t m_version = 1;
    int m_partition = -1;
    std::uint64_t m_epoch = 0;
    instant m_last_contact{};
    std::map<std::string, task> m_tasks;
    std::set<std::string> m_never_run;
    std::map<std::string, int> m_executions;
    bool m_fail_all_starts = false;
    double m_usage_factor = 1;
};

} // namespace medlarhub::standin

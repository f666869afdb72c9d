#pragma once

#include "jobs/cell_config.h"
#include "jobs/task_name.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

enum class run_phase {
    starting,        ///< the order is out or not yet sent
    unknown_outcome, ///< the order's answer was lost: it may run, now or later
    running,
};

/// A run that keeps what it has done when it is stopped may be stopped for more urgent work.
struct preemption_terms {
    int priority = 0; ///< of its queue; 0 is the most urgent
    instant due{};    ///< the latest start with an end that is in time
    milliseconds estimate{0};
};

/// One start of a task at a target, from the order until its end is known.
struct live_run {
    task_name task;
    int number = 0;
    resources held;
    std::string team;
    run_phase phase = run_phase::starting;
    bool start_sent = false;   ///< the start was handed out for sending
    int unanswered_starts = 0; ///< sends of the start that had no answer; each may yet be carried out
    instant placed{};
    instant confirmed{}; ///< when the target said that it runs
    bool stop_wanted = false;
    bool stop_out = false; ///< a stop is on its way
    instant next_stop{};
    instant stop_confirmed{}; ///< from then on the target bars this run
    std::string saved;
    bool worked = false; ///< it was seen at work: it doesn't wait for the others of its gang
    std::optional<preemption_terms> preemption;
};

/// A run that a target reports but that the owner doesn't track. It is stopped, and counts as using its
/// resources until it is gone.
struct orphaned_run {
    task_name task;
    int number = 0;
    std::string team; ///< empty when its job isn't known
    resources held;
    instant next_stop{};
    bool known = false; ///< whether `held` is known; nothing is placed on the target until a run of unknown
                        ///< need is gone
};

/// What the owner knows of one target.
struct target_state {
    target_entry entry;
    bool listed = true;     ///< its entry is in the list
    bool in_roster = false; ///< the written roster names it, so that a later owner looks for tasks there
    bool contacted = false; ///< it answered under this owner's epoch, so its lists are known
    bool suspect = false;   ///< the last poll got no answer
    resources held;
    std::map<std::string, live_run> runs; ///< by the task's text
    std::vector<orphaned_run> orphans;
    std::int64_t clock_ms = 0;      ///< the target's own clock ...
    instant clock_read{};           ///< ... when it was read; unset before the first answer
    std::int64_t granted_ms = 0;    ///< the latest deadline sent, on the target's clock
    std::int64_t acked_upto = 0;    ///< ends the target may forget
    std::int64_t seen_upto = 0;     ///< ends that were taken in
    instant first_contact{};        ///< when it was first heard here
    bool was_idle = false;          ///< at the last poll it ran nothing and listed no end
    std::optional<int> transfer_to; ///< the partition that gets it
    bool transfer_recorded = false; ///< the row that says so was handed out for writing
    bool poll_out = false;
    instant next_poll{};
    instant poll_overdue{};            ///< when a poll that is out should have had its answer
    std::uint64_t latest_answered = 0; ///< the number of the latest poll that was answered
    instant last_answer{};
    int refused_polls = 0;
    int failures_in_row = 0; ///< ends `failed` since the last one that was done
    std::string last_failed_job;
    instant avoid_until{};

    /// The fencing token of commands to the target, which refuses any lower than it has seen. It grows with
    /// each target assignment, and within one assignment with each owner's epoch.
    [[nodiscard]] std::uint64_t fence(std::uint64_t epoch) const;
    [[nodiscard]] resources free() const;
    [[nodiscard]] bool holds_unknown() const;
    [[nodiscard]] std::int64_t clock_at(instant at) const;
    /// By this node's clock, when everything under the latest lease has surely ended there.
    [[nodiscard]] instant lease_expiry() const;
};

/// Whether `need` fits into `free`; unlike a plain comparison nothing has to be free for a need of 0.
bool has_room(const resources& need, const resources& free);
/// How often `need` fits into `free`.
std::int64_t fits_in(const resources& need, const resources& free);

} // namespace medlarhub

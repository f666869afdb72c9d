#pragma once

#include "jobs/cell_config.h"
#include "jobs/engine_messages.h"
#include "jobs/task_name.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

/// Commands of an owner may reach targets this long after they were sent.
constexpr milliseconds max_command_delay{500};
/// The same for commands whose deadline is on the clock of an earlier incarnation, so that a later one takes
/// them whenever they come: a call to a relay, `max_queue_time`, and the longest timeout of a call to a
/// target.
constexpr milliseconds max_outdated_delay{3000};

enum class run_phase {
    starting,        ///< the start command is queued or in flight
    unknown_outcome, ///< the start command got no response: the task may run, now or later
    running,
};

/// When a run may be preempted. Only runs that resume from their saved state have such terms.
struct preemption_terms {
    int priority = 0; ///< of its queue; 0 is the most urgent
    instant due{};    ///< the latest start that still ends in time
    milliseconds estimate{0};
};

/// One run of a task at a target, from the start command until its end is known.
struct live_run {
    task_name task;
    int number = 0;
    resources held;
    std::string team;
    run_phase phase = run_phase::starting;
    bool start_sent = false; ///< the start command was handed out for sending
    /// The incarnation of its target that surely took its start; 0 while that may be a later one than is
    /// known.
    std::uint64_t incarnation = 0;
    bool start_in_flight = false;
    bool start_withdrawn = false;  ///< the start in flight is not to be sent any more, if it still waits
    instant start_sent_at{};       ///< the last one
    std::uint64_t start_fence = 0; ///< of the last one; 0 if an earlier owner started it
    /// When a start was answered, or lost, without telling which incarnation took it; unset once later lists
    /// show that a later incarnation didn't.
    instant unlocated_since{};
    int unanswered_starts = 0; ///< start commands without a response; each may still be carried out
    instant placed_at{};
    instant confirmed_at{}; ///< when the target confirmed that it runs
    instant listed_at{};    ///< when a list of the target last named it
    bool stop_wanted = false;
    bool stop_in_flight = false; ///< a stop command is in flight
    instant next_stop{};
    instant stop_confirmed{}; ///< from then on the target refuses to start this run
    std::string saved_state;
    /// It started before a step that goes before its own under its team's limit.
    bool passed_at_limit = false;
    bool worked = false; ///< it has used resources, so it isn't waiting for the other members of its gang
    std::optional<preemption_terms> preemption;
};

/// For the log: by what the run counts as running, and how old that is.
std::string describe_evidence(instant at, const live_run& run);

/// A run that a target reports but that the owner doesn't track. It is stopped, and counts as using its
/// resources until it is gone.
struct orphaned_run {
    task_name task;
    int number = 0;
    std::string team; ///< empty if its job is unknown
    resources held;
    instant next_stop{};
    /// Whether `held` is known; nothing is placed on the target until a run of unknown need is gone.
    bool need_known = false;
};

/// Clocks of a target, in milliseconds.
struct clock_range {
    std::int64_t least = 0;
    std::int64_t most = 0;
};

/// What the owner knows about one target.
struct target_state {
    target_entry entry;
    bool listed = true; ///< it is in the current list of targets
    /// Counts the incarnations whose lists were read; 0 before the first. The lists, the clock and the
    /// numbers of ends are those of the latest.
    std::uint64_t incarnation = 0;
    std::int64_t listed_born_ms = 0;   ///< when that incarnation started; 0 if not reported
    std::int64_t reported_born_ms = 0; ///< the latest start that its entry told of
    /// Number of the first poll whose answer tells whether the restart that its entry told of has happened.
    std::uint64_t settled_by = 0;
    instant restart_seen{}; ///< when the first lists of a later incarnation were read
    /// How far the fence was raised so that a target refuses commands that were meant for an earlier
    /// incarnation.
    std::uint64_t fence_raised = 0;
    bool fence_due = false;            ///< the next poll is to raise it
    std::uint64_t effective_fence = 0; ///< the highest one of a command that may have an effect
    /// The highest one of such a command that was sent before the latest incarnation was known.
    std::uint64_t outdated_fence = 0;
    /// Whether the latest incarnation has answered a higher one, so that no such command has an effect any
    /// more.
    bool refuses_outdated = true;
    instant outdated_leases_end{}; ///< when leases that such commands may have granted have expired
    int commands_out = 0;          ///< starts and stops without an answer yet
    bool in_roster = false;     ///< it is in the written roster, so that a later owner looks for runs there
    bool contacted = false;     ///< it has answered this owner, so its runs are known
    bool listed_all = false;    ///< it has given this owner a complete list of its runs and ends
    bool partly_listed = false; ///< the lists of its last answer were incomplete
    bool suspect = false;       ///< the last poll failed
    instant suspect_since{};    ///< when the first poll failed since the last answer
    resources held;
    std::map<std::string, live_run> runs; ///< by task name
    std::vector<orphaned_run> orphans;
    std::int64_t clock_ms = 0;      ///< the target's clock when it was last read
    instant clock_read{};           ///< when the clock was read; unset before the first answer
    instant clock_asked{};          ///< when the poll was sent whose answer told the clock
    instant last_grant{};           ///< when a command with a deadline was last sent
    std::int64_t granted_ms = 0;    ///< the latest deadline sent, on the target's clock
    std::int64_t acked_upto = 0;    ///< ends up to this number may be forgotten by the target
    instant acks_withheld_since{};  ///< unset if the last poll carried them
    std::int64_t seen_upto = 0;     ///< ends up to this number were processed
    instant first_contact{};        ///< when it first answered this owner
    bool was_idle = false;          ///< at the last poll it reported no runs and no ends
    std::optional<int> transfer_to; ///< destination partition, if it is being transferred
    bool transfer_recorded = false; ///< the transfer was handed out for writing
    bool poll_in_flight = false;
    std::uint64_t latest_poll = 0; ///< number of the latest poll that was sent
    instant next_poll{};
    instant poll_overdue{};            ///< when the poll in flight counts as unanswered
    std::uint64_t latest_answered = 0; ///< number of the latest poll with an answer
    instant last_answer{};
    int failures_in_row = 0; ///< failures of different jobs since the last success
    std::string last_failed_job;
    instant avoid_until{};

    /// The fencing token of commands to the target, which refuses any lower than it has seen. It grows with
    /// each target assignment, within one assignment with each owner's first epoch, and with each raise.
    [[nodiscard]] std::uint64_t fence(std::uint64_t first_epoch) const;
    [[nodiscard]] resources free() const;
    [[nodiscard]] bool has_run_of_unknown_need() const;
    [[nodiscard]] std::int64_t target_clock_ms(instant at) const;
    /// What the clock of the incarnation whose lists were read last may have shown between two moments;
    /// nothing if that isn't known. Other incarnations have other clocks, which may start anywhere.
    [[nodiscard]] std::optional<clock_range> clock_between(instant from, instant to) const;
    /// Whether the answer to a command that tells this clock is surely one of that incarnation.
    [[nodiscard]] bool is_clock_of_listed(instant sent, instant answered, std::int64_t clock) const;
    /// Whether it is one of another incarnation, that is, off by more than `tolerance`.
    [[nodiscard]] bool is_clock_of_other(instant sent, instant answered, std::int64_t clock,
                                         milliseconds tolerance) const;
    /// Whether an answer is of a later incarnation than the one whose lists were read last.
    [[nodiscard]] bool is_of_later_incarnation(instant sent, const poll_result& result) const;
    /// Whether a later incarnation surely has no ends that nobody read: it would forget them, since it
    /// numbers its ends from 1 again. Starts that are on their way hold this up only for a while.
    [[nodiscard]] bool may_acknowledge(instant at) const;
    /// Whether its next answer may be one of a later incarnation, or commands for an earlier one may still
    /// have an effect.
    [[nodiscard]] bool may_have_restarted() const { return suspect || !is_settled() || !refuses_outdated; }
    /// Whether no restart that its entry told of is still to be settled by its own lists.
    [[nodiscard]] bool is_settled() const { return latest_answered >= settled_by; }
    /// When, by this node's clock, all runs under the latest lease have certainly ended that surely are at
    /// the incarnation whose lists were read last.
    [[nodiscard]] instant lease_expiry() const;
    /// The same for all other runs: a later incarnation took deadlines on that clock for the longest lease.
    [[nodiscard]] instant longest_lease_expiry(milliseconds longest_lease) const;
};

/// For the log: a restart of the target, and what is still open from before it.
std::string describe_restart(instant at, const target_state& target, std::int64_t born_ms);
/// How long a lease may last by this node's clock.
milliseconds lasts_at_most(milliseconds lease);
/// Whether `need` fits into `free`. A need of 0 always fits, even if `free` is negative.
bool has_room(const resources& need, const resources& free);
/// How many times `need` fits into `free`.
std::int64_t fits_in(const resources& need, const resources& free);

} // namespace medlarhub

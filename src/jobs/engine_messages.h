// Commands, polls and rows that the job engine hands out, and the results that are passed back to it.

#pragma once

#include "jobs/cell_config.h"
#include "jobs/id_claims.h"
#include "jobs/task_name.h"

#include "medlarhub/time.h"

#include "jobs.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarhub {

/// How many epochs an owner has recorded as its own at a time.
constexpr std::uint64_t epochs_at_once = 16;

/// How long a command may wait in queues, of its owner and of a relay, before it is sent to its target.
constexpr milliseconds max_queue_time{1000};

enum class command_kind { start, stop };

/// Identifies the start of a run at one target.
struct start_id {
    std::string target;
    task_name task;
    int run = 0;

    friend auto operator<=>(const start_id&, const start_id&) = default;
};

/// A command that starts or stops a run at one target.
struct start_stop_command {
    command_kind kind = command_kind::start;
    std::string target;
    std::string address;
    task_name task;
    int run = 0;
    std::uint64_t fence = 0;
    milliseconds queue_time{max_queue_time}; ///< how much longer it may wait in queues
    // Not sent; they tell the owner how old the answer is:
    instant sent{};
    std::uint64_t incarnation = 0; ///< of the target whose lists were read last when it was sent
    // Only for starts:
    std::string body;
    std::string saved;
    std::string ticket;
    std::int64_t deadline_ms = 0; ///< on the target's clock
};

enum class command_outcome {
    done,
    fenced,     ///< the target has seen a later owner
    superseded, ///< the target has seen this run or a later one of the task
    too_late,   ///< it arrived after its deadline
    no_room,
    bad_ticket,
    other_target, ///< another target, or another incarnation, answers at that address
    unhealthy,    ///< the target can't accept commands
    malformed,
    not_sent, ///< the connection was refused
    lost,     ///< no response: the command may be or have been carried out
    expired,  ///< never sent: it waited in a queue for too long
    withdrawn ///< never sent: its owner took it back
};

/// The result of a start or a stop.
struct command_reply {
    command_outcome outcome = command_outcome::lost;
    std::optional<std::int64_t> clock_ms; ///< the target's clock, if its response tells it
    milliseconds queued{0}; ///< how long it waited before it was sent, or taken out of the queue
};

/// Whether the command was certainly never sent to its target.
constexpr bool is_never_sent(command_outcome outcome) {
    return outcome == command_outcome::expired || outcome == command_outcome::withdrawn;
}

/// The start of the run that the command starts or stops.
inline start_id start_of(const start_stop_command& command) {
    return {command.target, command.task, command.run};
}

struct target_poll_command {
    std::uint64_t number = 0; ///< increases in the order of sending
    std::string target;
    std::string address;
    std::uint64_t fence = 0;
    std::int64_t acked_upto = 0;
    std::optional<std::int64_t> deadline_ms; ///< on the target's clock
    milliseconds wait{0};
};

struct reported_run {
    std::string task;
    int run = 0;
    std::string saved;
    double usage = 0; ///< recent usage in the target's own unit; 0 for a run that waits for its gang
};

enum class end_kind { done, failed, stopped, lease_expired, gang_member_ended, gang_incomplete };

struct reported_end {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    end_kind how = end_kind::failed;
    std::string saved;
};

struct poll_result {
    command_outcome outcome = command_outcome::lost;
    std::int64_t clock_ms = 0;
    std::int64_t born_ms = 0; ///< 0 if not reported
    /// Both lists are whole, so that a run in neither of them is gone or was never started. A target lists
    /// only its first ends when there are many.
    bool complete = false;
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
};

/// Whose job it is.
struct job_origin {
    std::string team; ///< empty: submitted to an open queue without a team's key
    std::string queue;
};

enum class accept_outcome { accepted, known, invalid };

/// A target that is transferred to another partition.
struct target_transfer {
    std::string target;
    target_assignment to;
};

/// Rows to write in one transaction.
struct job_rows {
    struct row {
        std::string job;
        std::optional<std::string> spec;     ///< content to write; none: not written
        std::optional<std::string> progress; ///< content to write; none: not written
        bool drop_spec = false;
        bool drop_progress = false;
    };
    std::vector<row> rows;
    std::optional<std::string> roster;
    std::optional<std::string> silent_targets;
    std::optional<std::string> run_times;
    std::vector<target_transfer> transfers;
    std::vector<id_claims::row> claims;
};

/// A team that can't have all it wants of a full partition, as parts of the capacity.
struct team_share {
    std::string team;
    double weight = 1;
    double used = 0; ///< its dominant share now
    double fair = 0; ///< the dominant share that it is due
};

/// A scheduling decision, for the log.
struct engine_event {
    std::string what;
    std::string job;
    std::string detail;
};

/// Returns the name used in logs.
std::string_view name_of(command_outcome outcome);
std::string_view name_of(end_kind how);

} // namespace medlarhub

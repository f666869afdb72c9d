#pragma once

#include "medlarhub/config.h"
#include "medlarhub/direct_queue.h"
#include "medlarhub/fair_share.h"
#include "medlarhub/target_pool.h"
#include "medlarhub/time.h"

#include "medlarhub.pb.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarhub {

struct partition_options {
    int number = 0;
    std::uint64_t seed = 0;
    milliseconds retention{3'600'000};
    milliseconds lease_expiry_margin{2000};   ///< clock drift allowed between a target and an owner
    milliseconds settle_retry_interval{1000}; ///< between questions about a start whose answer was lost
    milliseconds preempt_after{500};          ///< how long urgent work waits before others make room
    milliseconds failure_backoff{500};        ///< before a failed task runs again, doubled each time
    target_pool_options pool;
};

/// One attempt at one task; its text form is the task's id at the target.
struct task_ref {
    std::string job_id;
    int index = 0;
    int attempt = 0;

    friend auto operator<=>(const task_ref&, const task_ref&) = default;
    [[nodiscard]] std::string to_string() const;
};
std::optional<task_ref> parse_task_ref(std::string_view text);

enum class effect_kind { start, stop, settle, throttle };

/// Something to do at a target, released once the records it rests on are durable.
struct effect {
    effect_kind kind = effect_kind::start;
    task_ref task;
    std::string target;
};

enum class run_state { running, done, failed, stopped };

/// One task in a target's inventory.
struct inventory_item {
    std::string id;
    std::uint64_t epoch = 0;
    run_state state = run_state::running;
    bool direct = false;
    std::string result;
    resources need;
    std::int64_t memory_mb = 0; ///< reported usage
};

struct target_inventory {
    std::string target;
    std::string incarnation;
    std::uint64_t version = 0; ///< grows with every change at the target
    std::uint64_t asked = 0;   ///< the number that `begin_poll` gave the question
    std::vector<inventory_item> items;
};

enum class start_outcome { running, done, failed, refused, lost };

/// What came back for a start or for a question after one.
struct start_answer {
    start_outcome outcome = start_outcome::lost;
    std::string result;
    std::string reason;
    std::uint64_t version = 0;
    std::string incarnation; ///< of the target that answers
};

enum class submit_outcome { accepted, known, conflict, impossible };

/// One partition as its owner sees it: durable jobs, their tasks, the targets of its racks. All changes to
/// durable state are records of the journal; decisions apply a record in memory at once, and what it leads
/// to outside waits until the record is durable. Not safe for concurrent use: the owner locks it.
class partition {
public:
    explicit partition(partition_options options);

    // Journal.
    /// Applies a record read back from the journal.
    void replay(const pb::record& entry, std::uint64_t sequence);
    void restore(const pb::snapshot& from);
    [[nodiscard]] pb::snapshot snapshot(std::uint64_t sequence) const;
    /// Records not yet handed out for writing, up to about `max_bytes`; empty when there are none. Only one
    /// group is out at a time.
    [[nodiscard]] std::vector<pb::record> take_group(std::size_t max_bytes);
    /// The group handed out is durable.
    void committed();
    [[nodiscard]] bool has_uncommitted() const { return !m_pending.empty() || m_group_out; }
    [[nodiscard]] bool has_pending() const { return !m_pending.empty(); }
    /// Whether a caller or a target waits for the records not yet handed out. Others, such as results that
    /// their targets keep, may wait a while and share a later write.
    [[nodiscard]] bool write_awaited() const;
    /// The generation of the records now decided, and the last one that is durable.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }
    [[nodiscard]] std::uint64_t committed_generation() const { return m_committed; }
    /// What may be done now.
    [[nodiscard]] std::vector<effect> take_effects(instant at);
    /// Jobs that ended since the last call and whose end is durable or can be learnt again from a target.
    [[nodiscard]] std::vector<std::string> take_ended();
    /// Jobs whose acceptance became durable since the last call.
    [[nodiscard]] std::vector<std::string> take_accepted();

    // Callers.
    /// Whether the job's first task could start now.
    [[nodiscard]] bool has_capacity(instant at, const pb::job& item) const;
    submit_outcome submit(instant at, const pb::job& item);
    [[nodiscard]] const pb::job* find(const std::string& job_id) const;
    /// True once the record that accepted the job is durable.
    [[nodiscard]] bool durable(const std::string& job_id) const;
    /// Cancels what has not ended; false when there is no such job.
    bool cancel(instant at, const std::string& job_id, bool withdrawn = false);
    /// Withdraws the job if none of its tasks was placed; false when it may have run.
    bool cancel_unplaced(instant at, const std::string& job_id);
    [[nodiscard]] std::vector<pb::job> jobs(const std::string& team, std::size_t most) const;

    // Targets.
    void set_fleet(const std::vector<vm_info>& targets, const config_state& config);
    void inventory(instant at, const target_inventory& seen);
    /// The target's last polls got no answer: it gets no new work until one does.
    void poll_failed(const std::string& target);
    /// The number of this question; an answer to an earlier one than the last answered is ignored.
    std::uint64_t begin_poll(instant at, const std::string& target, bool renewed);
    void start_answered(instant at, const task_ref& task, const start_answer& answer);
    /// The owner did not send the start, because the target was drained meanwhile or ownership is in doubt.
    void start_withheld(instant at, const task_ref& task, std::string_view reason);
    void stop_answered(instant at, const task_ref& task, bool stopped);
    /// Results the target may forget, because their record is durable.
    [[nodiscard]] std::vector<std::string> acknowledgements(const std::string& target) const;
    void acknowledged(const std::string& target, const std::vector<std::string>& ids);

    // Time and configuration.
    void apply_config(instant at, const config_state& config, const std::vector<int>& partitions);
    void set_epoch(std::uint64_t epoch, instant at);
    void tick(instant at);

    // Escrow.
    void set_allotment(const std::string& team, std::optional<std::int64_t> cpu_milli);
    struct demand {
        std::int64_t in_use_cpu_milli = 0;
        std::int64_t waiting_cpu_milli = 0;
    };
    [[nodiscard]] std::map<std::string, demand> demands() const;

    [[nodiscard]] direct_queue& direct() { return m_direct; }
    [[nodiscard]] const target_pool& pool() const { return m_pool; }
    [[nodiscard]] const fair_share& shares() const { return m_shares; }
    [[nodiscard]] std::uint64_t epoch() const { return m_epoch; }
    [[nodiscard]] int number() const { return m_options.number; }
    [[nodiscard]] std::size_t job_count() const { return m_jobs.size(); }
    [[nodiscard]] std::size_t queued_tasks() const;
    [[nodiscard]] std::size_t placed_tasks() const;

private:
    enum class requeue_cause { never_ran, interrupted, failed };
    enum class start_phase { none, unsent, sent, confirmed, recovered, unsettled };

    struct task_state {
        start_phase phase = start_phase::none;
        std::uint64_t version = 0; ///< of the target's inventory when it confirmed the start
        instant since{};
        instant next_settle{};
        instant not_before{};
        bool stopping = false;
        bool preempted = false;
    };

    struct job_state {
        pb::job item;
        std::vector<task_state> tasks;
        std::set<int> queued;
        int open_tasks = 0;
        bool in_queue = false;
        bool is_durable = false;
    };

    struct pending_effect {
        std::uint64_t generation = 0;
        effect action;
    };

    using team_queues = std::map<std::string, std::deque<std::string>>;

    // partition.cpp: records and reconciliation.
    void append_record(pb::record entry);
    void apply(const pb::record& entry, bool replayed);
    void apply_accept(const pb::job& item, bool replayed);
    void apply_place(const pb::placed& entry, bool replayed);
    void apply_finish(const pb::finished& entry);
    void apply_requeue(const pb::requeued& entry);
    void apply_cancel(const pb::cancelled& entry);
    void apply_scale(const pb::scaled& entry);
    void release_target(job_state& job, int index);
    void end_job_if_done(job_state& job, const std::string& job_id, std::int64_t at_ms);
    void release_acks();
    void close_task(job_state& job, int index, pb::task::phase state);
    void enqueue(job_state& job, int index, bool front);
    void add_effect(effect_kind kind, const task_ref& task, const std::string& target);
    job_state* find_state(const std::string& job_id);
    task_state* find_task(const task_ref& task, job_state** job = nullptr);
    void finish(instant at, const task_ref& task, pb::task::phase state, std::string_view result,
                std::string_view reason);
    void requeue(const task_ref& task, std::string_view reason, requeue_cause cause);
    void complete(instant at, const task_ref& task, run_state state, std::string_view result);
    void never_ran(instant at, const task_ref& task, std::string_view reason);
    void handle_interrupted(instant at, const task_ref& task, std::string_view reason);
    void stop_task(job_state& job, int index, bool preempted);
    void check_leases(instant at);
    void forget_old(instant at);

    // partition_schedule.cpp: who runs where.
    void schedule(instant at);
    bool schedule_class(instant at, int priority);
    std::string next_team(const team_queues& queues, const std::set<std::string>& blocked) const;
    job_state* next_job(instant at, std::deque<std::string>& queue);
    bool place_job(instant at, job_state& job);
    bool place_gang(instant at, job_state& job);
    void place_task(instant at, job_state& job, int index, const std::string& target);
    std::optional<std::string> choose_target(instant at, const job_state& job) const;
    bool may_use(instant at, const target_view& target, const job_state& job) const;
    void reserve(instant at, const job_state& job);
    void preempt_for(instant at, const job_state& job);
    void relieve_memory_pressure(instant at);
    void stop_on_drained_targets(instant at);
    [[nodiscard]] instant expected_free(instant at, const target_view& target, const resources& need) const;
    [[nodiscard]] instant expected_end(const task_ref& task) const;

    struct reservation {
        std::string job_id;
        std::map<std::string, instant> targets; ///< with when each is expected to be free
    };

    partition_options m_options;
    std::uint64_t m_epoch = 0;
    instant m_owned_since{};
    std::map<std::string, job_state> m_jobs;
    std::map<std::string, std::set<task_ref>> m_on_target;
    std::map<std::string, instant> m_last_renewal;
    std::map<std::string, std::uint64_t> m_last_inventory;
    std::uint64_t m_last_poll = 0;
    std::map<int, team_queues> m_queues;
    std::map<std::string, double> m_run_ms; ///< observed run time by service, smoothed
    std::optional<reservation> m_reservation;
    std::map<std::string, instant> m_blocked_since; ///< urgent jobs that wait for room

    std::vector<pb::record> m_pending;
    bool m_group_out = false;
    std::uint64_t m_generation = 1; ///< of the records now pending
    std::uint64_t m_committed = 0;
    std::vector<pending_effect> m_effects;
    std::vector<std::pair<std::uint64_t, std::string>> m_ended;
    std::vector<std::pair<std::uint64_t, std::string>> m_accepted;
    std::vector<std::pair<std::uint64_t, std::pair<std::string, std::string>>> m_acks_pending;
    std::map<std::string, std::set<std::string>> m_acks;
    std::deque<std::string> m_ended_order;

    target_pool m_pool;
    fair_share m_shares;
    direct_queue m_direct;
};

/// The id of a job: its team and the caller's request id.
std::string make_job_id(std::string_view team, std::string_view request_id);
bool is_terminal(pb::task::phase state);

/// A job as a service's document declares it, with `tasks` queued tasks.
pb::job make_job(const service_document& doc, const std::string& team, const std::string& request_id,
                 int tasks);

/// How many of a service's replicas a partition keeps.
int replicas_of(const std::string& service, int replicas, int partition, const std::vector<int>& partitions);

} // namespace medlarhub

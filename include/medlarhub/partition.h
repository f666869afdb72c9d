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
    milliseconds lease_expiry_margin{2000};   ///< allowed clock drift between a target and an owner
    milliseconds settle_retry_interval{1000}; ///< between queries about a start without a response
    milliseconds preempt_after{500};          ///< how long urgent work waits before it preempts other work
    milliseconds failure_backoff{500};        ///< before the first retry of a failed task, doubled each time
    target_pool_options pool;
};

/// Identifies one attempt of one task; its text form is the task's id at the target.
struct task_ref {
    std::string job_id;
    int index = 0;
    int attempt = 0;

    friend auto operator<=>(const task_ref&, const task_ref&) = default;
    [[nodiscard]] std::string to_string() const;
};
std::optional<task_ref> parse_task_ref(std::string_view text);

/// `settle` asks a target for the outcome of a start that got no response.
enum class effect_kind { start, stop, settle, throttle };

/// An action at a target, released once the journal records it depends on are durable.
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
    std::uint64_t asked = 0;   ///< number of the poll, from `begin_poll`
    std::vector<inventory_item> items;
};

/// `lost`: there was no response, so the task may or may not have started.
enum class start_outcome { running, done, failed, refused, lost };

/// The response to a start or to a `settle` query about a start.
struct start_answer {
    start_outcome outcome = start_outcome::lost;
    std::string result;
    std::string reason;
    std::uint64_t version = 0;
    std::string incarnation; ///< of the responding target
};

/// `known`: the same request was submitted before; `conflict`: its id was used for a different request;
/// `impossible`: it wouldn't fit on the partition's targets even if they were empty.
enum class submit_outcome { accepted, known, conflict, impossible };

/// The state of one partition at its owner: durable jobs, their tasks and the targets of its racks. Every
/// change to durable state is a journal record. A record is applied in memory immediately; its external
/// effects are held back until it is durable. Not safe for concurrent use: the owner locks it.
class partition {
public:
    explicit partition(partition_options options);

    // Journal.
    /// Applies a record read back from the journal.
    void replay(const pb::record& entry, std::uint64_t sequence);
    void restore(const pb::snapshot& from);
    [[nodiscard]] pb::snapshot snapshot(std::uint64_t sequence) const;
    /// Returns records that are ready to be written, up to about `max_bytes`. Empty when there are none or
    /// while the previous group is still being written.
    [[nodiscard]] std::vector<pb::record> take_records(std::size_t max_bytes);
    /// Marks the group returned by `take_records` as durable.
    void committed();
    /// True while any record isn't durable yet, be it pending or in the group that is being written.
    [[nodiscard]] bool has_uncommitted() const { return !m_pending.empty() || m_group_in_write; }
    /// True while there are records that no group has taken yet.
    [[nodiscard]] bool has_pending() const { return !m_pending.empty(); }
    /// True when a caller or a target waits for pending records. Other records, such as results that targets
    /// keep, may be delayed and batched into a later write.
    [[nodiscard]] bool write_awaited() const;
    /// The generation of the pending records, and the last generation that is durable.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }
    [[nodiscard]] std::uint64_t committed_generation() const { return m_committed; }
    /// Returns the effects whose records are durable, to be carried out now.
    [[nodiscard]] std::vector<effect> take_effects(instant at);
    /// Jobs that ended since the last call and whose end is durable or can be recovered from a target.
    [[nodiscard]] std::vector<std::string> take_ended();
    /// Jobs whose acceptance became durable since the last call.
    [[nodiscard]] std::vector<std::string> take_accepted();

    // Callers.
    /// True when one task of the job could start now.
    [[nodiscard]] bool has_capacity(instant at, const pb::job& item) const;
    submit_outcome submit(instant at, const pb::job& item);
    [[nodiscard]] const pb::job* find(const std::string& job_id) const;
    /// True once the record that accepted the job is durable.
    [[nodiscard]] bool durable(const std::string& job_id) const;
    /// Cancels all tasks that have not ended; false when there is no such job.
    bool cancel(instant at, const std::string& job_id, bool withdrawn = false);
    /// Withdraws the job if none of its tasks was placed; false when it may have run or is unknown.
    bool cancel_unplaced(instant at, const std::string& job_id);
    [[nodiscard]] std::vector<pb::job> jobs(const std::string& team, std::size_t limit) const;

    // Targets.
    void set_fleet(const std::vector<vm_info>& targets, const config_state& config);
    void inventory(instant at, const target_inventory& seen);
    /// Marks a target whose last polls got no response as unresponsive: it gets no new work until it
    /// responds.
    void poll_failed(const std::string& target);
    /// Returns a number for a new poll; responses older than the last one processed are ignored. `renewed`
    /// says whether the poll renews leases.
    std::uint64_t begin_poll(instant at, const std::string& target, bool renewed);
    void start_answered(instant at, const task_ref& task, const start_answer& answer);
    /// Reports that the owner didn't send a start, because the target has been drained since or ownership
    /// could not be confirmed.
    void start_not_sent(instant at, const task_ref& task, std::string_view reason);
    void stop_answered(instant at, const task_ref& task, bool stopped);
    /// Returns the ids of results that the target may discard because their records are durable.
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
    /// `recovered`: known from the journal only, not confirmed by the target since the takeover;
    /// `unknown_outcome`: the start got no response.
    enum class start_phase { none, unsent, sent, confirmed, recovered, unknown_outcome };

    struct task_state {
        start_phase phase = start_phase::none;
        std::uint64_t version = 0; ///< inventory version of the target when it confirmed the start
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

    // partition_schedule.cpp: placement and preemption.
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
        std::map<std::string, instant> targets; ///< with the time when each is expected to be free
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
    std::map<std::string, double> m_run_ms; ///< observed run time by service, moving average
    std::optional<reservation> m_reservation;
    std::map<std::string, instant> m_blocked_since; ///< urgent jobs that wait for capacity

    std::vector<pb::record> m_pending;
    bool m_group_in_write = false;
    std::uint64_t m_generation = 1; ///< of the pending records; raised when a group takes the last of them
    std::uint64_t m_committed = 0;
    std::vector<pending_effect> m_effects;
    std::vector<std::pair<std::uint64_t, std::string>> m_ended;
    std::vector<std::pair<std::uint64_t, std::string>> m_accepted;
    std::vector<std::pair<std::uint64_t, std::pair<std::string, std::string>>> m_acks_pending;
    std::map<std::string, std::set<std::string>> m_acks;
    std::deque<std::string> m_ended_by_time;

    target_pool m_pool;
    fair_share m_shares;
    direct_queue m_direct;
};

/// Returns the id of a job, made of its team and the caller's request id.
std::string make_job_id(std::string_view team, std::string_view request_id);
bool is_terminal(pb::task::phase state);

/// Returns a job as declared by a service's document, with `tasks` queued tasks.
pb::job make_job(const service_document& doc, const std::string& team, const std::string& request_id,
                 int tasks);

/// Returns the number of a service's replicas that run in `partition`.
int replicas_of(const std::string& service, int replicas, int partition, const std::vector<int>& partitions);

} // namespace medlarhub

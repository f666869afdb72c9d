#pragma once

#include "metrics.h"
#include "node/journal.h"

#include "medlarhub/config.h"
#include "medlarhub/partition.h"
#include "medlarhub/platform.h"
#include "medlarhub/settings.h"
#include "medlarhub/targets.h"

#include <functional>
#include <memory>
#include <string>

namespace medlarhub {

/// What a partition's owner uses of its node.
struct host_environment {
    const settings& options;
    target_client& targets;
    table& rows;
    object_store& objects;
    shared_gate& gate;
    metrics& counters;
    std::string writer; ///< this node and its incarnation
    std::function<std::shared_ptr<const config_state>()> config;
    std::function<bool()> config_current;
    /// True when nobody this node hears of reaches the store and it hears more than half of the nodes, so
    /// that no other node can have taken a partition over.
    std::function<bool()> shared_outage;
};

/// What a team holds in a partition, and what it may hold there when it has an upper limit.
struct team_holding {
    std::int64_t held_cpu_milli = 0;
    std::optional<std::int64_t> allotted_cpu_milli;
};

enum class host_status { recovering, active, releasing, closed };

using answer_callback = std::function<void(pb::answer)>;

/// Runs one owned partition: its lock, its journal's thread, its calls to targets, its waiting callers.
class partition_host {
public:
    partition_host(host_environment environment, int partition);
    ~partition_host();
    partition_host(const partition_host&) = delete;
    partition_host& operator=(const partition_host&) = delete;

    /// Begins the takeover: journal, takeover record, claim of the targets.
    void start();
    void set_fleet(const std::vector<vm_info>& targets);
    void config_changed();
    /// Deadlines, scheduling and polls; called every few milliseconds.
    void tick(instant at);

    /// Durable work.
    void submit(const pb::call& call, answer_callback done);
    /// A quick idempotent request.
    void run(const pb::call& call, answer_callback done);
    void ask(const pb::call& call, answer_callback done);
    void cancel(const pb::call& call, answer_callback done);
    [[nodiscard]] std::vector<pb::job> jobs(const std::string& team, std::size_t most) const;

    /// Hands the partition over: takes nothing new, makes what is decided durable, records the release.
    /// `done` gets false when the store didn't take the record in time.
    void release(std::function<void(bool)> done);
    /// Ends without a release; what was not durable is answered as unknown.
    void stop();

    [[nodiscard]] host_status status() const;
    [[nodiscard]] pb::partition_summary summary() const;
    [[nodiscard]] std::map<std::string, partition::demand> demands() const;
    void set_allotment(const std::string& team, std::optional<std::int64_t> cpu_milli);
    /// True once every listed target was claimed, or long enough has passed for an earlier owner's work to
    /// have lapsed; before that nothing of an allotment may be given back.
    [[nodiscard]] bool is_usage_known(instant at) const;
    [[nodiscard]] int number() const;
    /// Counts for `status`: jobs, queued and placed tasks, targets by state.
    [[nodiscard]] std::map<std::string, std::int64_t> counts() const;
    [[nodiscard]] std::map<std::string, team_holding> teams() const;
    [[nodiscard]] std::vector<target_view> targets() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

/// An answer with an outcome and a reason.
pb::answer make_answer(pb::answer::outcome outcome, std::string_view reason, milliseconds retry_after = {});

} // namespace medlarhub

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

/// The node's services that a partition_host uses.
struct host_environment {
    const settings& options;
    target_client& targets;
    table& rows;
    object_store& objects;
    shared_write_limiter& write_limiter;
    metrics& counters;
    std::string writer; ///< node id and incarnation; identifies this process in journal rows
    std::function<std::shared_ptr<const config_state>()> config;
    std::function<bool()> config_current;
};

/// A team's CPU use in a partition, and its allotment there when the team has a limit.
struct team_holding {
    std::int64_t held_cpu_milli = 0;
    std::optional<std::int64_t> allotted_cpu_milli;
};

enum class host_status { recovering, active, releasing, closed };

using answer_callback = std::function<void(pb::answer)>;

/// Runs one owned partition: serialises access to its state, writes its journal on a thread of its own,
/// calls its targets and answers its waiting callers.
class partition_host {
public:
    partition_host(host_environment environment, int partition);
    ~partition_host();
    partition_host(const partition_host&) = delete;
    partition_host& operator=(const partition_host&) = delete;

    /// Starts the takeover: loads the journal, appends a takeover record, then claims the targets.
    void start();
    void set_fleet(const std::vector<vm_info>& targets);
    void config_changed();
    /// Checks deadlines, schedules work and polls targets; called every few milliseconds.
    void tick(instant at);

    /// Submits durable work, which is recorded in the journal.
    void submit(const pb::call& call, answer_callback done);
    /// Runs a quick idempotent request, which is not recorded.
    void run(const pb::call& call, answer_callback done);
    /// Answers with the state of submitted work, or its outcome once it has ended.
    void query(const pb::call& call, answer_callback done);
    void cancel(const pb::call& call, answer_callback done);
    [[nodiscard]] std::vector<pb::job> jobs(const std::string& team, std::size_t limit) const;

    /// Releases the partition: refuses new calls, writes the pending records and then a release record.
    /// `done` gets false when the release record was not written in time.
    void release(std::function<void(bool)> done);
    /// Stops without a release record; waiting callers are answered `not_owner`.
    void stop();

    [[nodiscard]] host_status status() const;
    [[nodiscard]] pb::partition_summary summary() const;
    [[nodiscard]] std::map<std::string, partition::demand> demands() const;
    void set_allotment(const std::string& team, std::optional<std::int64_t> cpu_milli);
    /// Returns true once every listed target is claimed, or once the leases of all work that an earlier owner
    /// started must have expired. Until then the usage is unknown and no allotment may be reduced.
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

/// Makes an answer with an outcome and a reason.
pb::answer make_answer(pb::answer::outcome outcome, std::string_view reason, milliseconds retry_after = {});

} // namespace medlarhub

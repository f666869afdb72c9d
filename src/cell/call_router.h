#pragma once

#include "cell/call_batcher.h"
#include "cell/owned_partition.h"
#include "metrics.h"

#include "jobs.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace medlarhub {

/// Where partitions are, as a router asks it. Answers without waiting.
class owner_lookup {
public:
    owner_lookup() = default;
    owner_lookup(const owner_lookup&) = delete;
    owner_lookup& operator=(const owner_lookup&) = delete;
    virtual ~owner_lookup() = default;

    /// The partition if this node owns it or is about to; null otherwise.
    [[nodiscard]] virtual std::shared_ptr<owned_partition> local_partition(int number) const = 0;
    /// The peer address of the node that owns it elsewhere; empty when none is known.
    [[nodiscard]] virtual std::string remote_owner(int number) const = 0;
};

/// Brings callers' calls to the owners of their partitions. The calls are idempotent by the job's id, so that
/// one whose answer was lost, or whose owner was replaced, is sent again. Safe from any thread.
class call_router : public std::enable_shared_from_this<call_router> {
public:
    call_router(const owner_lookup& owners, call_batcher::sender send, metrics& counters);

    /// Answers once, at the latest when the call's timeout has passed.
    void call(pb::job_call call, job_callback done);
    /// Asks all partitions: for the sum of what is pending, or for the one that knows the job. Without the
    /// answer of one, answers as that one.
    void call_all(pb::job_call call, int partitions, job_callback done);
    /// Sends what was out to the owner before to the new one.
    void owner_changed(int partition);
    /// Sends on the calls that wait for an owner; to be called each `tick_period`.
    void tick(instant at);

    /// Answers a message of calls from another node, once all of them are answered.
    void answer_peer(const pb::job_calls& calls, std::function<void(pb::job_answers)> done) const;

private:
    struct routed_call;
    using call_pointer = std::shared_ptr<routed_call>;

    void route(const call_pointer& routed);
    void forward(const call_pointer& routed, const std::string& address, pb::job_call call);
    void answered(const call_pointer& routed, const pb::job_answer& answer);
    void retry_later(const call_pointer& routed);
    void give_up(const call_pointer& routed);

    const owner_lookup& m_owners;
    metrics& m_counters;
    std::shared_ptr<call_batcher> m_queries;
    std::shared_ptr<call_batcher> m_changes;
    std::mutex m_mutex;                                ///< guards all that follows
    std::map<int, std::set<call_pointer>> m_forwarded; ///< by partition, without an answer yet
    std::multimap<instant, call_pointer> m_delayed;
};

} // namespace medlarhub

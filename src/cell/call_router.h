#pragma once

#include "cell/call_batcher.h"
#include "cell/owned_partition.h"
#include "metrics.h"

#include "jobs.pb.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace medlarhub {

/// Tells a router which node owns a partition. Never blocks.
class owner_lookup {
public:
    owner_lookup() = default;
    owner_lookup(const owner_lookup&) = delete;
    owner_lookup& operator=(const owner_lookup&) = delete;
    virtual ~owner_lookup() = default;

    /// Returns the partition if this node owns it or is taking it over; null otherwise.
    [[nodiscard]] virtual std::shared_ptr<owned_partition> local_partition(int number) const = 0;
    /// Returns the peer address of the other node that owns the partition; empty if none is known.
    [[nodiscard]] virtual std::string remote_owner(int number) const = 0;
    /// Whether a node may become the owner of an ownerless partition within the time of a takeover.
    [[nodiscard]] virtual bool expects_owners() const { return true; }
};

/// Routes callers' calls to the owners of their partitions. Calls are idempotent by job id, so a call that
/// got no response, or whose owner was replaced, is retried. Thread-safe.
class call_router : public std::enable_shared_from_this<call_router> {
public:
    call_router(const owner_lookup& owners, call_batcher::sender send, metrics& counters);

    /// Invokes `done` exactly once, at the latest when the call's timeout expires.
    void call(pb::job_call call, job_callback done);
    /// Sends the call to all partitions and merges their answers: the sum of pending jobs, or the answer of
    /// the partition that knows the job. If a partition fails to answer, the result is that failure, unless
    /// another one knows the job.
    void call_all(pb::job_call call, int partitions, job_callback done);
    /// Resends calls that the previous owner hasn't answered to the new owner.
    void owner_changed(int partition);
    /// Retries the calls that wait for an owner; to be called every `tick_period`.
    void tick(instant at);
    /// Answers all calls without an answer, and later ones at once: as not run if no owner can have received
    /// them, else as unknown.
    void give_up_all();

    /// Serves a batch of calls from another node; replies once all of them are answered.
    void answer_peer(const pb::job_calls& calls, std::function<void(pb::job_answers)> done) const;

private:
    struct routed_call;
    using call_pointer = std::shared_ptr<routed_call>;

    void route(const call_pointer& routed);
    void forward(const call_pointer& routed, const std::string& address, pb::job_call call);
    void answered(const call_pointer& routed, const pb::job_answer& answer);
    void retry_later(const call_pointer& routed);
    void give_up(const call_pointer& routed, std::string_view reason);
    /// Passes the answer on, unless the call was answered before.
    void finish(const call_pointer& routed, const pb::job_answer& answer);
    [[nodiscard]] bool is_open(const call_pointer& routed);

    const owner_lookup& m_owners;
    metrics& m_counters;
    std::shared_ptr<call_batcher> m_queries;
    std::shared_ptr<call_batcher> m_changes;
    std::atomic<bool> m_gave_up{false};
    std::mutex m_mutex;                                ///< guards the members below
    std::set<call_pointer> m_open;                     ///< without an answer
    std::map<int, std::set<call_pointer>> m_forwarded; ///< by partition, not answered yet
    std::multimap<instant, call_pointer> m_delayed;
};

} // namespace medlarhub

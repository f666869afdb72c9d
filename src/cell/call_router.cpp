#include "cell/call_router.h"

#include "log.h"

#include <algorithm>
#include <atomic>
#include <utility>

namespace medlarhub {

namespace {

using namespace std::chrono_literals;

constexpr milliseconds reroute_delay{40};
constexpr milliseconds default_retry{500};
/// How long a call without a known owner is retried: about the duration of a takeover.
constexpr milliseconds owner_search_timeout{1200};
/// Maximum number of unanswered messages per owner, for read-only queries and for calls that change state.
constexpr int max_queries_in_flight = 1;
constexpr int max_changes_in_flight = 64;

bool is_query(const pb::job_call& call) {
    return call.what() == pb::job_call::state || call.what() == pb::job_call::count_pending ||
           call.what() == pb::job_call::holds;
}

/// Adds one partition's count to the sum; if any partition fails, the failure is the result.
void merge_count(pb::job_answer& sum, const pb::job_answer& answer) {
    if (sum.result() != pb::job_answer::ok)
        return;
    const auto pending = sum.pending() + answer.pending();
    sum = answer;
    sum.set_pending(pending);
}

/// Merges lookups: an answer from the partition that knows the job takes precedence over a failure, and a
/// failure over `not_found`.
void merge_lookup(pb::job_answer& found, const pb::job_answer& answer) {
    const bool failed = found.result() != pb::job_answer::not_found;
    if (found.result() == pb::job_answer::ok || answer.result() == pb::job_answer::not_found)
        return;
    if (!failed || answer.result() == pb::job_answer::ok)
        found = answer;
}

} // namespace

struct call_router::routed_call {
    pb::job_call call;
    job_callback done;
    instant deadline{};
    instant owner_search_deadline{}; ///< applies while no owner can have received the call
    std::atomic<bool> maybe_recorded = false;
    std::atomic<bool> at_owner = false; ///< an owner has it and hasn't answered
    int attempt = 0;                    ///< current attempt; answers to earlier ones are ignored
};

call_router::call_router(const owner_lookup& owners, call_batcher::sender send, metrics& counters)
    : m_owners{owners}, m_counters{counters}, m_queries{std::make_shared<call_batcher>(
                                                  send, max_queries_in_flight)},
      m_changes{std::make_shared<call_batcher>(std::move(send), max_changes_in_flight)} {}

void call_router::call(pb::job_call call, job_callback done) {
    const auto made = std::make_shared<routed_call>();
    made->deadline = now() + milliseconds{call.timeout_ms()};
    made->owner_search_deadline = std::min(made->deadline, now() + owner_search_timeout);
    made->call = std::move(call);
    made->done = std::move(done);
    {
        const std::lock_guard lock{m_mutex};
        m_open.insert(made);
    }
    route(made);
}

void call_router::call_all(pb::job_call call, int partitions, job_callback done) {
    struct collected {
        std::mutex mutex;
        pb::job_answer sum;
        int missing = 0;
    };
    const auto all = std::make_shared<collected>();
    all->missing = partitions;
    const auto add = call.what() == pb::job_call::count_pending ? merge_count : merge_lookup;
    all->sum.set_result(add == merge_count ? pb::job_answer::ok : pb::job_answer::not_found);
    for (int number = 0; number < partitions; ++number) {
        call.set_partition(number);
        this->call(call, [all, done, add](const pb::job_answer& answer) {
            {
                const std::lock_guard lock{all->mutex};
                add(all->sum, answer);
                if (--all->missing > 0)
                    return;
            }
            done(all->sum);
        });
    }
}

void call_router::route(const call_pointer& routed) {
    if (!is_open(routed))
        return;
    if (m_gave_up)
        return give_up(routed, "the node is stopping");
    const auto left = routed->deadline - now();
    if (left <= 0ms)
        return give_up(routed, "the owner was not reached in time");
    auto call = routed->call;
    call.set_timeout_ms(left.count());
    const int number = call.partition();
    if (const auto local = m_owners.local_partition(number);
        local && local->status() == partition_status::active) {
        routed->at_owner = true;
        local->call(call, [self = shared_from_this(), routed](const pb::job_answer& answer) {
            self->answered(routed, answer);
        });
        return;
    }
    const auto address = m_owners.remote_owner(number);
    if (address.empty())
        return retry_later(routed);
    forward(routed, address, std::move(call));
}

void call_router::forward(const call_pointer& routed, const std::string& address, pb::job_call call) {
    const int number = call.partition();
    int attempt = 0;
    {
        const std::lock_guard lock{m_mutex};
        attempt = ++routed->attempt;
        m_forwarded[number].insert(routed);
    }
    routed->at_owner = true;
    auto& batcher = is_query(call) ? m_queries : m_changes;
    batcher->add(address, std::move(call),
                 [self = shared_from_this(), routed, number, attempt](peer_delivery delivery,
                                                                      const pb::job_answer& answer) {
                     {
                         const std::lock_guard lock{self->m_mutex};
                         if (routed->attempt != attempt)
                             return;
                         self->m_forwarded[number].erase(routed);
                     }
                     if (delivery == peer_delivery::answered)
                         return self->answered(routed, answer);
                     if (delivery == peer_delivery::lost)
                         routed->maybe_recorded = true;
                     routed->at_owner = false;
                     self->retry_later(routed);
                 });
}

void call_router::answered(const call_pointer& routed, const pb::job_answer& answer) {
    routed->at_owner = false;
    if (answer.result() == pb::job_answer::not_owner)
        return retry_later(routed);
    if (answer.result() == pb::job_answer::not_run && routed->maybe_recorded)
        return give_up(routed, "refused after an attempt without an answer");
    finish(routed, answer);
}

void call_router::finish(const call_pointer& routed, const pb::job_answer& answer) {
    {
        const std::lock_guard lock{m_mutex};
        if (m_open.erase(routed) == 0)
            return;
    }
    routed->done(answer);
}

bool call_router::is_open(const call_pointer& routed) {
    const std::lock_guard lock{m_mutex};
    return m_open.contains(routed);
}

void call_router::retry_later(const call_pointer& routed) {
    if (!m_owners.expects_owners())
        return give_up(routed, "all nodes that are known are leaving");
    const auto until = routed->maybe_recorded ? routed->deadline : routed->owner_search_deadline;
    if (now() + reroute_delay >= until)
        return give_up(routed, "the owner was not reached in time");
    const std::lock_guard lock{m_mutex};
    m_delayed.emplace(now() + reroute_delay, routed);
}

void call_router::give_up(const call_pointer& routed, std::string_view reason) {
    const bool submit = routed->call.what() == pb::job_call::submit;
    const bool maybe_recorded = routed->maybe_recorded || routed->at_owner;
    m_counters.count("calls_given_up_total");
    log_event(log_level::info, "call_given_up",
              {{"request", routed->call.id()},
               {"maybe_recorded", maybe_recorded ? "true" : "false"},
               {"reason", std::string{reason}}});
    finish(routed,
           make_job_answer(submit && !maybe_recorded ? pb::job_answer::not_run : pb::job_answer::unknown,
                           reason, default_retry));
}

void call_router::give_up_all() {
    m_gave_up = true;
    std::vector<call_pointer> open;
    {
        const std::lock_guard lock{m_mutex};
        open.assign(m_open.begin(), m_open.end());
    }
    for (const auto& each : open)
        give_up(each, "the node is stopping");
}

void call_router::owner_changed(int partition) {
    const std::lock_guard lock{m_mutex};
    for (const auto& routed : std::exchange(m_forwarded[partition], {})) {
        ++routed->attempt;
        routed->maybe_recorded = true;
        routed->at_owner = false;
        m_delayed.emplace(instant{}, routed);
    }
}

void call_router::tick(instant at) {
    std::vector<call_pointer> due;
    {
        const std::lock_guard lock{m_mutex};
        const auto end = m_delayed.upper_bound(at);
        for (auto it = m_delayed.begin(); it != end; ++it)
            due.push_back(it->second);
        m_delayed.erase(m_delayed.begin(), end);
    }
    for (const auto& each : due)
        route(each);
}

void call_router::answer_peer(const pb::job_calls& calls, std::function<void(pb::job_answers)> done) const {
    struct collected {
        std::mutex mutex;
        pb::job_answers answers;
        int missing = 0;
    };
    const auto all = std::make_shared<collected>();
    all->missing = calls.calls_size();
    for (int i = 0; i < calls.calls_size(); ++i)
        all->answers.add_answers();
    if (all->missing == 0)
        return done({});
    for (int i = 0; i < calls.calls_size(); ++i) {
        const auto take = [all, i, done](const pb::job_answer& answer) {
            {
                const std::lock_guard lock{all->mutex};
                *all->answers.mutable_answers(i) = answer;
                if (--all->missing > 0)
                    return;
            }
            done(std::move(all->answers));
        };
        if (const auto local = m_owners.local_partition(calls.calls(i).partition()))
            local->call(calls.calls(i), take);
        else
            take(make_job_answer(pb::job_answer::not_owner, "not the owner", default_retry));
    }
}

} // namespace medlarhub

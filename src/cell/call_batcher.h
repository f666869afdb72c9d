#pragma once

#include "cell/owned_partition.h"
#include "peers/delivery.h"

#include "jobs.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace medlarhub {

/// Batches calls to the same owner while earlier messages to it are in flight, so that an overloaded owner
/// receives fewer and larger messages. Needed because the load grows with the backlog: clients poll the state
/// of every unfinished job. Thread-safe.
class call_batcher : public std::enable_shared_from_this<call_batcher> {
public:
    using callback = std::function<void(peer_delivery, const pb::job_answer&)>;
    using sender = std::function<void(const std::string& address, const pb::job_calls& calls,
                                      milliseconds timeout, peer_callback<pb::job_answers> done)>;

    /// Keeps at most `max_in_flight` unanswered messages per owner.
    call_batcher(sender send, int max_in_flight);

    void add(const std::string& address, pb::job_call call, callback done);

private:
    struct waiting_call {
        pb::job_call call;
        callback done;
    };
    struct lane {
        std::vector<waiting_call> waiting;
        int in_flight = 0;
    };

    void send_next(const std::string& address);

    sender m_send;
    int m_max_in_flight;
    std::mutex m_mutex;
    std::map<std::string, lane> m_lanes; ///< by address
};

} // namespace medlarhub

#pragma once

#include "cell/call_router.h"
#include "peers/delivery.h"

#include "jobs.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace medlarhub {

/// Moves idle targets to partitions that lack capacity: requests targets from the owners of other partitions,
/// serves their requests, and repeats notices of completed transfers until they are confirmed. Thread-safe.
class target_exchange {
public:
    struct peer_calls {
        std::function<void(const std::string& address, const pb::target_request&,
                           peer_callback<pb::target_promise>)>
            request;
        std::function<void(const std::string& address, const pb::target_notice&,
                           peer_callback<pb::target_notice_reply>)>
            announce;
    };

    target_exchange(const owner_lookup& owners, peer_calls calls, std::uint64_t seed);

    /// To be called every `tick_period` with the partitions that this node owns.
    void tick(instant at, int partitions, const std::map<int, std::shared_ptr<owned_partition>>& owned);
    void announce(instant at, const std::vector<target_transfer>& transfers);

    [[nodiscard]] pb::target_promise answer(const pb::target_request& request) const;
    /// Passes the notice to its partition; while this node doesn't own that, ignores the notice and says so
    /// in the reply.
    [[nodiscard]] pb::target_notice_reply handle_notice(const pb::target_notice& notice) const;

private:
    struct pending_notice {
        pb::target_notice notice;
        instant next{};
        instant expires{}; ///< by then a new owner has read the rows
    };

    void ask(int from, const std::shared_ptr<owned_partition>& requester, pb::target_request request);
    void send_notices(instant at);
    void confirm_notice(std::uint64_t number);

    const owner_lookup& m_owners;
    const peer_calls m_peers;
    std::mutex m_mutex; ///< guards the members below
    std::mt19937_64 m_random;
    std::map<int, instant> m_next_request; ///< by partition that lacks capacity
    std::map<std::uint64_t, pending_notice> m_notices;
    std::uint64_t m_last_notice = 0;
};

} // namespace medlarhub

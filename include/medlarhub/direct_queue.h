#pragma once

#include "medlarhub/fair_share.h"
#include "medlarhub/target_pool.h"
#include "medlarhub/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarhub {

/// A direct request: an idempotent request that occupies a slot for milliseconds and is never written to the
/// journal.
struct direct_request {
    std::uint64_t token = 0;
    std::string team;
    std::string service;
    resources need;
    milliseconds run_estimate{50};
    instant deadline{};
};

enum class direct_outcome { placed, queued, refused };

struct direct_decision {
    direct_outcome outcome = direct_outcome::refused;
    std::string target; ///< when placed
    std::string reason; ///< when refused
    milliseconds retry_after{0};
};

struct direct_start {
    std::uint64_t token = 0;
    std::string target;
};

/// Admission control and queue for direct requests. A request that cannot meet its deadline is refused on
/// arrival, with the time until the queue is expected to have drained as `retry_after`.
class direct_queue {
public:
    direct_queue(target_pool& pool, fair_share& shares, std::uint64_t seed);

    direct_decision admit(instant at, const direct_request& request);
    /// Releases the request's slot. `failed` counts towards the ejection of the target.
    void finished(instant at, std::uint64_t token, bool failed);
    /// Releases the slot of a request that the target refused, so that it did not run. Doesn't count as a
    /// failure of the target.
    void refused(instant at, std::uint64_t token);

    /// Reserves targets for queued requests that fit now, and removes them from the queue.
    [[nodiscard]] std::vector<direct_start> start_ready(instant at);
    /// Removes queued requests that cannot meet their deadline any more, and returns their tokens. They have
    /// not run.
    [[nodiscard]] std::vector<std::uint64_t> take_expired(instant at);

    /// Empties the queue and returns the tokens of its requests, which the partition's next owner will serve.
    [[nodiscard]] std::vector<std::uint64_t> take_queued();

    /// Estimates how long a request that arrives now would wait.
    [[nodiscard]] milliseconds expected_wait() const;
    [[nodiscard]] std::size_t waiting() const { return m_waiting; }
    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    [[nodiscard]] std::int64_t waiting_cpu(const std::string& team) const;

private:
    struct running_request {
        direct_request request;
        std::string target;
        instant started;
    };

    std::optional<std::string> start(instant at, const direct_request& request);
    std::optional<running_request> remove_running(std::uint64_t token);
    [[nodiscard]] milliseconds run_estimate(const direct_request& request) const;
    [[nodiscard]] std::string next_team(const std::map<std::string, bool>& blocked) const;

    target_pool& m_pool;
    fair_share& m_shares;
    std::mt19937_64 m_random;
    std::map<std::string, std::deque<direct_request>> m_queues;
    std::size_t m_waiting = 0;
    std::unordered_map<std::uint64_t, running_request> m_running;
    std::map<std::string, double> m_observed_ms; ///< run time by service, moving average
    double m_mean_ms = 0;                        ///< run time over all services, moving average
};

} // namespace medlarhub

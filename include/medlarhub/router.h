#pragma once

#include "medlarhub/time.h"

#include "medlarhub.pb.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace medlarhub {

/// An entry node's view of one partition, from gossip and from the requests it sent there.
struct partition_view {
    pb::partition_summary summary;
    instant received_at{};
    std::int64_t sent_since_summary = 0; ///< requests sent to it since its summary was received
};

struct route_need {
    std::int64_t cpu_milli = 0;
    std::string data_centre; ///< where the entry node is
};

/// Selects a partition for a request that may run anywhere, and knows the owner of each partition.
class router {
public:
    explicit router(std::uint64_t seed);

    /// Stores a summary unless it has an older epoch, or the same epoch and no newer version.
    void update_summary(instant at, const pb::partition_summary& summary);
    /// Removes partitions that aren't in `partitions`, because the configuration no longer has them.
    void keep_only(const std::vector<int>& partitions);

    /// Returns the better of two randomly chosen partitions, by expected wait and distance; never `avoid`.
    [[nodiscard]] std::optional<int> pick(const route_need& need, std::optional<int> avoid = {});
    void request_sent(int partition);

    [[nodiscard]] std::optional<partition_view> find(int partition) const;
    [[nodiscard]] std::string owner(int partition) const;
    /// Returns summaries to gossip: all of them, or `limit` chosen at random.
    [[nodiscard]] std::vector<pb::partition_summary> summaries(std::size_t limit);

private:
    [[nodiscard]] double cost(const partition_view& view, const route_need& need) const;

    std::mt19937_64 m_random;
    std::map<int, partition_view> m_views;
};

/// Returns the partition that stores a durable request; every entry node computes the same one.
std::optional<int> home_partition(const std::vector<int>& partitions, const std::string& team,
                                  const std::string& request_id);

} // namespace medlarhub

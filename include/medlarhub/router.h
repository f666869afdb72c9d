#pragma once

#include "medlarhub/time.h"

#include "medlarhub.pb.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace medlarhub {

/// What an entry node knows of one partition, from gossip and from its own sends.
struct partition_view {
    pb::partition_summary summary;
    instant received_at{};
    std::int64_t sent_since_summary = 0; ///< requests sent there since the summary was made
};

struct route_need {
    std::int64_t cpu_milli = 0;
    std::string data_centre; ///< where the entry node is
};

/// Picks the partition for a request that may run anywhere, and the owner for one that may not.
class router {
public:
    explicit router(std::uint64_t seed);

    /// Takes in a summary; an older version or epoch is ignored.
    void update_summary(instant at, const pb::partition_summary& summary);
    /// Drops partitions that the configuration no longer has.
    void keep_only(const std::vector<int>& partitions);

    /// The better of two partitions drawn at random, by expected wait and distance; `avoid` is left out.
    [[nodiscard]] std::optional<int> pick(const route_need& need, std::optional<int> avoid = {});
    void request_sent(int partition);

    [[nodiscard]] std::optional<partition_view> find(int partition) const;
    [[nodiscard]] std::string owner(int partition) const;
    /// Summaries to pass on: those of `self` and some of the others.
    [[nodiscard]] std::vector<pb::partition_summary> summaries(std::size_t most);

private:
    [[nodiscard]] double cost(const partition_view& view, const route_need& need) const;

    std::mt19937_64 m_random;
    std::map<int, partition_view> m_views;
};

/// The partition that keeps the record of a durable request: the same from every entry node.
std::optional<int> home_partition(const std::vector<int>& partitions, const std::string& team,
                                  const std::string& request_id);

} // namespace medlarhub

#pragma once

#include "cell/target_assignments.h"
#include "jobs/engine.h"

#include "medlarhub/platform.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

/// Returns the node part of an owner's name, `node/incarnation`.
std::string node_of(const std::string& owner);
/// Returns the incarnation part of an owner's name; nothing if it is missing or malformed.
std::optional<std::uint64_t> incarnation_of(const std::string& owner);

enum class row_outcome {
    written,
    ownership_lost, ///< another node has taken the partition over
    unavailable     ///< unknown outcome: the same rows must be written again
};

/// The partition's content, as read by a new owner.
struct partition_content {
    std::map<std::string, pb::job_spec> specs;
    std::map<std::string, pb::job_progress> progress;
    std::vector<std::string> roster;
    pb::silent_targets silent_targets;
    pb::run_times run_times;
};

/// Reads the last transfer of each target that the partition has transferred to another one.
std::optional<std::map<std::string, target_assignment>> read_assignments(table& rows, int partition);

/// Reads the ids that the partition, as their arbiter, gave to other partitions.
std::optional<std::map<std::string, int>> read_claims(table& rows, int partition);

/// A partition's rows in the table. Every transaction also replaces the head row, on the condition that it is
/// unchanged since this owner's last write. So writes of an owner that has lost the partition, and writes
/// that are executed late, have no effect. Calls block; not thread-safe.
class partition_rows {
public:
    partition_rows(table& rows, int partition, std::string owner, std::string peer_address,
                   milliseconds longest_lease);

    /// Reads the head row; its owner is empty if nobody owns the partition.
    [[nodiscard]] std::optional<pb::partition_head> current_head();
    /// Makes this node the owner and returns the first of its epochs. Returns nothing, with the reason, if
    /// another node was first or the outcome is unknown.
    [[nodiscard]] std::optional<std::uint64_t> take();
    [[nodiscard]] std::optional<partition_content> load();
    [[nodiscard]] row_outcome write(const job_rows& rows);
    /// Checks whether this node is still the owner.
    [[nodiscard]] row_outcome confirm();
    /// Gives up ownership, so that a successor can take the partition over immediately.
    [[nodiscard]] row_outcome release();

    /// The last epoch of the owner; the next owner takes later ones.
    [[nodiscard]] std::uint64_t last_epoch() const { return m_head.epoch(); }
    /// The epochs up to this one become the owner's with the next write.
    void set_wanted_epoch(std::uint64_t wanted) { m_wanted_epoch = wanted; }
    /// Whether it was certain at the last `take` that no previous owner sends commands to targets any more:
    /// the last one released the partition, or was an earlier incarnation of this node.
    [[nodiscard]] bool sole_owner() const { return m_sole_owner; }
    /// The longest lease of previous owners under which tasks may still run; 0 if there are none.
    [[nodiscard]] milliseconds earlier_lease() const { return m_earlier_lease; }
    /// The longest lease under which tasks of this owner may run; recorded with the next write.
    void set_lease(milliseconds granted) { m_lease = granted; }
    /// The table's clock as of the last transaction that it answered; nothing if it doesn't tell.
    [[nodiscard]] const std::optional<table_clock_reading>& table_clock() const { return m_table_clock; }
    /// Records that all tasks of previous owners are known or have ended.
    void forget_earlier_lease() { m_earlier_lease = {}; }

private:
    [[nodiscard]] std::string key(const char* kind, const std::string& name) const;
    [[nodiscard]] row_outcome commit(const pb::partition_head& next, std::vector<table_write> writes);
    [[nodiscard]] bool read_head(pb::partition_head& head, std::int64_t& version);

    table& m_rows;
    std::string m_prefix;
    std::string m_owner;
    std::string m_peer_address;
    milliseconds m_longest_lease;
    milliseconds m_lease;
    milliseconds m_earlier_lease{0};
    pb::partition_head m_head;
    std::int64_t m_version = 0; ///< of the head row; 0 if it doesn't exist
    std::uint64_t m_wanted_epoch = 0;
    std::optional<table_clock_reading> m_table_clock;
    /// Whether the row of silent targets is true: this owner or the one before wrote it.
    bool m_silence_known = false;
    bool m_sole_owner = false;
};

} // namespace medlarhub

#pragma once

#include "cell/target_tenures.h"
#include "jobs/engine.h"

#include "medlarhub/platform.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

/// The node of an owner's name, which is `node/incarnation`.
std::string node_of(const std::string& owner);
/// Empty when the name has none.
std::optional<std::uint64_t> incarnation_of(const std::string& owner);

enum class row_outcome {
    written,
    deposed,    ///< another node owns the partition now
    unavailable ///< not known: the same rows are to be written again
};

/// What a new owner reads.
struct partition_content {
    std::map<std::string, pb::job_spec> specs;
    std::map<std::string, pb::job_progress> progress;
    std::vector<std::string> roster;
};

/// To whom a partition passed targets on, the last time for each.
std::optional<std::map<std::string, target_tenure>> read_assignments(table& rows, int partition);

/// A partition's rows in the table. Every transaction replaces the head row under the condition that it is as
/// this owner left it, so that the rows of a deposed owner, and those of a write that is carried out late,
/// change nothing. Calls block; one thread at a time.
class partition_rows {
public:
    partition_rows(table& rows, int partition, std::string owner, std::string peer_address,
                   milliseconds longest_lease);

    /// The head as it stands; empty owner when nobody owns the partition.
    [[nodiscard]] std::optional<pb::partition_head> current_head();
    /// Makes this node the owner. Empty, with the reason, when another node was first or nothing is known.
    [[nodiscard]] std::optional<std::uint64_t> take();
    [[nodiscard]] std::optional<partition_content> load();
    [[nodiscard]] row_outcome write(const job_rows& rows);
    /// Whether this node is the owner still.
    [[nodiscard]] row_outcome confirm();
    /// Gives the partition up, for the next owner to take at once.
    [[nodiscard]] row_outcome release();

    [[nodiscard]] std::uint64_t epoch() const { return m_head.epoch(); }
    /// Whether, at the last `take`, it was certain that no owner before commands targets any more: the last
    /// one gave the partition up, or was this node in a life before.
    [[nodiscard]] bool sole_owner() const { return m_sole_owner; }
    /// The longest lease under which owners before started what may still run; 0 when there is nothing.
    [[nodiscard]] milliseconds earlier_lease() const { return m_earlier_lease; }
    /// Tells that all of that is known or has ended.
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
    milliseconds m_earlier_lease{0};
    pb::partition_head m_head;
    std::int64_t m_version = 0; ///< of the head row; 0 when there is none
    bool m_sole_owner = false;
};

} // namespace medlarhub

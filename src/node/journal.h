#pragma once

#include "medlarhub/partition.h"
#include "medlarhub/platform.h"
#include "medlarhub/table_write_limiter.h"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

/// Rate limiter and backoff for table writes, shared by all writers of one node; thread-safe.
class shared_write_limiter {
public:
    explicit shared_write_limiter(table_write_limiter_options options) : m_write_limiter{options} {}

    [[nodiscard]] milliseconds acquire(instant at);
    void succeeded();
    void failed(instant at);
    [[nodiscard]] bool is_table_down() const;
    [[nodiscard]] milliseconds retry_after(instant at) const;

private:
    mutable std::mutex m_mutex;
    table_write_limiter m_write_limiter;
};

enum class append_outcome {
    committed,
    ownership_lost, ///< another writer has taken the next sequence, so this owner lost the partition
    unavailable     ///< unknown outcome; the same group must be appended again
};

/// The journal of one partition: table rows with consecutive sequence numbers, each written by an
/// insert-if-absent. The writer that inserts the next sequence owns the partition, so that an append also
/// checks the ownership.
class journal {
public:
    journal(table& rows, object_store& objects, shared_write_limiter& write_limiter, int partition,
            std::string writer);

    /// Loads the newest snapshot and the rows after it into `to`, which must be newly constructed, and
    /// returns the last sequence. Returns an empty optional and sets the reason when the platform gave no
    /// answer or a row or snapshot can't be read.
    [[nodiscard]] std::optional<std::uint64_t> load(partition& to);

    /// Appends a group of records as one row. After `unavailable`, call again with the same records.
    [[nodiscard]] append_outcome append(const std::vector<pb::record>& records);
    /// Returns whether no other writer has taken the next sequence; empty when the platform gave no answer.
    [[nodiscard]] std::optional<bool> is_still_owner();

    /// Stores a snapshot of the state at the last sequence and removes the rows that the previous snapshot
    /// covered. Returns false when the snapshot was not or may not have been stored.
    [[nodiscard]] bool save_snapshot(const pb::snapshot& snapshot);

    [[nodiscard]] std::uint64_t last_sequence() const { return m_next_sequence - 1; }
    [[nodiscard]] std::uint64_t rows_since_snapshot() const {
        return m_next_sequence - 1 - m_snapshot_sequence;
    }
    [[nodiscard]] const std::string& last_owner() const { return m_last_owner; }

private:
    [[nodiscard]] std::string row_key(std::uint64_t sequence) const;
    [[nodiscard]] std::string object_name(std::uint64_t sequence) const;
    [[nodiscard]] std::string pointer_key() const;
    [[nodiscard]] bool load_snapshot(partition& to);
    void remove_rows(std::uint64_t from, std::uint64_t to);

    table& m_rows;
    object_store& m_objects;
    shared_write_limiter& m_write_limiter;
    int m_partition;
    std::string m_writer;
    std::uint64_t m_next_sequence = 1;
    std::uint64_t m_snapshot_sequence = 0;
    std::uint64_t m_removed_up_to = 0; ///< rows up to this sequence are known to be removed
    std::int64_t m_pointer_version = 0;
    std::uint64_t m_pending_nonce = 0; ///< of the group with an unknown outcome; 0 when there is none
    std::string m_last_owner;
};

} // namespace medlarhub

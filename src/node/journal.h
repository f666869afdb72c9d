#pragma once

#include "medlarhub/partition.h"
#include "medlarhub/platform.h"
#include "medlarhub/store_gate.h"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

/// The write budget of one node, shared by its writers.
class shared_gate {
public:
    explicit shared_gate(store_gate_options options) : m_gate{options} {}

    [[nodiscard]] milliseconds acquire(instant at);
    void succeeded();
    void failed(instant at);
    [[nodiscard]] bool down() const;
    [[nodiscard]] milliseconds retry_after(instant at) const;

private:
    mutable std::mutex m_mutex;
    store_gate m_gate;
};

enum class append_outcome {
    committed,
    deposed,    ///< another owner's record has the sequence
    unavailable ///< not known; the same group must be appended again
};

/// The journal of one partition: rows of the table, each inserted only where none is. Holding the next
/// sequence is holding the partition.
class journal {
public:
    journal(table& rows, object_store& objects, shared_gate& gate, int partition, std::string writer);

    /// Reads the newest snapshot and the rows after it into `to`, which must be new. Empty, with the reason,
    /// when the platform gave no answer.
    [[nodiscard]] std::optional<std::uint64_t> load(partition& to);

    /// Appends one group. After `unavailable`, call again with the same records.
    [[nodiscard]] append_outcome append(const std::vector<pb::record>& records);
    /// Whether the sequence after the last one is still free; empty when the platform gave no answer.
    [[nodiscard]] std::optional<bool> is_still_owner();

    /// Stores a snapshot of the state at the last sequence, and removes the rows that the one before covered.
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
    shared_gate& m_gate;
    int m_partition;
    std::string m_writer;
    std::uint64_t m_next_sequence = 1;
    std::uint64_t m_snapshot_sequence = 0;
    std::uint64_t m_removed_up_to = 0; ///< rows up to here are known to be removed
    std::int64_t m_pointer_version = 0;
    std::uint64_t m_pending_nonce = 0; ///< of the group that is not settled; 0 when there is none
    std::string m_last_owner;
};

} // namespace medlarhub

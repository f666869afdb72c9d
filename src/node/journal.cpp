#include "node/journal.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <charconv>

namespace medlarhub {

namespace {

constexpr int rows_per_read = 200;
constexpr std::uint64_t removes_per_write = 100;
constexpr std::size_t sequence_digits = 12;

std::string padded(std::uint64_t number) {
    const auto text = std::to_string(number);
    return std::string(sequence_digits - std::min(sequence_digits, text.size()), '0') + text;
}

std::uint64_t to_number(std::string_view text) {
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

milliseconds shared_write_limiter::acquire(instant at) {
    const std::lock_guard lock{m_mutex};
    return m_write_limiter.acquire(at);
}

void shared_write_limiter::succeeded() {
    const std::lock_guard lock{m_mutex};
    m_write_limiter.succeeded();
}

void shared_write_limiter::failed(instant at) {
    constexpr double random_range = 1ULL << 32U;
    const double random = static_cast<double>(random_bits() >> 32U) / random_range;
    const std::lock_guard lock{m_mutex};
    m_write_limiter.failed(at, random);
}

bool shared_write_limiter::is_table_down() const {
    const std::lock_guard lock{m_mutex};
    return m_write_limiter.is_table_down();
}

milliseconds shared_write_limiter::retry_after(instant at) const {
    const std::lock_guard lock{m_mutex};
    return m_write_limiter.retry_after(at);
}

journal::journal(table& rows, object_store& objects, shared_write_limiter& write_limiter, int partition,
                 std::string writer)
    : m_rows{rows}, m_objects{objects}, m_write_limiter{write_limiter},
      m_partition{partition}, m_writer{std::move(writer)} {}

std::string journal::row_key(std::uint64_t sequence) const {
    return "journal/" + std::to_string(m_partition) + "/" + padded(sequence);
}

std::string journal::object_name(std::uint64_t sequence) const {
    return "snapshot/" + std::to_string(m_partition) + "/" + padded(sequence);
}

std::string journal::pointer_key() const {
    return "snapshot/" + std::to_string(m_partition);
}

bool journal::load_snapshot(partition& to) {
    const auto pointer = m_rows.read(pointer_key());
    if (!pointer)
        return false;
    if (pointer->empty())
        return true;
    m_snapshot_sequence = to_number(pointer->front().value);
    const auto first = m_rows.list("journal/" + std::to_string(m_partition) + "/", "", 1);
    if (first && !first->empty())
        m_removed_up_to = to_number(first->front().key.substr(row_key(0).size() - sequence_digits)) - 1;
    m_pointer_version = pointer->front().version;
    const auto object = m_objects.get(object_name(m_snapshot_sequence));
    if (!object)
        return false;
    pb::snapshot snapshot;
    if (!object->found || !snapshot.ParseFromString(object->bytes)) {
        set_reason("the snapshot " + object_name(m_snapshot_sequence) + " can't be read");
        return false;
    }
    m_last_owner = snapshot.owner();
    to.restore(snapshot);
    m_next_sequence = m_snapshot_sequence + 1;
    return true;
}

std::optional<std::uint64_t> journal::load(partition& to) {
    m_next_sequence = 1;
    if (!load_snapshot(to))
        return {};
    for (;;) {
        const auto rows = m_rows.list("journal/" + std::to_string(m_partition) + "/",
                                      row_key(m_next_sequence - 1), rows_per_read);
        if (!rows)
            return {};
        for (const auto& row : *rows) {
            if (row.key != row_key(m_next_sequence))
                return fail("the journal has a gap before " + row.key);
            pb::journal_row group;
            if (!group.ParseFromString(row.value))
                return fail("the journal row " + row.key + " can't be parsed");
            for (const auto& entry : group.records()) {
                if (entry.has_take())
                    m_last_owner = entry.take().node();
                if (entry.has_release())
                    m_last_owner.clear();
                to.replay(entry, m_next_sequence);
            }
            ++m_next_sequence;
        }
        if (rows->size() < static_cast<std::size_t>(rows_per_read))
            return m_next_sequence - 1;
    }
}

append_outcome journal::append(const std::vector<pb::record>& records) {
    if (m_pending_nonce == 0)
        m_pending_nonce = random_bits() | 1U;
    pb::journal_row group;
    group.set_writer(m_writer);
    group.set_nonce(m_pending_nonce);
    for (const auto& entry : records)
        *group.add_records() = entry;
    const auto key = row_key(m_next_sequence);
    auto outcome =
        m_rows.transact({{key, group.SerializeAsString(), write_condition::absent, 0, false}}).outcome;
    if (outcome == write_outcome::conflict) {
        const auto row = m_rows.read(key);
        if (!row || row->empty()) {
            m_write_limiter.failed(now());
            return append_outcome::unavailable;
        }
        pb::journal_row present;
        const bool readable = present.ParseFromString(row->front().value);
        if (!readable || present.writer() != m_writer || present.nonce() != m_pending_nonce) {
            m_write_limiter.succeeded();
            return append_outcome::ownership_lost;
        }
        outcome = write_outcome::committed;
    }
    if (outcome == write_outcome::unavailable) {
        m_write_limiter.failed(now());
        return append_outcome::unavailable;
    }
    m_write_limiter.succeeded();
    m_pending_nonce = 0;
    ++m_next_sequence;
    return append_outcome::committed;
}

std::optional<bool> journal::is_still_owner() {
    const auto row = m_rows.read(row_key(m_next_sequence));
    if (!row)
        return {};
    return row->empty();
}

void journal::remove_rows(std::uint64_t from, std::uint64_t to) {
    // A concurrent reader of the previous snapshot needs only the rows after `to`.
    while (from <= to) {
        std::vector<table_write> removes;
        for (; from <= to && removes.size() < removes_per_write; ++from)
            removes.push_back({row_key(from), {}, write_condition::none, 0, true});
        if (m_rows.transact(removes).outcome != write_outcome::committed)
            return;
        m_removed_up_to = from - 1;
    }
}

bool journal::save_snapshot(const pb::snapshot& snapshot) {
    const auto sequence = snapshot.sequence();
    if (!m_objects.put(object_name(sequence), snapshot.SerializeAsString()))
        return false;
    const auto condition = m_pointer_version == 0 ? write_condition::absent : write_condition::version;
    const auto outcome =
        m_rows.transact({{pointer_key(), std::to_string(sequence), condition, m_pointer_version, false}})
            .outcome;
    if (outcome != write_outcome::committed) {
        // The write may have been carried out: reads the pointer's version for the next attempt.
        const auto pointer = m_rows.read(pointer_key());
        if (pointer && !pointer->empty())
            m_pointer_version = pointer->front().version;
        return false;
    }
    const auto covered = m_snapshot_sequence;
    m_snapshot_sequence = sequence;
    const auto pointer = m_rows.read(pointer_key());
    m_pointer_version = pointer && !pointer->empty() ? pointer->front().version : m_pointer_version + 1;
    remove_rows(m_removed_up_to + 1, covered);
    return true;
}

} // namespace medlarhub

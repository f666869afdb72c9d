#include "cell/partition_rows.h"

#include "cell/lease.h"
#include "log.h"

#include "medlarhub/reason.h"

#include <charconv>

namespace medlarhub {

namespace {

constexpr auto head_kind = "head";
constexpr auto head_name = "owner";
constexpr auto spec_kind = "spec";
constexpr auto progress_kind = "progress";
constexpr auto roster_kind = "roster";
constexpr auto run_times_kind = "run_times";
constexpr auto run_times_name = "learned";
constexpr auto roster_name = "targets";
constexpr auto silent_kind = "silent";
constexpr auto silent_name = "targets";
constexpr auto assignment_kind = "tenure";
constexpr auto claim_kind = "claim";
/// Stands for a malformed row: no partition uses a target whose assignment is unknown.
constexpr target_assignment unknown_assignment{-1, 1};
constexpr int rows_per_read = 500;

table_write put(std::string key, std::string value) {
    return {std::move(key), std::move(value), write_condition::none, 0, false};
}

table_write drop(std::string key) {
    return {std::move(key), {}, write_condition::none, 0, true};
}

std::string prefix_of(int partition) {
    return "p" + std::to_string(partition) + "/";
}

std::optional<std::vector<table_row>> list_all(table& rows, const std::string& prefix) {
    std::vector<table_row> all;
    for (;;) {
        const auto page = rows.list(prefix, all.empty() ? std::string{} : all.back().key, rows_per_read);
        if (!page)
            return {};
        if (page->empty())
            return all;
        all.insert(all.end(), page->begin(), page->end());
    }
}

} // namespace

std::optional<std::map<std::string, target_assignment>> read_assignments(table& rows, int partition) {
    const auto prefix = prefix_of(partition) + assignment_kind + "/";
    const auto found = list_all(rows, prefix);
    if (!found)
        return {};
    std::map<std::string, target_assignment> assignments;
    for (const auto& row : *found) {
        const auto target = row.key.substr(prefix.size());
        const auto assignment = parse_assignment(row.value);
        if (!assignment)
            log_event(log_level::error, "tenure_unreadable", {{"target", target}, {"reason", last_reason()}});
        assignments[target] = assignment.value_or(unknown_assignment);
    }
    return assignments;
}

std::optional<std::map<std::string, int>> read_claims(table& rows, int partition) {
    const auto prefix = prefix_of(partition) + claim_kind + "/";
    const auto found = list_all(rows, prefix);
    if (!found)
        return {};
    std::map<std::string, int> claims;
    for (const auto& row : *found) {
        pb::id_claim claim;
        if (!claim.ParseFromString(row.value))
            return fail("the row " + row.key + " can't be parsed");
        claims[row.key.substr(prefix.size())] = claim.partition();
    }
    return claims;
}

std::string node_of(const std::string& owner) {
    return owner.substr(0, owner.rfind('/'));
}

std::optional<std::uint64_t> incarnation_of(const std::string& owner) {
    const auto slash = owner.rfind('/');
    if (slash == std::string::npos)
        return {};
    std::uint64_t number = 0;
    const auto* end = owner.data() + owner.size();
    const auto read = std::from_chars(owner.data() + slash + 1, end, number);
    return read.ec == std::errc{} && read.ptr == end ? std::optional{number} : std::nullopt;
}

partition_rows::partition_rows(table& rows, int partition, std::string owner, std::string peer_address,
                               milliseconds longest_lease)
    : m_rows{rows}, m_prefix{prefix_of(partition)}, m_owner{std::move(owner)},
      m_peer_address{std::move(peer_address)}, m_longest_lease{longest_lease}, m_lease{lease_to_request(
                                                                                   longest_lease)} {}

std::string partition_rows::key(const char* kind, const std::string& name) const {
    return m_prefix + kind + "/" + name;
}

bool partition_rows::read_head(pb::partition_head& head, std::int64_t& version) {
    const auto rows = m_rows.read(key(head_kind, head_name));
    if (!rows)
        return false;
    head.Clear();
    version = 0;
    if (rows->empty())
        return true;
    version = rows->front().version;
    if (!head.ParseFromString(rows->front().value)) {
        set_reason("the head row can't be parsed");
        return false;
    }
    return true;
}

std::optional<pb::partition_head> partition_rows::current_head() {
    pb::partition_head head;
    std::int64_t version = 0;
    if (!read_head(head, version))
        return {};
    return head;
}

std::optional<std::uint64_t> partition_rows::take() {
    if (!read_head(m_head, m_version))
        return {};
    if (m_version != 0)
        m_earlier_lease = m_head.lease_ms() > 0 ? milliseconds{m_head.lease_ms()} : m_longest_lease;
    auto next = m_head;
    m_silence_known = m_version == 0 || m_head.silence_epoch() == m_head.epoch();
    m_sole_owner =
        m_head.owner().empty() || (m_head.owner() != m_owner && node_of(m_head.owner()) == node_of(m_owner));
    next.set_owner(m_owner);
    next.set_peer_address(m_peer_address);
    const auto first = m_head.epoch() + 1;
    next.set_epoch(m_head.epoch() + epochs_at_once);
    switch (commit(next, {})) {
    case row_outcome::written:
        return first;
    case row_outcome::ownership_lost:
        return fail("another node took the partition first");
    case row_outcome::unavailable:
        break;
    }
    return {};
}

row_outcome partition_rows::commit(const pb::partition_head& from, std::vector<table_write> writes) {
    auto next = from;
    next.set_sequence(m_head.sequence() + 1);
    next.set_epoch(std::max(next.epoch(), m_wanted_epoch));
    next.set_silence_epoch(m_silence_known ? next.epoch() : 0);
    next.set_lease_ms(std::max(m_lease, m_earlier_lease).count());
    table_write head{key(head_kind, head_name), next.SerializeAsString(),
                     m_version == 0 ? write_condition::absent : write_condition::version, m_version, false};
    writes.insert(writes.begin(), std::move(head));
    const auto asked = now();
    const auto result = m_rows.transact(writes);
    if (result.clock_ms)
        m_table_clock = table_clock_reading{*result.clock_ms, asked, now()};
    if (result.outcome == write_outcome::committed) {
        m_version = result.version;
        m_head = next;
        return row_outcome::written;
    }
    // This write, or an earlier attempt at it, may have been committed without a response.
    pb::partition_head seen;
    std::int64_t version = 0;
    if (!read_head(seen, version))
        return row_outcome::unavailable;
    if (seen.owner() == next.owner() && seen.epoch() == next.epoch() && seen.sequence() == next.sequence()) {
        m_version = version;
        m_head = next;
        return row_outcome::written;
    }
    return version == m_version ? row_outcome::unavailable : row_outcome::ownership_lost;
}

std::optional<partition_content> partition_rows::load() {
    partition_content content;
    const auto specs = list_all(m_rows, m_prefix + spec_kind + "/");
    const auto progress = specs ? list_all(m_rows, m_prefix + progress_kind + "/") : std::nullopt;
    const auto roster = progress ? m_rows.read(key(roster_kind, roster_name)) : std::nullopt;
    const auto silent = roster ? m_rows.read(key(silent_kind, silent_name)) : std::nullopt;
    const auto run_times = silent ? m_rows.read(key(run_times_kind, run_times_name)) : std::nullopt;
    if (!run_times)
        return {};
    const auto name_of = [](const std::string& text) { return text.substr(text.rfind('/') + 1); };
    for (const auto& row : *specs) {
        if (!content.specs[name_of(row.key)].ParseFromString(row.value))
            return fail("the row " + row.key + " can't be parsed");
    }
    for (const auto& row : *progress) {
        if (!content.progress[name_of(row.key)].ParseFromString(row.value))
            return fail("the row " + row.key + " can't be parsed");
    }
    pb::roster targets;
    if (!roster->empty() && !targets.ParseFromString(roster->front().value))
        return fail("the roster can't be parsed");
    content.roster.assign(targets.targets().begin(), targets.targets().end());
    if (m_silence_known && !silent->empty() && !content.silent_targets.ParseFromString(silent->front().value))
        return fail("the row of silent targets can't be parsed");
    if (!run_times->empty() && !content.run_times.ParseFromString(run_times->front().value)) {
        log_event(log_level::warning, "run_times_unreadable", {{"partition", m_prefix}});
        content.run_times.Clear();
    }
    return content;
}

row_outcome partition_rows::write(const job_rows& rows) {
    std::vector<table_write> writes;
    for (const auto& row : rows.rows) {
        if (row.spec)
            writes.push_back(put(key(spec_kind, row.job), *row.spec));
        if (row.drop_spec)
            writes.push_back(drop(key(spec_kind, row.job)));
        if (row.progress)
            writes.push_back(put(key(progress_kind, row.job), *row.progress));
        if (row.drop_progress)
            writes.push_back(drop(key(progress_kind, row.job)));
    }
    for (const auto& transfer : rows.transfers)
        writes.push_back(put(key(assignment_kind, transfer.target), to_text(transfer.to)));
    for (const auto& claim : rows.claims) {
        pb::id_claim row;
        row.set_partition(claim.partition.value_or(0));
        writes.push_back(claim.partition ? put(key(claim_kind, claim.job), row.SerializeAsString())
                                         : drop(key(claim_kind, claim.job)));
    }
    if (rows.run_times)
        writes.push_back(put(key(run_times_kind, run_times_name), *rows.run_times));
    if (rows.roster)
        writes.push_back(put(key(roster_kind, roster_name), *rows.roster));
    if (rows.silent_targets || !m_silence_known)
        writes.push_back(put(key(silent_kind, silent_name), rows.silent_targets.value_or(std::string{})));
    m_silence_known = true;
    return commit(m_head, std::move(writes));
}

row_outcome partition_rows::confirm() {
    pb::partition_head seen;
    std::int64_t version = 0;
    if (!read_head(seen, version))
        return row_outcome::unavailable;
    const bool is_own_epoch = seen.epoch() == m_head.epoch() || seen.epoch() == m_wanted_epoch;
    return seen.owner() == m_head.owner() && is_own_epoch ? row_outcome::written
                                                          : row_outcome::ownership_lost;
}

row_outcome partition_rows::release() {
    auto next = m_head;
    next.clear_owner();
    next.clear_peer_address();
    return commit(next, {});
}

} // namespace medlarhub

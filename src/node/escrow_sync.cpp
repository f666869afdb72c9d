#include "node/escrow_sync.h"

#include "log.h"

#include "medlarhub/reason.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// A surplus is kept for this long before it is returned, so that allotments don't change with every pause in
/// the work.
constexpr milliseconds surplus_hold_time{10'000};
constexpr milliseconds shortage_retry_interval{250};

std::string row_key(const std::string& team) {
    return "allotment/" + team;
}

} // namespace

escrow_sync::escrow_sync(table& rows, shared_write_limiter& write_limiter, metrics& counters)
    : m_rows{rows}, m_write_limiter{write_limiter}, m_counters{counters} {}

void escrow_sync::forget(int partition) {
    std::erase_if(m_allotments, [&](const auto& entry) { return entry.first.first == partition; });
}

void escrow_sync::sync_partition(instant at, partition_host& host, const config_state& config) {
    const auto demands = host.demands();
    for (const auto& [team, stored] : config.teams()) {
        const auto limit = stored->parsed.limit_cpu_milli;
        if (!limit) {
            host.set_allotment(team, {});
            continue;
        }
        auto& known = m_allotments[{host.number(), team}];
        if (!known.read)
            host.set_allotment(team, 0);
        const auto found = demands.find(team);
        const auto wanted = found == demands.end() ? partition::demand{} : found->second;
        const auto needed = wanted.in_use_cpu_milli + wanted.waiting_cpu_milli;
        const auto floor = idle_floor(*limit, config.partitions().size());
        const bool idle = needed <= floor && known.read && known.allotted_cpu_milli == floor;
        const bool short_of =
            needed > known.allotted_cpu_milli && at - known.checked >= shortage_retry_interval;
        const bool surplus =
            std::max(needed, floor) < known.allotted_cpu_milli && at - known.checked >= surplus_hold_time;
        const bool limit_changed = known.revision != stored->revision;
        if (idle && !limit_changed)
            continue;
        if (!short_of && !surplus && !limit_changed && known.read)
            continue;
        update_row(at, host, team,
                   {host.number(), wanted.in_use_cpu_milli, wanted.waiting_cpu_milli, *limit,
                    stored->revision, floor},
                   known);
    }
}

void escrow_sync::update_row(instant at, partition_host& host, const std::string& team,
                             allotment_demand demand, known_allotment& known) {
    const auto rows = m_rows.read(row_key(team));
    if (!rows)
        return;
    allotment_row row;
    if (!rows->empty()) {
        const auto parsed = parse_allotment(rows->front().value);
        if (!parsed) {
            log_event(log_level::error, "allotment_unreadable", {{"team", team}, {"reason", last_reason()}});
            return;
        }
        row = *parsed;
    }
    const auto present = row.parts.contains(demand.partition) ? row.parts.at(demand.partition) : 0;
    if (!host.is_usage_known(at))
        demand.in_use_cpu_milli = std::max(demand.in_use_cpu_milli, present);
    const auto next = rebalance(row, demand);
    const auto allotted_cpu_milli =
        next.parts.contains(demand.partition) ? next.parts.at(demand.partition) : 0;
    // A decrease applies here before it is written to the table, an increase only after, so that the sum of
    // the allotments in use never exceeds the limit.
    if (allotted_cpu_milli < known.allotted_cpu_milli) {
        host.set_allotment(team, allotted_cpu_milli);
        if (host.demands()[team].in_use_cpu_milli > allotted_cpu_milli) { // more was started meanwhile
            host.set_allotment(team, known.allotted_cpu_milli);
            return;
        }
    }
    if (!(next == row) || rows->empty()) {
        if (m_write_limiter.is_table_down() || m_write_limiter.acquire(at) > milliseconds{0})
            return;
        table_write write{row_key(team), to_text(next), write_condition::absent, 0, false};
        if (!rows->empty()) {
            write.condition = write_condition::version;
            write.version = rows->front().version;
        }
        const auto outcome = m_rows.transact({write}).outcome;
        m_counters.count("table_writes_total", {{"kind", "allotment"}});
        if (outcome == write_outcome::unavailable)
            m_write_limiter.failed(at);
        if (outcome != write_outcome::committed)
            return; // the next round reads the row again
        m_write_limiter.succeeded();
    }
    known = {allotted_cpu_milli, demand.limit_revision, true, at};
    host.set_allotment(team, allotted_cpu_milli);
}

} // namespace medlarhub

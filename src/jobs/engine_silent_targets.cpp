// Silent targets: what is recorded of them for later owners, and until when a new owner waits for each.

#include "jobs/engine.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// A target that is silent for less may have lost a message.
constexpr milliseconds silence_to_record{500};
/// Targets that fall silent at about the same time share a write.
constexpr milliseconds silence_check_period{250};

} // namespace

std::optional<std::int64_t> job_engine::leases_end_on_table(const target_state& target) const {
    if (!m_table_clock)
        return {};
    if (!target.contacted)
        return m_table_clock->clock_ms; // this owner requested no lease there
    // Spans that began after the request can't be told in the table's time: this process may have been
    // suspended meanwhile.
    if (m_table_clock->asked < std::max(target.clock_read, target.last_grant))
        return {};
    const bool may_start_later = std::ranges::any_of(target.runs, [](const auto& each) {
        const auto& run = each.second;
        return run.incarnation == 0 || run.start_in_flight || run.unanswered_starts > 0;
    });
    return m_table_clock->latest_at(may_start_later ? target.longest_lease_expiry(m_options.longest_lease)
                                                    : target.lease_expiry());
}

void job_engine::record_silent_targets(instant at) {
    if (!m_table_clock || at < m_next_silence_check)
        return;
    m_next_silence_check = at + silence_check_period;
    for (const auto& [id, target] : m_targets) {
        const bool silent = target.suspect && at - target.suspect_since >= silence_to_record;
        const bool known = !m_unconfirmed_targets.contains(id) || target.contacted;
        if (!silent || !known || target.transfer_to || !m_roster.contains(id) || m_silent.contains(id))
            continue;
        if (const auto end = leases_end_on_table(target))
            record_silent_target(id, *end);
        else
            m_table_clock_due = true;
    }
    if (at - m_recovery_began < silence_to_record || m_table_clock->asked < m_recovery_began)
        return;
    for (const auto& [id, until] : m_unconfirmed_targets) {
        const auto target = m_targets.find(id);
        const bool contacted = target != m_targets.end() && target->second.contacted;
        if (!contacted && !m_silent.contains(id))
            record_silent_target(id, m_table_clock->latest_at(until));
    }
}

void job_engine::record_silent_target(const std::string& id, std::int64_t leases_end_ms) {
    m_silent.add(id, leases_end_ms);
    add_event("target_silent", {},
              id + ": its leases end in " + std::to_string(leases_end_ms - m_table_clock->clock_ms) +
                  " ms of the table's clock");
}

instant job_engine::leases_end_of_unconfirmed(const std::string& target) const {
    const auto recorded = m_silent.leases_end_ms().find(target);
    if (recorded == m_silent.leases_end_ms().end() || !m_table_clock)
        return m_recovery_ends;
    return std::min(m_recovery_ends, m_table_clock->reached_by(recorded->second));
}

} // namespace medlarhub

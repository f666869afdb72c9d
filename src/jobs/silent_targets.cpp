#include "jobs/silent_targets.h"

#include "jobs.pb.h"

#include <utility>

namespace medlarhub {

void silent_targets::restore(std::map<std::string, std::int64_t> leases_end_ms) {
    m_wanted = m_handed_out = m_written = std::move(leases_end_ms);
}

void silent_targets::add(const std::string& target, std::int64_t leases_end_ms) {
    m_wanted[target] = leases_end_ms;
}

void silent_targets::remove(const std::string& target) {
    m_wanted.erase(target);
}

void silent_targets::keep_only(const std::set<std::string>& targets) {
    std::erase_if(m_wanted, [&](const auto& entry) { return !targets.contains(entry.first); });
}

bool silent_targets::may_be_recorded(const std::string& target) const {
    return m_wanted.contains(target) || m_handed_out.contains(target) || m_written.contains(target);
}

std::string silent_targets::take_row() {
    m_handed_out = m_wanted;
    pb::silent_targets row;
    row.mutable_leases_end_ms()->insert(m_wanted.begin(), m_wanted.end());
    return row.SerializeAsString();
}

} // namespace medlarhub

#include "jobs/id_claims.h"

#include <algorithm>
#include <utility>

namespace medlarhub {

namespace {

constexpr std::size_t max_checks = 100;

} // namespace

void id_claims::restore(instant at, const std::map<std::string, int>& recorded) {
    for (const auto& [job, partition] : recorded) {
        m_claims[job] = {partition, at, true, true, false};
        m_checks.emplace_back(at + m_retention, job);
    }
}

std::optional<int> id_claims::holder(const std::string& job) const {
    const auto found = m_claims.find(job);
    return found == m_claims.end() || found->second.removed ? std::nullopt
                                                            : std::optional{found->second.partition};
}

int id_claims::claim(instant at, const std::string& job, int partition) {
    auto& known = m_claims[job];
    const bool is_new = known.used == instant{} || known.removed;
    known.used = at;
    if (!is_new)
        return known.partition;
    known = {partition, at, false, false, false};
    m_to_write.push_back(job);
    m_checks.emplace_back(at + m_retention, job);
    return partition;
}

bool id_claims::durable(const std::string& job) const {
    const auto found = m_claims.find(job);
    return found != m_claims.end() && found->second.durable;
}

std::vector<id_claims::row> id_claims::take_rows(std::size_t most) {
    std::vector<row> rows;
    while (!m_to_write.empty() && rows.size() < most) {
        auto job = std::move(m_to_write.front());
        m_to_write.pop_front();
        const auto found = m_claims.find(job);
        if (found == m_claims.end() || found->second.handed_out)
            continue;
        found->second.handed_out = true;
        rows.push_back({job, found->second.removed ? std::nullopt : std::optional{found->second.partition}});
        m_writing.push_back(std::move(job));
    }
    return rows;
}

void id_claims::rows_written() {
    for (const auto& job : std::exchange(m_writing, {})) {
        const auto found = m_claims.find(job);
        if (found == m_claims.end() || !found->second.handed_out)
            continue; // claimed again meanwhile; that is yet to be written
        if (found->second.removed)
            m_claims.erase(found);
        else
            found->second.durable = true;
    }
}

std::vector<id_claims::check> id_claims::take_due_checks(instant at) {
    std::vector<check> due;
    while (!m_checks.empty() && m_checks.front().first <= at && due.size() < max_checks) {
        auto job = std::move(m_checks.front().second);
        m_checks.pop_front();
        const auto found = m_claims.find(job);
        if (found == m_claims.end() || found->second.removed)
            continue;
        const bool unused = at - found->second.used >= m_retention;
        m_checks.emplace_back(at + m_retention, job);
        if (unused && found->second.durable)
            due.push_back({std::move(job), found->second.partition});
    }
    return due;
}

void id_claims::handle_check(instant at, const std::string& job, bool known) {
    const auto found = m_claims.find(job);
    if (known || found == m_claims.end() || found->second.removed || at - found->second.used < m_retention)
        return;
    found->second.removed = true;
    found->second.handed_out = false;
    found->second.durable = false;
    m_to_write.push_back(job);
}

} // namespace medlarhub

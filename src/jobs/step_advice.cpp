#include "jobs/step_advice.h"

#include <algorithm>
#include <utility>

namespace medlarhub {

namespace {

/// A ticket isn't used in this last part of its validity, to allow for the delivery of the start.
constexpr milliseconds ticket_margin{150};
constexpr milliseconds retry_after_failure{100};
/// The estimate is weighted as if by at most this many targets, so that newer answers count.
constexpr double max_weight = 1000;

} // namespace

const std::string* step_advice::ticket(instant at, const std::string& target) const {
    const auto found = m_tickets.find(target);
    if (found == m_tickets.end() || found->second.valid_until < at + ticket_margin)
        return nullptr;
    return &found->second.text;
}

bool step_advice::any_ticket(instant at) const {
    return std::ranges::any_of(
        m_tickets, [&](const auto& each) { return each.second.valid_until >= at + ticket_margin; });
}

void good_share::add(std::ptrdiff_t asked, std::ptrdiff_t good) {
    m_asked += static_cast<double>(asked);
    m_good += static_cast<double>(good);
    if (m_asked <= max_weight)
        return;
    m_good *= max_weight / m_asked;
    m_asked = max_weight;
}

void step_advice::ask() {
    m_asked = true;
}

void step_advice::handle_answer(instant at, const std::vector<std::string>& targets,
                                const std::vector<advice_ticket>& good, milliseconds valid) {
    m_asked = false;
    const auto restarted = std::exchange(m_restarted, {});
    for (const auto& target : targets) {
        if (!restarted.contains(target))
            m_known.insert(target);
    }
    for (const auto& each : good) {
        if (!restarted.contains(each.target))
            m_tickets[each.target] = {each.text, at + valid};
    }
}

void step_advice::failed(instant at) {
    m_asked = false;
    m_restarted.clear();
    m_next = at + retry_after_failure;
}

void step_advice::refused(const std::string& target) {
    const auto found = m_tickets.find(target);
    if (found != m_tickets.end())
        found->second.valid_until = {};
}

void step_advice::forget(const std::string& target) {
    m_known.erase(target);
    m_tickets.erase(target);
    if (m_asked)
        m_restarted.insert(target);
}

} // namespace medlarhub

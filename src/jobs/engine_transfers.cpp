// Transfers of targets between partitions.

#include "jobs/engine.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// Steps that have waited for less than this don't count as a shortage: runs that end here free capacity.
constexpr milliseconds min_shortage_wait{1000};
/// Gangs that have waited for less than this get no precedence over the needs of other partitions.
constexpr milliseconds min_gang_shortage_wait{3000};
/// Targets of other partitions are returned this long after they came and after the last shortage.
constexpr milliseconds return_delay{5000};
constexpr milliseconds return_period{500};
/// Targets aren't returned if more than this fraction of the remaining CPU would then be in use.
constexpr double max_busy_share = 0.5;
/// A target that was transferred here stays at least this long, so that advice on it can be requested first.
constexpr milliseconds min_stay{2000};
/// Maximum number of transfers in one transaction.
constexpr int max_transfers = 40;

bool lacks_capacity(wait_cause cause) {
    return cause == wait_cause::no_capacity || cause == wait_cause::too_few_good_targets ||
           cause == wait_cause::capacity_reserved || cause == wait_cause::not_reached;
}

} // namespace

void job_engine::note_shortage(instant at, const ready_step& ready, wait_cause cause) {
    const auto& step = step_of(ready);
    if (cause != wait_cause::none)
        m_waiting_cpu_milli += count_queued(step) * need_of(ready.job->spec.steps(ready.step)).cpu_milli;
    if (!lacks_capacity(cause) || step.wait.total(at) < min_shortage_wait)
        return;
    const auto missing_cpu = missing_cpu_milli(ready);
    m_shortage_cpu_milli += missing_cpu;
    m_last_shortage = at;
    const auto accepted = ready.job->spec.accepted_ms();
    const bool is_gang = ready.job->spec.steps(ready.step).gang();
    const bool waits_long = step.wait.total(at) >= min_gang_shortage_wait;
    if (!is_gang || !waits_long || missing_cpu == 0 ||
        (m_shortage_gang && m_shortage_gang->accepted_ms <= accepted))
        return;
    m_shortage_gang = waiting_gang{accepted, missing_cpu};
    m_shortage_gang_step = {ready.job->spec.id(), ready.occurrence, ready.step, 0};
}

std::int64_t job_engine::missing_cpu_milli(const ready_step& ready) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto cpu = static_cast<double>(need_of(spec).cpu_milli);
    const auto queued = static_cast<double>(count_queued(step_of(ready)));
    const auto queue = m_config->queues.find(ready.job->queue);
    const bool advised = queue != m_config->queues.end() && queue->second.advice;
    if (!advised || !spec.gang())
        return static_cast<std::int64_t>(queued * cpu);
    const auto share = m_good_share[ready.job->queue].value();
    const auto missing = std::max(queued - expected_members(ready, share), 0.0);
    return static_cast<std::int64_t>(missing * cpu / share);
}

double job_engine::expected_members(const ready_step& ready, double share) const {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto& advice = step_of(ready).advice;
    double expected = 0;
    for (const auto& [id, target] : m_targets) {
        if (!target.listed || target.suspect || target.transfer_to)
            continue;
        const auto members = static_cast<double>(max_members(spec, target.free()));
        if (advice.good(id))
            expected += members;
        else if (!advice.known(id))
            expected += share * members;
    }
    return expected;
}

cpu_load job_engine::load() const {
    cpu_load made{m_waiting_cpu_milli, 0};
    for (const auto& [id, target] : m_targets) {
        if (target.transfer_to)
            continue;
        made.demand_cpu_milli += target.held.cpu_milli;
        made.capacity_cpu_milli += target.listed ? target.entry.capacity.cpu_milli : 0;
    }
    return made;
}

std::optional<capacity_shortage> job_engine::shortage() const {
    if (m_shortage_cpu_milli <= 0)
        return {};
    return capacity_shortage{load(), m_shortage_cpu_milli, m_shortage_gang};
}

bool job_engine::can_transfer(instant at, const target_state& target) const {
    const auto& id = target.entry.id;
    return usable(at, target) && target.was_idle && target.runs.empty() && target.orphans.empty() &&
           !m_kept.contains(&target) && !m_unconfirmed_targets.contains(id);
}

bool job_engine::is_spare(instant at, const target_state& target) {
    const auto& id = target.entry.id;
    if (m_reserved.contains(&target))
        return false;
    if (target.entry.transfers > 0 && at - target.first_contact < min_stay)
        return false;
    const auto* step = m_shortage_gang ? find_step(m_shortage_gang_step, nullptr) : nullptr;
    return step == nullptr || (step->advice.known(id) && !step->advice.good(id));
}

int job_engine::transfer_targets(instant at, int to, const capacity_shortage& shortage) {
    if (m_recovering) // which work waits here isn't certain yet
        return 0;
    const bool gang_first = is_destination_gang_first(m_shortage_gang, shortage.gang);
    std::vector<target_state*> transferable;
    std::map<std::string, int> empty_in_rack;
    for (auto& [id, target] : m_targets) {
        if (!can_transfer(at, target) || (!gang_first && !is_spare(at, target)))
            continue;
        transferable.push_back(&target);
        ++empty_in_rack[target.entry.rack];
    }
    // Targets whose home is the other partition go first, then those of a third one; then the racks with most
    // empty targets, for gangs that need a single rack.
    std::ranges::stable_sort(transferable, {}, [&](const target_state* target) {
        const auto home = target->entry.home;
        return std::tuple{home != to, home == m_options.partition, -empty_in_rack[target->entry.rack],
                          target->entry.rack};
    });
    auto left = cpu_to_transfer(load(), shortage, gang_first);
    int transferred = 0;
    for (auto* target : transferable) {
        const auto cpu = target->entry.capacity.cpu_milli;
        if (transferred >= max_transfers || (target->entry.home != to && cpu > left))
            break;
        left -= cpu;
        ++transferred;
        start_transfer(*target, to);
    }
    return transferred;
}

void job_engine::start_transfer(target_state& target, int to) {
    target.transfer_to = to;
    m_transfers_due = true;
}

void job_engine::return_surplus_targets(instant at) {
    if (m_recovering || at < m_next_return || at - m_last_shortage < return_delay)
        return;
    m_next_return = at + return_period;
    auto remaining = load();
    int returned = 0;
    for (auto& [id, target] : m_targets) {
        const bool borrowed = target.entry.home != m_options.partition;
        if (!borrowed || at - target.first_contact < return_delay || !can_transfer(at, target) ||
            !is_spare(at, target))
            continue;
        remaining.capacity_cpu_milli -= target.entry.capacity.cpu_milli;
        const auto allowed = max_busy_share * static_cast<double>(remaining.capacity_cpu_milli);
        if (returned++ >= max_transfers || static_cast<double>(remaining.demand_cpu_milli) > allowed)
            return;
        start_transfer(target, target.entry.home);
    }
}

void job_engine::take_transfers(job_rows& to) {
    m_transfers_due = false;
    for (auto& [id, target] : m_targets) {
        if (!target.transfer_to || target.transfer_recorded)
            continue;
        if (static_cast<int>(to.transfers.size()) == max_transfers) {
            m_transfers_due = true;
            return;
        }
        target.transfer_recorded = true;
        to.transfers.push_back({id, {*target.transfer_to, target.entry.transfers + 1}});
        m_roster.erase(id);
        m_roster_dirty = true;
    }
}

void job_engine::forget_target(const target_state& target) {
    m_reserved.erase(&target);
    m_kept.erase(&target);
}

void job_engine::drop_transferred() {
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        const auto& target = it->second;
        if (!target.transfer_recorded) {
            ++it;
            continue;
        }
        add_event("target_passed_on", {}, it->first + " to partition " + std::to_string(*target.transfer_to));
        m_completed_transfers.push_back({it->first, {*target.transfer_to, target.entry.transfers + 1}});
        forget_target(it->second);
        it = m_targets.erase(it);
    }
}

std::vector<target_transfer> job_engine::take_completed_transfers() {
    return std::exchange(m_completed_transfers, {});
}

} // namespace medlarhub

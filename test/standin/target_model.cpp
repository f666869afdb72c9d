#include "standin/target_model.h"

#include <algorithm>

namespace medlarhub::standin {

namespace {
/// Another partition may take over the target once it runs nothing and its owner has not contacted it for
/// this long.
constexpr milliseconds reassign_after{10'000};
} // namespace

target_model::target_model(vm_info info, std::string incarnation)
    : m_info{std::move(info)}, m_incarnation{std::move(incarnation)} {}

bool target_model::accept_authority(instant at, const target_authority& authority) {
    if (m_partition != authority.partition) {
        const bool free = m_partition < 0 || (running() == 0 && at - m_last_contact >= reassign_after);
        if (!free)
            return false;
        m_partition = authority.partition;
        m_epoch = 0;
    }
    if (authority.epoch < m_epoch)
        return false;
    m_epoch = authority.epoch;
    m_last_contact = at;
    return true;
}

void target_model::end(task& ended, run_state state) {
    ended.state = state;
    if (!ended.direct)
        ++m_version;
}

target_model::start_result target_model::start(instant at, const target_authority& authority,
                                               const start_command& command, milliseconds run, bool fails) {
    advance(at);
    if (!accept_authority(at, authority))
        return {"fenced", "a later epoch owns this target", m_version};
    if (command.incarnation != m_incarnation)
        return {"refused", "the target restarted", m_version};
    if (m_never_run.contains(command.task_id))
        return {"never", "settled as never run", m_version};
    if (const auto known = outcome(command.task_id))
        return *known;
    auto free = m_info.capacity;
    free -= used();
    if (m_info.leaving || running() >= m_info.slots || !command.need.fits(free))
        return {"refused", m_info.leaving ? "leaving" : "no room", m_version};
    ++m_executions[command.task_id];
    task added;
    added.epoch = authority.epoch;
    added.direct = command.direct;
    added.fails = fails || m_fail_all_starts;
    added.need = command.need;
    added.body = command.body;
    added.lease = command.lease;
    added.lease_end = at + command.lease;
    if (run > milliseconds{0} || added.fails)
        added.run_end = at + run;
    m_tasks[command.task_id] = added;
    if (!command.direct)
        ++m_version;
    advance(at);
    return *outcome(command.task_id);
}

std::optional<target_model::start_result> target_model::outcome(const std::string& id) const {
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end())
        return {};
    switch (found->second.state) {
    case run_state::done:
        return start_result{"done", found->second.body, m_version};
    case run_state::failed:
        return start_result{"failed", found->second.body, m_version};
    case run_state::stopped:
        return start_result{"stopped", {}, m_version};
    case run_state::running:
        break;
    }
    return start_result{"running", {}, m_version};
}

std::optional<target_inventory> target_model::poll(instant at, const target_authority& authority, bool renew,
                                                   const std::vector<std::string>& acknowledged) {
    advance(at);
    if (!accept_authority(at, authority))
        return {};
    for (const auto& id : acknowledged) {
        const auto found = m_tasks.find(id);
        if (found != m_tasks.end() && found->second.state != run_state::running)
            m_tasks.erase(found);
    }
    target_inventory seen;
    seen.target = m_info.id;
    seen.incarnation = m_incarnation;
    seen.version = m_version;
    for (auto& [id, held] : m_tasks) {
        if (renew && held.state == run_state::running && !held.direct)
            held.lease_end = at + held.lease;
        inventory_item item;
        item.id = id;
        item.epoch = held.epoch;
        item.state = held.state;
        item.direct = held.direct;
        item.need = held.need;
        item.result =
            held.state == run_state::done || held.state == run_state::failed ? held.body : std::string{};
        item.memory_mb = static_cast<std::int64_t>(static_cast<double>(held.need.memory_mb) * m_usage_factor);
        seen.items.push_back(std::move(item));
    }
    return seen;
}

std::optional<bool> target_model::stop(instant at, const target_authority& authority, const std::string& id) {
    advance(at);
    if (!accept_authority(at, authority))
        return {};
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) {
        m_never_run.insert(id);
        return true;
    }
    if (found->second.state == run_state::running)
        end(found->second, run_state::stopped);
    return found->second.state == run_state::stopped;
}

target_model::start_result target_model::settle(instant at, const target_authority& authority,
                                                const std::string& id) {
    advance(at);
    if (!accept_authority(at, authority))
        return {"unknown", "a later epoch owns this target", m_version};
    if (const auto known = outcome(id))
        return *known;
    m_never_run.insert(id);
    return {"never", {}, m_version};
}

void target_model::advance(instant at) {
    for (auto& [id, held] : m_tasks) {
        if (held.state != run_state::running)
            continue;
        const bool finished = held.run_end && *held.run_end <= at;
        if (finished && *held.run_end <= held.lease_end)
            end(held, held.fails ? run_state::failed : run_state::done);
        else if (held.lease_end <= at)
            end(held, run_state::stopped);
    }
}

void target_model::restart(const std::string& incarnation) {
    m_incarnation = incarnation;
    m_tasks.clear();
    m_never_run.clear();
    m_partition = -1;
    m_epoch = 0;
    ++m_version;
}

std::optional<instant> target_model::next_event() const {
    std::optional<instant> next;
    for (const auto& [id, held] : m_tasks) {
        if (held.state != run_state::running)
            continue;
        const auto event = held.run_end ? std::min(*held.run_end, held.lease_end) : held.lease_end;
        next = next ? std::min(*next, event) : event;
    }
    return next;
}

int target_model::running() const {
    return static_cast<int>(std::ranges::count_if(
        m_tasks, [](const auto& entry) { return entry.second.state == run_state::running; }));
}

resources target_model::used() const {
    resources sum;
    for (const auto& [id, held] : m_tasks) {
        if (held.state == run_state::running)
            sum += held.need;
    }
    return sum;
}

std::vector<std::string> target_model::running_ids() const {
    std::vector<std::string> ids;
    for (const auto& [id, held] : m_tasks) {
        if (held.state == run_state::running)
            ids.push_back(id);
    }
    return ids;
}

void target_model::forget_direct(const std::string& id) {
    const auto found = m_tasks.find(id);
    if (found != m_tasks.end() && found->second.direct && found->second.state != run_state::running)
        m_tasks.erase(found);
}

} // namespace medlarhub::standin

// Requests to the advice service: which steps need them, for which targets, and what the answers say.

#include "jobs/engine.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// The most targets that one request usually names.
constexpr std::size_t max_targets_of_request = 30;
/// The most targets that a request names for a gang that needs more than that.
constexpr std::size_t max_targets_of_gang_request = 100;
/// Requests name targets for this many times the tasks that wait, since other steps take some of the capacity
/// until the answer comes, and a second request costs the fixed part again.
constexpr double capacity_margin = 2;

} // namespace

bool job_engine::waits_for_advice(instant at, const ready_step& ready) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto queue = m_config->queues.find(ready.job->queue);
    if (spec.gang() || queue == m_config->queues.end() || !queue->second.advice)
        return false;
    const auto& step = step_of(ready);
    if (step.advice.any_ticket(at) || (step.advice.due(at) && is_relay_free(at, ready)))
        return false;
    const auto queued = count_queued(step);
    m_uncommitted_cpu_milli -= queued * need_of(spec).cpu_milli;
    return true;
}

bool job_engine::is_relay_free(instant at, const ready_step& ready) const {
    return m_advice_relays.any_free(at, length_of(*m_config->queues.at(ready.job->queue).advice));
}

std::int64_t job_engine::free_cpu_milli(instant at) const {
    std::int64_t free = 0;
    for (const auto& [id, target] : m_targets) {
        if (usable(at, target))
            free += std::max<std::int64_t>(target.free().cpu_milli, 0);
    }
    return free;
}

void job_engine::request_missing_advice(instant at, const ready_step& ready,
                                        const std::vector<target_state*>& candidates) {
    auto& step = step_of(ready);
    const auto queued = count_queued(step);
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto need_of_all = queued * need_of(spec).cpu_milli;
    // Capacity that earlier steps are about to use needs no further requests. A gang uses none until all of
    // its members fit.
    const bool capacity_left = m_uncommitted_cpu_milli > 0;
    if (!spec.gang())
        m_uncommitted_cpu_milli -= need_of_all;
    if (!capacity_left)
        return;
    if (!step.advice.due(at)) {
        m_changed = m_changed || !step.advice.asked();
        return;
    }
    if (!is_relay_free(at, ready)) {
        if (spec.gang())
            m_uncommitted_cpu_milli -= need_of_all;
        return;
    }
    auto useful =
        spec.gang() ? useful_targets_for_gang(ready, candidates) : useful_targets(at, ready, candidates);
    if (spec.gang() && !useful.empty())
        m_uncommitted_cpu_milli -= need_of_all;
    (void)request_tickets(at, ready, useful);
}

bool job_engine::request_tickets(instant at, const ready_step& ready,
                                 const std::vector<target_state*>& targets) {
    auto& step = step_of(ready);
    const auto& policy = *m_config->queues.at(ready.job->queue).advice;
    advice_request request;
    request.step = task_name{ready.job->spec.id(), ready.occurrence, ready.step, 0}.step_string();
    for (const auto* target : targets) {
        if (step.advice.ticket(at, target->entry.id) == nullptr &&
            request.targets.size() < max_targets_of_gang_request)
            request.targets.push_back(target->entry.id);
    }
    if (request.targets.empty() || !step.advice.due(at))
        return false;
    const auto cost = policy.decide + policy.per_target * static_cast<double>(request.targets.size());
    request.cost = std::chrono::ceil<milliseconds>(cost);
    const auto node = m_advice_relays.take(at, request.cost, length_of(policy));
    if (!node)
        return false;
    request.node = *node;
    step.advice.ask();
    auto& load = m_advice_load[ready.job->queue];
    ++load.requests;
    load.time += request.cost;
    load.targets += request.targets.size();
    m_steps_with_open_request[request.step] = {ready.job->spec.id(), ready.occurrence, ready.step, 0};
    m_advice_requests.push_back(std::move(request));
    return true;
}

std::vector<target_state*> job_engine::useful_targets(instant at, const ready_step& ready,
                                                      std::vector<target_state*> candidates) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto& step = step_of(ready);
    const auto wanted = capacity_margin * static_cast<double>(count_queued(step));
    std::ranges::stable_sort(candidates, std::ranges::greater{},
                             [](const target_state* target) { return target->free().cpu_milli; });
    const auto members_in = [&](const target_state* target) {
        return static_cast<double>(max_members(spec, target->free()));
    };
    std::vector<target_state*> useful;
    double expected = 0;
    for (auto* target : candidates) {
        const auto& id = target->entry.id;
        if (!step.advice.good(id))
            continue;
        if (step.advice.ticket(at, id) == nullptr && expected < wanted)
            useful.push_back(target);
        expected += members_in(target);
    }
    std::size_t asked = 0;
    for (auto* target : candidates) {
        if (asked >= max_targets_of_request)
            break;
        if (step.advice.known(target->entry.id))
            continue;
        useful.push_back(target);
        ++asked;
    }
    return useful;
}

std::vector<target_state*> job_engine::useful_targets_for_gang(const ready_step& ready,
                                                               const std::vector<target_state*>& candidates) {
    const auto& spec = ready.job->spec.steps(ready.step);
    const auto& step = step_of(ready);
    const auto wanted = static_cast<double>(spec.count());
    const auto members_in = [&](const resources& free) {
        return static_cast<double>(max_members(spec, free));
    };
    // How many members the usable targets known to be good could hold if they were empty.
    double good_capacity = 0;
    const auto suitable = suitable_targets(ready);
    for (const auto* target : suitable) {
        if (step.advice.good(target->entry.id))
            good_capacity += members_in(target->entry.capacity);
    }
    std::vector<target_state*> useful;
    std::vector<target_state*> unknown;
    double expected = 0;
    for (auto* target : candidates) {
        const auto& id = target->entry.id;
        if (step.advice.good(id)) {
            useful.push_back(target);
            expected += members_in(target->free());
        } else if (!step.advice.known(id)) {
            unknown.push_back(target);
        }
    }
    std::ranges::stable_sort(unknown, std::ranges::greater{},
                             [](const target_state* target) { return target->free().cpu_milli; });
    const auto good_share = m_good_share[ready.job->queue].value();
    std::size_t asked = 0;
    for (auto* target : unknown) {
        if (asked >= max_targets_of_gang_request ||
            (asked >= max_targets_of_request && expected >= capacity_margin * wanted))
            break;
        expected += good_share * members_in(target->free());
        useful.push_back(target);
        ++asked;
    }
    if (expected >= wanted || (good_capacity < wanted && asked > 0))
        return useful;
    return unknown_targets(step, suitable);
}

std::vector<target_state*> job_engine::unknown_targets(const step_state& step,
                                                       std::vector<target_state*> targets) {
    std::erase_if(targets, [&](const target_state* target) { return step.advice.known(target->entry.id); });
    std::ranges::stable_sort(targets, std::ranges::greater{},
                             [](const target_state* target) { return target->free().cpu_milli; });
    if (targets.size() > max_targets_of_gang_request)
        targets.resize(max_targets_of_gang_request);
    return targets;
}

advice_statistics job_engine::take_advice_statistics(instant at) {
    return {m_advice_relays.nodes(), m_advice_relays.nodes_for_brief(at), std::exchange(m_advice_load, {})};
}

std::vector<advice_request> job_engine::take_advice_requests() {
    return std::exchange(m_advice_requests, {});
}

void job_engine::handle_advice(instant at, const advice_request& request,
                               const std::vector<advice_ticket>& good, milliseconds valid) {
    const auto asked = m_steps_with_open_request.find(request.step);
    if (asked == m_steps_with_open_request.end())
        return;
    job_state* job = nullptr;
    auto* step = find_step(asked->second, &job);
    m_steps_with_open_request.erase(asked);
    if (step == nullptr)
        return;
    const auto newly_known = std::ranges::count_if(
        request.targets, [&](const std::string& target) { return !step->advice.known(target); });
    const auto newly_good = std::ranges::count_if(
        good, [&](const advice_ticket& each) { return !step->advice.known(each.target); });
    m_good_share[job->queue].add(newly_known, newly_good);
    m_advice_load[job->queue].good += good.size();
    step->advice.handle_answer(at, request.targets, good, valid);
    m_changed = true;
    schedule(at);
}

void job_engine::forget_advice(const std::string& target) {
    for (const auto& [id, job] : m_open) {
        for (auto& [number, occurrence] : job->occurrences) {
            for (auto& step : occurrence.steps)
                step.advice.forget(target);
        }
    }
}

void job_engine::set_advice_relays(std::vector<std::string> nodes) {
    m_advice_relays.set_nodes(std::move(nodes));
}

void job_engine::handle_advice_failure(instant at, const advice_request& request) {
    m_advice_relays.failed(at, request.node);
    const auto asked = m_steps_with_open_request.find(request.step);
    if (asked == m_steps_with_open_request.end())
        return;
    auto* step = find_step(asked->second, nullptr);
    m_steps_with_open_request.erase(asked);
    if (step != nullptr)
        step->advice.failed(at);
    m_changed = true;
}

} // namespace medlarhub

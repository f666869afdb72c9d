#include "medlarhub/direct_queue.h"

#include <algorithm>
#include <cmath>

namespace medlarhub {

namespace {

constexpr double average_weight = 0.1;
constexpr milliseconds min_retry_after{20};

void update_average(double& average, double sample) {
    average = average == 0 ? sample : average + average_weight * (sample - average);
}

} // namespace

direct_queue::direct_queue(target_pool& pool, fair_share& shares, std::uint64_t seed)
    : m_pool{pool}, m_shares{shares}, m_random{seed} {}

milliseconds direct_queue::run_estimate(const direct_request& request) const {
    const auto found = m_observed_ms.find(request.service);
    if (found == m_observed_ms.end())
        return request.run_estimate;
    return milliseconds{static_cast<std::int64_t>(std::ceil(found->second))};
}

milliseconds direct_queue::expected_wait() const {
    if (m_waiting == 0)
        return milliseconds{0};
    // Slots held by bulk work don't become free soon enough to matter, so only slots with direct requests
    // count as servers.
    const auto servers = std::max<double>(1, static_cast<double>(m_running.size()));
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(m_waiting) * m_mean_ms / servers)};
}

std::optional<std::string> direct_queue::start(instant at, const direct_request& request) {
    auto target = m_pool.choose_for_direct(at, request.need, m_random);
    if (!target)
        return {};
    m_pool.hold(*target, request.need);
    m_pool.probe_started(*target);
    m_shares.hold(request.team, request.need);
    m_running.emplace(request.token, running_request{request, *target, at});
    return target;
}

direct_decision direct_queue::admit(instant at, const direct_request& request) {
    const auto estimate = run_estimate(request);
    const bool may_start = m_shares.may_start(request.team, request.need);
    const auto queue = m_queues.find(request.team);
    const bool first = queue == m_queues.end() || queue->second.empty();
    if (first && may_start) {
        if (const auto target = start(at, request))
            return {direct_outcome::placed, *target, {}, {}};
    }
    if (m_running.empty() && m_pool.slots() == 0)
        return {direct_outcome::refused, {}, "no target is in service", min_retry_after};
    const auto wait = std::max(expected_wait(), milliseconds{1});
    if (at + wait + estimate > request.deadline)
        return {direct_outcome::refused, {}, "the deadline can't be met", std::max(wait, min_retry_after)};
    m_queues[request.team].push_back(request);
    ++m_waiting;
    return {direct_outcome::queued, {}, {}, {}};
}

std::optional<direct_queue::running_request> direct_queue::remove_running(std::uint64_t token) {
    const auto found = m_running.find(token);
    if (found == m_running.end())
        return {};
    auto ended = std::move(found->second);
    m_running.erase(found);
    m_pool.release(ended.target, ended.request.need);
    m_shares.release(ended.request.team, ended.request.need);
    return ended;
}

void direct_queue::finished(instant at, std::uint64_t token, bool failed) {
    const auto ended = remove_running(token);
    if (!ended)
        return;
    if (failed) {
        m_pool.failed(at, ended->target);
        return;
    }
    m_pool.succeeded(ended->target);
    const auto took = std::max(1.0, static_cast<double>((at - ended->started).count()));
    update_average(m_observed_ms[ended->request.service], took);
    update_average(m_mean_ms, took);
}

void direct_queue::refused(instant /*at*/, std::uint64_t token) {
    remove_running(token);
}

std::string direct_queue::next_team(const std::map<std::string, bool>& blocked) const {
    std::string best;
    double best_usage = 0;
    for (const auto& [team, queue] : m_queues) {
        if (queue.empty() || blocked.contains(team))
            continue;
        const auto usage = m_shares.usage(team);
        if (best.empty() || usage < best_usage) {
            best = team;
            best_usage = usage;
        }
    }
    return best;
}

std::vector<direct_start> direct_queue::start_ready(instant at) {
    std::vector<direct_start> started;
    std::map<std::string, bool> blocked;
    while (m_waiting > 0) {
        const auto team = next_team(blocked);
        if (team.empty())
            break;
        auto& queue = m_queues[team];
        const auto target =
            m_shares.may_start(team, queue.front().need) ? start(at, queue.front()) : std::nullopt;
        if (!target) {
            blocked[team] = true;
            continue;
        }
        started.push_back({queue.front().token, *target});
        queue.pop_front();
        --m_waiting;
    }
    return started;
}

std::vector<std::uint64_t> direct_queue::take_expired(instant at) {
    std::vector<std::uint64_t> tokens;
    for (auto& [team, queue] : m_queues) {
        const auto late = [&](const direct_request& request) {
            if (at + run_estimate(request) <= request.deadline)
                return false;
            tokens.push_back(request.token);
            return true;
        };
        std::erase_if(queue, late);
    }
    m_waiting -= tokens.size();
    return tokens;
}

std::vector<std::uint64_t> direct_queue::take_queued() {
    std::vector<std::uint64_t> tokens;
    for (const auto& [team, queue] : m_queues) {
        for (const auto& request : queue)
            tokens.push_back(request.token);
    }
    m_queues.clear();
    m_waiting = 0;
    return tokens;
}

std::int64_t direct_queue::waiting_cpu(const std::string& team) const {
    std::int64_t sum = 0;
    const auto found = m_queues.find(team);
    if (found == m_queues.end())
        return 0;
    for (const auto& request : found->second)
        sum += request.need.cpu_milli;
    return sum;
}

} // namespace medlarhub

#include "medlarhub/target_pool.h"

#include <algorithm>
#include <cmath>

namespace medlarhub {

namespace {

/// Returns the utilisation of the target's most used resource if the need were placed on it.
double fullness(const target_view& target, const resources& need) {
    const auto& capacity = target.info.capacity;
    const auto free = target.free();
    const auto part = [](std::int64_t left, std::int64_t whole) {
        return whole == 0 ? 0.0 : 1 - static_cast<double>(left) / static_cast<double>(whole);
    };
    return std::max({part(free.cpu_milli - need.cpu_milli, capacity.cpu_milli),
                     part(free.memory_mb - need.memory_mb, capacity.memory_mb),
                     part(target.free_slots() - 1, target.info.slots)});
}

/// Penalises placing work without accelerators on targets that have some.
double accelerator_penalty(const target_view& target, const resources& need) {
    return target.info.capacity.accelerators > 0 && need.accelerators == 0 ? 1 : 0;
}

bool in_service(const target_view& target) {
    return target.confirmed && !target.unresponsive && target.listed && !target.drained &&
           !target.info.leaving && !target.ejected;
}

} // namespace

resources target_view::free() const {
    resources left = info.capacity;
    left -= held;
    left -= orphaned;
    left.memory_mb = std::min(left.memory_mb, info.capacity.memory_mb - observed_memory_mb);
    return left;
}

int target_view::free_slots() const {
    return info.slots - slots_held - orphaned_slots;
}

target_pool::target_pool(target_pool_options options) : m_options{options} {}

void target_pool::set_fleet(const std::vector<vm_info>& targets,
                            const std::function<bool(const vm_info&)>& drained) {
    for (auto& target : m_targets)
        target.listed = false;
    for (const auto& info : targets) {
        const auto [found, added] = m_index.try_emplace(info.id, m_targets.size());
        if (added)
            m_targets.emplace_back();
        auto& target = m_targets[found->second];
        target.info = info;
        target.listed = true;
    }
    std::erase_if(m_targets,
                  [](const target_view& target) { return !target.listed && target.slots_held == 0; });
    m_index.clear();
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
        m_index[m_targets[i].info.id] = i;
        m_targets[i].drained = drained(m_targets[i].info);
    }
}

target_view* target_pool::find(const std::string& id) {
    const auto found = m_index.find(id);
    return found == m_index.end() ? nullptr : &m_targets[found->second];
}

const target_view* target_pool::find(const std::string& id) const {
    const auto found = m_index.find(id);
    return found == m_index.end() ? nullptr : &m_targets[found->second];
}

bool target_pool::usable(instant at, const target_view& target, bool may_probe) const {
    if (!target.confirmed || target.unresponsive || !target.listed || target.drained || target.info.leaving)
        return false;
    return !target.ejected || (may_probe && !target.probing && at >= target.probe_at);
}

bool target_pool::has_capacity(const target_view& target, const placement_need& wanted) const {
    const int reserved_slots =
        wanted.bulk && target.info.slots > m_options.non_bulk_slots ? m_options.non_bulk_slots : 0;
    return target.free_slots() > reserved_slots && wanted.need.fits(target.free());
}

std::optional<std::string> target_pool::choose(instant at, const placement_need& wanted) const {
    constexpr double spread_weight = 10;
    const target_view* best = nullptr;
    double best_score = 0;
    for (const auto& target : m_targets) {
        if (!has_capacity(target, wanted) || !usable(at, target, wanted.may_probe))
            continue;
        if (wanted.allowed && !wanted.allowed(target))
            continue;
        double score = wanted.pack ? fullness(target, wanted.need) : -fullness(target, wanted.need);
        score -= 2 * accelerator_penalty(target, wanted.need);
        if (wanted.spread)
            score -= spread_weight * wanted.spread(target);
        if (best == nullptr || score > best_score) {
            best = &target;
            best_score = score;
        }
    }
    if (best == nullptr)
        return {};
    return best->info.id;
}

std::optional<std::string> target_pool::choose_for_direct(instant at, const resources& need,
                                                          std::mt19937_64& random) const {
    if (m_targets.empty())
        return {};
    const placement_need wanted{.need = need, .pack = false};
    std::uniform_int_distribution<std::size_t> draw{0, m_targets.size() - 1};
    const target_view* best = nullptr;
    for (int i = 0; i < 2; ++i) {
        const auto& target = m_targets[draw(random)];
        if (!has_capacity(target, wanted) || !usable(at, target, true))
            continue;
        if (best == nullptr || target.free_slots() > best->free_slots())
            best = &target;
    }
    if (best != nullptr)
        return best->info.id;
    return choose(at, wanted);
}

void target_pool::hold(const std::string& id, const resources& need) {
    const auto [found, added] = m_index.try_emplace(id, m_targets.size());
    if (added) { // not in the VM list: the held resources count once the target is listed
        m_targets.emplace_back();
        m_targets.back().info.id = id;
        m_targets.back().listed = false;
    }
    auto& target = m_targets[found->second];
    target.held += need;
    ++target.slots_held;
}

void target_pool::release(const std::string& id, const resources& need) {
    if (auto* target = find(id)) {
        target->held -= need;
        --target->slots_held;
        target->probing = false; // allows the next probe, whatever the outcome of this one
    }
}

void target_pool::succeeded(const std::string& id) {
    if (auto* target = find(id)) {
        target->failures = 0;
        target->ejected = false;
        target->probing = false;
        target->probe_wait = {};
    }
}

void target_pool::failed(instant at, const std::string& id) {
    auto* target = find(id);
    if (target == nullptr)
        return;
    ++target->failures;
    target->probing = false;
    if (target->failures < m_options.eject_after)
        return;
    const auto ejected = std::ranges::count_if(m_targets, &target_view::ejected);
    const auto max_ejected =
        std::max(1.0, std::floor(m_options.max_ejected * static_cast<double>(m_targets.size())));
    if (!target->ejected && static_cast<double>(ejected) >= max_ejected)
        return;
    target->ejected = true;
    target->probe_wait = target->probe_wait == milliseconds{0}
                             ? m_options.first_probe
                             : std::min(2 * target->probe_wait, m_options.max_probe);
    target->probe_at = at + target->probe_wait;
}

void target_pool::probe_started(const std::string& id) {
    auto* target = find(id);
    if (target != nullptr && target->ejected)
        target->probing = true;
}

bool target_pool::could_fit(const resources& need) const {
    return could_fit_count(need, 1) > 0;
}

int target_pool::could_fit_count(const resources& need, int limit) const {
    std::int64_t count = 0;
    for (const auto& target : m_targets) {
        if (!target.listed || count >= limit)
            continue;
        const auto& capacity = target.info.capacity;
        std::int64_t here = target.info.slots;
        here = std::min(here, capacity.cpu_milli / std::max<std::int64_t>(need.cpu_milli, 1));
        here = std::min(here, capacity.memory_mb / std::max<std::int64_t>(need.memory_mb, 1));
        if (need.accelerators > 0)
            here = std::min(here, capacity.accelerators / need.accelerators);
        count += here;
    }
    return static_cast<int>(std::min<std::int64_t>(count, limit));
}

resources target_pool::capacity() const {
    resources sum;
    for (const auto& target : m_targets) {
        if (target.listed)
            sum += target.info.capacity;
    }
    return sum;
}

resources target_pool::free() const {
    resources sum;
    for (const auto& target : m_targets) {
        if (in_service(target))
            sum += target.free();
    }
    return sum;
}

int target_pool::free_slots() const {
    int sum = 0;
    for (const auto& target : m_targets) {
        if (in_service(target))
            sum += std::max(0, target.free_slots());
    }
    return sum;
}

int target_pool::slots() const {
    int sum = 0;
    for (const auto& target : m_targets) {
        if (in_service(target))
            sum += target.info.slots;
    }
    return sum;
}

} // namespace medlarhub

#include "medlarhub/partition.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// The number of jobs in retry backoff that the scheduler skips in a team's queue.
constexpr std::size_t max_skipped_jobs = 32;
/// Safety factor on estimated run times, for backfill and for the time when a target becomes free.
constexpr double run_time_safety_factor = 1.5;
/// Reported memory usage above this fraction of a VM's memory preempts its lowest-priority preemptible task.
constexpr double memory_pressure_threshold = 0.95;

resources need_of(const pb::job& item) {
    return {item.need().cpu_milli(), item.need().memory_mb(), item.need().accelerators()};
}

bool is_bulk(const pb::job& item) {
    return item.priority() == static_cast<int>(priority_class::bulk);
}

} // namespace

void partition::schedule(instant at) {
    if (m_reservation && !m_jobs.contains(m_reservation->job_id))
        m_reservation.reset();
    if (m_reservation && m_jobs.at(m_reservation->job_id).queued.empty())
        m_reservation.reset();
    for (const auto priority : {priority_class::urgent, priority_class::normal, priority_class::bulk})
        schedule_class(at, static_cast<int>(priority));
}

bool partition::schedule_class(instant at, int priority) {
    const auto found = m_queues.find(priority);
    if (found == m_queues.end())
        return false;
    auto& queues = found->second;
    std::set<std::string> blocked;
    bool placed = false;
    for (;;) {
        const auto team = next_team(queues, blocked);
        if (team.empty())
            break;
        auto* job = next_job(at, queues[team]);
        if (job == nullptr) {
            if (queues[team].empty())
                queues.erase(team);
            blocked.insert(team);
            continue;
        }
        if (!m_shares.may_start(team, need_of(job->item))) {
            blocked.insert(team);
            continue;
        }
        if (place_job(at, *job)) {
            placed = true;
            continue;
        }
        blocked.insert(team);
        if (!m_reservation)
            reserve(at, *job);
        if (priority == static_cast<int>(priority_class::urgent))
            preempt_for(at, *job);
    }
    return placed;
}

std::string partition::next_team(const team_queues& queues, const std::set<std::string>& blocked) const {
    const std::string* best = nullptr;
    double best_usage = 0;
    for (const auto& [team, queue] : queues) {
        if (blocked.contains(team))
            continue;
        const auto usage = m_shares.usage(team);
        if (best != nullptr && usage >= best_usage)
            continue;
        best = &team;
        best_usage = usage;
    }
    return best == nullptr ? std::string{} : *best;
}

partition::job_state* partition::next_job(instant at, std::deque<std::string>& queue) {
    std::size_t looked = 0;
    for (auto it = queue.begin(); it != queue.end() && looked < max_skipped_jobs;) {
        auto* job = find_state(*it);
        if (job == nullptr || job->queued.empty()) {
            if (job != nullptr)
                job->in_queue = false;
            it = queue.erase(it);
            continue;
        }
        const auto is_due = [&](int index) {
            return job->tasks[static_cast<std::size_t>(index)].not_before <= at;
        };
        if (std::ranges::any_of(job->queued, is_due))
            return job;
        ++it;
        ++looked;
    }
    return nullptr;
}

bool partition::may_use(instant at, const target_view& target, const job_state& job) const {
    if (!m_reservation)
        return true;
    const auto reserved = m_reservation->targets.find(target.info.id);
    if (reserved == m_reservation->targets.end())
        return true;
    if (m_reservation->job_id == make_job_id(job.item.team(), job.item.request_id()))
        return true;
    const auto found = m_run_ms.find(job.item.service());
    const auto run = found == m_run_ms.end() ? static_cast<double>(job.item.run_ms()) : found->second;
    return at + milliseconds{static_cast<std::int64_t>(run * run_time_safety_factor)} <= reserved->second;
}

std::optional<std::string> partition::choose_target(instant at, const job_state& job) const {
    placement_need wanted{.need = need_of(job.item), .bulk = is_bulk(job.item)};
    wanted.may_probe = job.item.idempotent();
    wanted.allowed = [&](const target_view& target) { return may_use(at, target, job); };
    std::map<std::string, int> by_rack;
    if (job.item.type() == pb::job::replicated) {
        for (const auto& task : job.item.tasks()) {
            const auto* target = is_terminal(task.state()) ? nullptr : m_pool.find(task.target());
            if (target != nullptr)
                ++by_rack[target->info.rack];
        }
        wanted.spread = [&](const target_view& target) {
            const auto found = by_rack.find(target.info.rack);
            return found == by_rack.end() ? 0 : found->second;
        };
    }
    return m_pool.choose(at, wanted);
}

void partition::place_task(instant at, job_state& job, int index, const std::string& target) {
    pb::record entry;
    auto& body = *entry.mutable_place();
    body.set_job_id(make_job_id(job.item.team(), job.item.request_id()));
    body.set_index(index);
    body.set_attempt(job.item.tasks(index).attempt());
    body.set_target(target);
    const auto* view = m_pool.find(target);
    body.set_boot(view == nullptr ? std::string{} : view->incarnation);
    const task_ref task{body.job_id(), index, body.attempt()};
    append_record(std::move(entry));
    job.tasks[static_cast<std::size_t>(index)].since = at;
    m_pool.probe_started(target);
    add_effect(effect_kind::start, task, target);
}

bool partition::place_job(instant at, job_state& job) {
    if (job.item.type() == pb::job::gang)
        return place_gang(at, job);
    const auto is_due = [&](int index) {
        return job.tasks[static_cast<std::size_t>(index)].not_before <= at;
    };
    const auto index = std::ranges::find_if(job.queued, is_due);
    if (index == job.queued.end())
        return false;
    const auto target = choose_target(at, job);
    if (!target)
        return false;
    m_blocked_since.erase(make_job_id(job.item.team(), job.item.request_id()));
    place_task(at, job, *index, *target);
    return true;
}

bool partition::place_gang(instant at, job_state& job) {
    const auto need = need_of(job.item);
    const auto& team = job.item.team();
    std::vector<std::string> chosen;
    bool complete = true;
    for (std::size_t i = 0; i < job.queued.size(); ++i) {
        const auto target = m_shares.may_start(team, need) ? choose_target(at, job) : std::nullopt;
        if (!target) {
            complete = false;
            break;
        }
        m_pool.hold(*target, need);
        m_shares.hold(team, need);
        chosen.push_back(*target);
    }
    for (const auto& target : chosen) {
        m_pool.release(target, need);
        m_shares.release(team, need);
    }
    if (!complete)
        return false;
    const std::vector<int> indices{job.queued.begin(), job.queued.end()};
    for (std::size_t i = 0; i < indices.size(); ++i)
        place_task(at, job, indices[i], chosen[i]);
    return true;
}

instant partition::expected_end(const task_ref& task) const {
    const auto found = m_jobs.find(task.job_id);
    if (found == m_jobs.end())
        return {};
    const auto& job = found->second;
    const auto observed_run = m_run_ms.find(job.item.service());
    const auto run =
        observed_run == m_run_ms.end() ? static_cast<double>(job.item.run_ms()) : observed_run->second;
    const auto started = job.tasks[static_cast<std::size_t>(task.index)].since;
    if (job.item.type() == pb::job::replicated)
        return instant::max();
    return started + milliseconds{static_cast<std::int64_t>(run * run_time_safety_factor)};
}

instant partition::expected_free(instant at, const target_view& target, const resources& need) const {
    if (!need.fits(target.info.capacity) || !m_pool.usable(at, target, false))
        return instant::max();
    auto free = target.free();
    auto slots = target.free_slots();
    if (slots > 0 && need.fits(free))
        return at;
    std::vector<std::pair<instant, resources>> ends;
    const auto found = m_on_target.find(target.info.id);
    if (found != m_on_target.end()) {
        for (const auto& task : found->second)
            ends.emplace_back(std::max(at, expected_end(task)), need_of(m_jobs.at(task.job_id).item));
    }
    std::ranges::sort(ends, {}, &std::pair<instant, resources>::first);
    for (const auto& [end, held] : ends) {
        free += held;
        ++slots;
        if (slots > 0 && need.fits(free))
            return end;
    }
    return instant::max();
}

void partition::reserve(instant at, const job_state& job) {
    const auto need = need_of(job.item);
    std::vector<std::pair<instant, const target_view*>> candidates;
    for (const auto& target : m_pool.all()) {
        const auto free_at = expected_free(at, target, need);
        if (free_at != instant::max())
            candidates.emplace_back(free_at, &target);
    }
    std::ranges::stable_sort(candidates, {}, &std::pair<instant, const target_view*>::first);
    reservation wanted;
    wanted.job_id = make_job_id(job.item.team(), job.item.request_id());
    std::int64_t missing =
        job.item.type() == pb::job::gang ? static_cast<std::int64_t>(job.queued.size()) : 1;
    instant start = at;
    for (const auto& [free_at, target] : candidates) {
        if (missing <= 0)
            break;
        const auto by_cpu = target->info.capacity.cpu_milli / std::max<std::int64_t>(need.cpu_milli, 1);
        const auto by_memory = target->info.capacity.memory_mb / std::max<std::int64_t>(need.memory_mb, 1);
        missing -= std::min<std::int64_t>({by_cpu, by_memory, target->info.slots});
        wanted.targets[target->info.id] = free_at;
        start = std::max(start, free_at);
    }
    if (missing > 0)
        return;
    for (auto& [target, free_at] : wanted.targets)
        free_at = start;
    m_reservation = std::move(wanted);
}

void partition::preempt_for(instant at, const job_state& job) {
    const auto id = make_job_id(job.item.team(), job.item.request_id());
    const auto since = m_blocked_since.try_emplace(id, at).first->second;
    if (at - since < m_options.preempt_after)
        return;
    const auto need = need_of(job.item);
    for (const auto& target : m_pool.all()) {
        if (!need.fits(target.info.capacity) || !m_pool.usable(at, target, false))
            continue;
        auto free = target.free();
        auto slots = target.free_slots();
        std::vector<task_ref> victims;
        const auto tasks = m_on_target.find(target.info.id);
        if (tasks == m_on_target.end())
            continue;
        for (const auto& task : tasks->second) {
            if (slots > 0 && need.fits(free))
                break;
            const auto& victim = m_jobs.at(task.job_id);
            const bool stopping = victim.tasks[static_cast<std::size_t>(task.index)].stopping;
            const bool has_lower_priority = victim.item.priority() > job.item.priority();
            if (!stopping && !(has_lower_priority && victim.item.preemptible() &&
                               m_shares.above_share(victim.item.team())))
                continue;
            free += need_of(victim.item);
            ++slots;
            victims.push_back(task);
        }
        if (slots <= 0 || !need.fits(free))
            continue;
        for (const auto& task : victims)
            stop_task(m_jobs.at(task.job_id), task.index, true);
        m_blocked_since[id] = at; // waits `preempt_after` again before it preempts more for the same job
        return;
    }
}

void partition::relieve_memory_pressure(instant /*at*/) {
    for (const auto& target : m_pool.all()) {
        const auto threshold_mb =
            static_cast<double>(target.info.capacity.memory_mb) * memory_pressure_threshold;
        if (static_cast<double>(target.observed_memory_mb) <= threshold_mb)
            continue;
        const auto tasks = m_on_target.find(target.info.id);
        if (tasks == m_on_target.end())
            continue;
        const task_ref* victim = nullptr;
        bool has_stopping_task = false;
        for (const auto& task : tasks->second) {
            const auto& job = m_jobs.at(task.job_id);
            has_stopping_task = has_stopping_task || job.tasks[static_cast<std::size_t>(task.index)].stopping;
            if (!job.item.preemptible())
                continue;
            if (victim == nullptr || job.item.priority() > m_jobs.at(victim->job_id).item.priority())
                victim = &task;
        }
        if (victim == nullptr || has_stopping_task)
            continue;
        const auto chosen = *victim;
        stop_task(m_jobs.at(chosen.job_id), chosen.index, true);
    }
}

void partition::stop_on_drained_targets(instant /*at*/) {
    for (const auto& target : m_pool.all()) {
        if (!target.drained && !target.info.leaving)
            continue;
        const auto tasks = m_on_target.find(target.info.id);
        if (tasks == m_on_target.end())
            continue;
        for (const auto& task : tasks->second) {
            auto& job = m_jobs.at(task.job_id);
            if (job.item.preemptible() || job.item.type() == pb::job::replicated)
                stop_task(job, task.index, true);
        }
    }
}

void partition::apply_config(instant at, const config_state& config, const std::vector<int>& partitions) {
    for (const auto& [name, stored] : config.teams()) {
        m_shares.set_share(name, stored->parsed.share);
        // A limited team may not start anything until this partition's allotment is known.
        if (!stored->parsed.limit_cpu_milli)
            m_shares.set_allotment(name, {});
        else if (!m_shares.allotment(name))
            m_shares.set_allotment(name, 0);
    }
    std::set<std::string> wanted;
    for (const auto& [name, stored] : config.services()) {
        const auto& doc = stored->parsed;
        if (doc.kind != work_kind::service)
            continue;
        const auto replicas = replicas_of(name, doc.replicas, m_options.number, partitions);
        const auto id = make_job_id(doc.team, "service." + name);
        wanted.insert(id);
        auto* job = find_state(id);
        if (job != nullptr && !job->item.cancelled()) {
            if (job->item.replicas() != replicas) {
                pb::record entry;
                entry.mutable_scale()->set_job_id(id);
                entry.mutable_scale()->set_replicas(replicas);
                append_record(std::move(entry));
            }
            for (int i = replicas; i < job->item.tasks_size(); ++i) {
                if (!is_terminal(job->item.tasks(i).state()))
                    stop_task(*job, i, false);
            }
            continue;
        }
        if (replicas == 0 || (job != nullptr && job->item.finished_ms() == 0))
            continue;
        if (job != nullptr) {
            pb::record entry;
            entry.mutable_forget()->set_job_id(id);
            append_record(std::move(entry));
        }
        pb::job item = make_job(doc, doc.team, "service." + name, replicas);
        item.set_replicas(replicas);
        item.set_submitted_ms(to_ms(at));
        pb::record entry;
        *entry.mutable_accept()->mutable_item() = std::move(item);
        append_record(std::move(entry));
    }
    std::vector<std::string> removed;
    for (const auto& [id, job] : m_jobs) {
        if (job.item.type() == pb::job::replicated && !wanted.contains(id) && !job.item.cancelled())
            removed.push_back(id);
    }
    for (const auto& id : removed)
        cancel(at, id);
    schedule(at);
}

pb::job make_job(const service_document& doc, const std::string& team, const std::string& request_id,
                 int tasks) {
    pb::job item;
    item.set_team(team);
    item.set_request_id(request_id);
    item.set_service(doc.name);
    switch (doc.kind) {
    case work_kind::request:
        item.set_type(pb::job::request);
        break;
    case work_kind::batch:
        item.set_type(pb::job::batch);
        break;
    case work_kind::gang:
        item.set_type(pb::job::gang);
        break;
    case work_kind::service:
        item.set_type(pb::job::replicated);
        break;
    }
    item.set_idempotent(doc.idempotent || doc.kind == work_kind::service);
    item.mutable_need()->set_cpu_milli(doc.need.cpu_milli);
    item.mutable_need()->set_memory_mb(doc.need.memory_mb);
    item.mutable_need()->set_accelerators(doc.need.accelerators);
    item.set_priority(static_cast<int>(doc.priority));
    item.set_preemptible(doc.preemptible);
    item.set_run_ms(doc.run_time.count());
    item.set_lease_ms(doc.lease.count());
    item.set_max_attempts(doc.max_attempts);
    for (int i = 0; i < tasks; ++i)
        item.add_tasks();
    return item;
}

} // namespace medlarhub

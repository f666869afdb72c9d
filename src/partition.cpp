#include "medlarhub/partition.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <algorithm>
#include <charconv>

namespace medlarhub {

namespace {

/// The longest time that a deposed owner may continue to renew leases before it detects the takeover.
constexpr milliseconds deposed_owner_renewal_period{10'000};
constexpr int max_backoff_doublings = 7;
constexpr std::size_t forget_batch = 200;

resources need_of(const pb::job& item) {
    return {item.need().cpu_milli(), item.need().memory_mb(), item.need().accelerators()};
}

bool on_target(pb::task::phase state) {
    return state == pb::task::placed || state == pb::task::running;
}

} // namespace

std::string task_ref::to_string() const {
    return job_id + "#" + std::to_string(index) + "#" + std::to_string(attempt);
}

std::optional<task_ref> parse_task_ref(std::string_view text) {
    const auto last = text.rfind('#');
    if (last == std::string_view::npos || last == 0)
        return fail("a task id is job#index#attempt");
    const auto middle = text.rfind('#', last - 1);
    if (middle == std::string_view::npos)
        return fail("a task id is job#index#attempt");
    task_ref parsed{std::string{text.substr(0, middle)}, 0, 0};
    const auto number = [](std::string_view part, int& to) {
        const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), to);
        return error == std::errc{} && end == part.data() + part.size();
    };
    if (!number(text.substr(middle + 1, last - middle - 1), parsed.index) ||
        !number(text.substr(last + 1), parsed.attempt))
        return fail("a task id is job#index#attempt");
    return parsed;
}

std::string make_job_id(std::string_view team, std::string_view request_id) {
    return std::string{team} + "/" + std::string{request_id};
}

bool is_terminal(pb::task::phase state) {
    return state == pb::task::done || state == pb::task::failed || state == pb::task::cancelled ||
           state == pb::task::unknown;
}

int replicas_of(const std::string& service, int replicas, int partition, const std::vector<int>& partitions) {
    const auto found = std::ranges::find(partitions, partition);
    if (found == partitions.end())
        return 0;
    const auto count = static_cast<int>(partitions.size());
    const auto offset = static_cast<int>(stable_hash(service) % partitions.size());
    const auto rank = (static_cast<int>(found - partitions.begin()) + offset) % count;
    return replicas / count + (rank < replicas % count ? 1 : 0);
}

partition::partition(partition_options options)
    : m_options{options}, m_pool{options.pool}, m_direct{m_pool, m_shares, options.seed} {}

// ---- Journal ----

void partition::append_record(pb::record entry) {
    apply(entry, false);
    m_pending.push_back(std::move(entry));
}

std::vector<pb::record> partition::take_records(std::size_t max_bytes) {
    if (m_group_in_write || m_pending.empty())
        return {};
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < m_pending.size() && (count == 0 || bytes < max_bytes))
        bytes += m_pending[count++].ByteSizeLong();
    // Effects are released per generation, so a group that covers only part of a generation releases none.
    std::vector<pb::record> group{m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(count)};
    m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(count));
    m_group_in_write = true;
    if (m_pending.empty())
        ++m_generation;
    return group;
}

bool partition::write_awaited() const {
    const auto is_pending = [&](const auto& entry) { return entry.first >= m_generation; };
    return std::ranges::any_of(m_accepted, is_pending) || std::ranges::any_of(m_ended, is_pending) ||
           std::ranges::any_of(m_effects,
                               [&](const auto& entry) { return entry.generation >= m_generation; });
}

void partition::committed() {
    m_group_in_write = false;
    m_committed = m_generation - 1;
    release_acks();
}

void partition::release_acks() {
    std::erase_if(m_acks_pending, [&](const auto& pending) {
        if (pending.first > m_committed)
            return false;
        m_acks[pending.second.first].insert(pending.second.second);
        return true;
    });
}

std::vector<effect> partition::take_effects(instant at) {
    release_acks();
    std::vector<effect> released;
    std::erase_if(m_effects, [&](const pending_effect& pending) {
        if (pending.generation > m_committed)
            return false;
        released.push_back(pending.action);
        return true;
    });
    std::vector<effect> ready;
    for (auto& action : released) {
        auto* state = find_task(action.task);
        if (action.kind == effect_kind::start) {
            if (state == nullptr)
                continue;
            if (state->stopping) {
                never_ran(at, action.task, "stopped before it started");
                continue;
            }
            state->phase = start_phase::sent;
            state->since = at;
        }
        ready.push_back(std::move(action));
    }
    return ready;
}

namespace {

std::vector<std::string> take_durable(std::vector<std::pair<std::uint64_t, std::string>>& from,
                                      std::uint64_t committed) {
    std::vector<std::string> ready;
    std::erase_if(from, [&](const auto& entry) {
        if (entry.first > committed)
            return false;
        ready.push_back(entry.second);
        return true;
    });
    return ready;
}

} // namespace

std::vector<std::string> partition::take_ended() {
    return take_durable(m_ended, m_committed);
}

std::vector<std::string> partition::take_accepted() {
    auto ready = take_durable(m_accepted, m_committed);
    for (const auto& id : ready) {
        if (auto* job = find_state(id))
            job->is_durable = true;
    }
    return ready;
}

void partition::replay(const pb::record& entry, std::uint64_t sequence) {
    if (entry.has_take())
        m_epoch = sequence;
    apply(entry, true);
}

void partition::apply(const pb::record& entry, bool replayed) {
    switch (entry.body_case()) {
    case pb::record::kAccept:
        apply_accept(entry.accept().item(), replayed);
        break;
    case pb::record::kPlace:
        apply_place(entry.place(), replayed);
        break;
    case pb::record::kFinish:
        apply_finish(entry.finish());
        break;
    case pb::record::kRequeue:
        apply_requeue(entry.requeue());
        break;
    case pb::record::kCancel:
        apply_cancel(entry.cancel());
        break;
    case pb::record::kScale:
        apply_scale(entry.scale());
        break;
    case pb::record::kForget:
        m_jobs.erase(entry.forget().job_id());
        break;
    case pb::record::kTake:
    case pb::record::kRelease:
    case pb::record::BODY_NOT_SET:
        break;
    }
}

void partition::apply_accept(const pb::job& item, bool replayed) {
    const auto id = make_job_id(item.team(), item.request_id());
    const auto [found, added] = m_jobs.try_emplace(id);
    if (!added)
        return;
    auto& job = found->second;
    job.item = item;
    job.is_durable = replayed;
    job.tasks.resize(static_cast<std::size_t>(item.tasks_size()));
    for (int i = 0; i < item.tasks_size(); ++i) {
        const auto& task = item.tasks(i);
        if (!is_terminal(task.state()))
            ++job.open_tasks;
        if (task.state() == pb::task::queued)
            enqueue(job, i, false);
        if (on_target(task.state())) {
            m_pool.hold(task.target(), need_of(item));
            m_shares.hold(item.team(), need_of(item));
            m_on_target[task.target()].insert({id, i, task.attempt()});
            job.tasks[static_cast<std::size_t>(i)].phase = start_phase::recovered;
        }
    }
    if (item.finished_ms() != 0)
        m_ended_by_time.push_back(id);
    else if (!replayed)
        m_accepted.emplace_back(m_generation, id);
}

void partition::apply_place(const pb::placed& entry, bool replayed) {
    auto* job = find_state(entry.job_id());
    if (job == nullptr || entry.index() >= job->item.tasks_size())
        return;
    auto& task = *job->item.mutable_tasks(entry.index());
    task.set_state(pb::task::placed);
    task.set_attempt(entry.attempt());
    task.set_target(entry.target());
    task.set_boot(entry.boot());
    job->queued.erase(entry.index());
    auto& state = job->tasks[static_cast<std::size_t>(entry.index())];
    state = {};
    state.phase = replayed ? start_phase::recovered : start_phase::unsent;
    m_pool.hold(entry.target(), need_of(job->item));
    m_shares.hold(job->item.team(), need_of(job->item));
    m_on_target[entry.target()].insert({entry.job_id(), entry.index(), entry.attempt()});
}

void partition::release_target(job_state& job, int index) {
    auto& task = *job.item.mutable_tasks(index);
    if (!on_target(task.state()))
        return;
    m_pool.release(task.target(), need_of(job.item));
    m_shares.release(job.item.team(), need_of(job.item));
    const auto id = make_job_id(job.item.team(), job.item.request_id());
    m_on_target[task.target()].erase({id, index, task.attempt()});
    job.tasks[static_cast<std::size_t>(index)] = {};
}

void partition::close_task(job_state& job, int index, pb::task::phase state) {
    release_target(job, index);
    job.queued.erase(index);
    job.item.mutable_tasks(index)->set_state(state);
    --job.open_tasks;
}

void partition::apply_finish(const pb::finished& entry) {
    auto* job = find_state(entry.job_id());
    if (job == nullptr || entry.index() >= job->item.tasks_size())
        return;
    auto& task = *job->item.mutable_tasks(entry.index());
    if (is_terminal(task.state()))
        ++job->open_tasks; // the task was closed with an unknown outcome, which has now become known
    close_task(*job, entry.index(), entry.state());
    task.set_result(entry.result());
    task.set_reason(entry.reason());
    end_job_if_done(*job, entry.job_id(), entry.at_ms());
}

void partition::end_job_if_done(job_state& job, const std::string& job_id, std::int64_t at_ms) {
    if (job.open_tasks != 0 || job.item.finished_ms() != 0)
        return;
    job.item.set_finished_ms(at_ms);
    job.item.clear_body(); // the digest is enough to recognise a repeated request
    m_ended_by_time.push_back(job_id);
}

void partition::apply_requeue(const pb::requeued& entry) {
    auto* job = find_state(entry.job_id());
    if (job == nullptr || entry.index() >= job->item.tasks_size())
        return;
    release_target(*job, entry.index());
    auto& task = *job->item.mutable_tasks(entry.index());
    task.set_state(pb::task::queued);
    task.set_attempt(entry.attempt());
    task.clear_target();
    task.clear_boot();
    task.set_reason(entry.reason());
    if (entry.may_have_run())
        task.set_may_have_run(true);
    if (entry.failed())
        task.set_failures(task.failures() + 1);
    enqueue(*job, entry.index(), true);
}

void partition::apply_cancel(const pb::cancelled& entry) {
    auto* job = find_state(entry.job_id());
    if (job == nullptr)
        return;
    job->item.set_cancelled(true);
    job->item.set_withdrawn(entry.withdrawn());
    for (int i = 0; i < job->item.tasks_size(); ++i) {
        if (job->item.tasks(i).state() == pb::task::queued)
            close_task(*job, i, pb::task::cancelled);
    }
    end_job_if_done(*job, entry.job_id(), entry.at_ms());
}

void partition::apply_scale(const pb::scaled& entry) {
    auto* job = find_state(entry.job_id());
    if (job == nullptr)
        return;
    job->item.set_replicas(entry.replicas());
    for (int i = 0; i < job->item.tasks_size() || i < entry.replicas(); ++i) {
        if (i >= job->item.tasks_size()) {
            job->item.add_tasks();
            job->tasks.emplace_back();
            ++job->open_tasks;
            enqueue(*job, i, false);
        } else if (i < entry.replicas() && is_terminal(job->item.tasks(i).state())) {
            job->item.mutable_tasks(i)->set_state(pb::task::queued);
            job->item.mutable_tasks(i)->set_attempt(job->item.tasks(i).attempt() + 1);
            ++job->open_tasks;
            enqueue(*job, i, false);
        } else if (i >= entry.replicas() && job->item.tasks(i).state() == pb::task::queued) {
            close_task(*job, i, pb::task::cancelled);
        }
    }
}

void partition::restore(const pb::snapshot& from) {
    m_epoch = from.epoch();
    for (const auto& item : from.jobs())
        apply_accept(item, true);
    std::ranges::sort(m_ended_by_time, {},
                      [&](const std::string& id) { return m_jobs.at(id).item.finished_ms(); });
}

pb::snapshot partition::snapshot(std::uint64_t sequence) const {
    pb::snapshot taken;
    taken.set_sequence(sequence);
    taken.set_epoch(m_epoch);
    for (const auto& [id, job] : m_jobs)
        *taken.add_jobs() = job.item;
    return taken;
}

// ---- Lookup, queueing and records of task outcomes ----

partition::job_state* partition::find_state(const std::string& job_id) {
    const auto found = m_jobs.find(job_id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

partition::task_state* partition::find_task(const task_ref& task, job_state** job) {
    auto* found = find_state(task.job_id);
    if (found == nullptr || task.index < 0 || task.index >= found->item.tasks_size())
        return nullptr;
    const auto& item = found->item.tasks(task.index);
    if (item.attempt() != task.attempt || !on_target(item.state()))
        return nullptr;
    if (job != nullptr)
        *job = found;
    return &found->tasks[static_cast<std::size_t>(task.index)];
}

void partition::enqueue(job_state& job, int index, bool front) {
    job.queued.insert(index);
    if (job.in_queue)
        return;
    job.in_queue = true;
    auto& queue = m_queues[job.item.priority()][job.item.team()];
    const auto id = make_job_id(job.item.team(), job.item.request_id());
    if (front)
        queue.push_front(id);
    else
        queue.push_back(id);
}

void partition::add_effect(effect_kind kind, const task_ref& task, const std::string& target) {
    const auto generation = kind == effect_kind::start ? m_generation : 0;
    m_effects.push_back({generation, {kind, task, target}});
}

void partition::finish(instant at, const task_ref& task, pb::task::phase state, std::string_view result,
                       std::string_view reason) {
    pb::record entry;
    auto& body = *entry.mutable_finish();
    body.set_job_id(task.job_id);
    body.set_index(task.index);
    body.set_attempt(task.attempt);
    body.set_state(state);
    body.set_result(std::string{result});
    body.set_reason(std::string{reason});
    body.set_at_ms(to_ms(at));
    auto* job = find_state(task.job_id);
    const auto target = job->item.tasks(task.index).target();
    append_record(std::move(entry));
    m_acks_pending.emplace_back(m_generation, std::pair{target, task.to_string()});
    // A result that the target keeps can be returned before its record is durable: after a takeover, the next
    // owner would read the same result from the target.
    const bool kept_by_target = state == pb::task::done;
    if (job->open_tasks == 0)
        m_ended.emplace_back(kept_by_target ? 0 : m_generation, task.job_id);
}

void partition::requeue(const task_ref& task, std::string_view reason, requeue_cause cause) {
    pb::record entry;
    auto& body = *entry.mutable_requeue();
    body.set_job_id(task.job_id);
    body.set_index(task.index);
    body.set_attempt(task.attempt + 1);
    body.set_reason(std::string{reason});
    body.set_failed(cause == requeue_cause::failed);
    body.set_may_have_run(cause != requeue_cause::never_ran);
    const auto target = find_state(task.job_id)->item.tasks(task.index).target();
    append_record(std::move(entry));
    m_acks_pending.emplace_back(m_generation, std::pair{target, task.to_string()});
}

// ---- Callers ----

bool partition::has_capacity(instant at, const pb::job& item) const {
    const auto need = need_of(item);
    return m_shares.may_start(item.team(), need) && m_pool.choose(at, {.need = need}).has_value();
}

submit_outcome partition::submit(instant at, const pb::job& item) {
    const auto id = make_job_id(item.team(), item.request_id());
    if (const auto* known = find_state(id)) {
        const bool same = known->item.digest() == item.digest() && known->item.service() == item.service();
        return same ? submit_outcome::known : submit_outcome::conflict;
    }
    const auto need = need_of(item);
    const int tasks_at_once = item.type() == pb::job::gang ? item.tasks_size() : 1;
    if (!m_pool.all().empty() && m_pool.could_fit_count(need, tasks_at_once) < tasks_at_once)
        return submit_outcome::impossible;
    pb::record entry;
    *entry.mutable_accept()->mutable_item() = item;
    entry.mutable_accept()->mutable_item()->set_submitted_ms(to_ms(at));
    append_record(std::move(entry));
    schedule(at);
    return submit_outcome::accepted;
}

const pb::job* partition::find(const std::string& job_id) const {
    const auto found = m_jobs.find(job_id);
    return found == m_jobs.end() ? nullptr : &found->second.item;
}

bool partition::durable(const std::string& job_id) const {
    const auto found = m_jobs.find(job_id);
    return found != m_jobs.end() && found->second.is_durable;
}

bool partition::cancel(instant at, const std::string& job_id, bool withdrawn) {
    auto* job = find_state(job_id);
    if (job == nullptr)
        return false;
    if (job->item.cancelled() || job->item.finished_ms() != 0)
        return true;
    pb::record entry;
    entry.mutable_cancel()->set_job_id(job_id);
    entry.mutable_cancel()->set_at_ms(to_ms(at));
    entry.mutable_cancel()->set_withdrawn(withdrawn);
    append_record(std::move(entry));
    if (job->open_tasks == 0)
        m_ended.emplace_back(m_generation, job_id);
    for (int i = 0; i < job->item.tasks_size(); ++i) {
        if (on_target(job->item.tasks(i).state()))
            stop_task(*job, i, false);
    }
    return true;
}

bool partition::cancel_unplaced(instant at, const std::string& job_id) {
    const auto* job = find_state(job_id);
    if (job == nullptr)
        return false;
    const auto never_placed = [](const pb::task& task) {
        const bool off_target = task.state() == pb::task::queued || task.state() == pb::task::cancelled;
        return off_target && !task.may_have_run();
    };
    if (!std::ranges::all_of(job->item.tasks(), never_placed))
        return false;
    return cancel(at, job_id, true);
}

std::vector<pb::job> partition::jobs(const std::string& team, std::size_t limit) const {
    std::vector<pb::job> listed;
    for (const auto& [id, job] : m_jobs) {
        if (listed.size() >= limit)
            break;
        if (!team.empty() && job.item.team() != team)
            continue;
        listed.push_back(job.item);
        listed.back().clear_body();
    }
    return listed;
}

std::size_t partition::queued_tasks() const {
    std::size_t count = 0;
    for (const auto& [priority, queues] : m_queues) {
        for (const auto& [team, queue] : queues) {
            for (const auto& id : queue) {
                const auto found = m_jobs.find(id);
                count += found == m_jobs.end() ? 0 : found->second.queued.size();
            }
        }
    }
    return count;
}

std::size_t partition::placed_tasks() const {
    std::size_t count = 0;
    for (const auto& [target, tasks] : m_on_target)
        count += tasks.size();
    return count;
}

// ---- Targets ----

void partition::stop_task(job_state& job, int index, bool preempted) {
    auto& state = job.tasks[static_cast<std::size_t>(index)];
    const auto& task = job.item.tasks(index);
    if (state.stopping && state.preempted == preempted)
        return;
    state.stopping = true;
    state.preempted = preempted;
    if (state.phase == start_phase::unsent)
        return; // the start is dropped in `take_effects` when its record becomes durable
    const auto id = make_job_id(job.item.team(), job.item.request_id());
    add_effect(effect_kind::stop, {id, index, task.attempt()}, task.target());
}

void partition::complete(instant at, const task_ref& task, run_state state, std::string_view result) {
    job_state* job = nullptr;
    auto* known = find_task(task, &job);
    if (known == nullptr)
        return;
    const auto target = job->item.tasks(task.index).target();
    const bool keep_running = job->item.type() == pb::job::replicated && !job->item.cancelled() &&
                              task.index < job->item.replicas();
    if (state == run_state::stopped && known->preempted && !job->item.cancelled())
        return requeue(task, "preempted", requeue_cause::interrupted);
    if (state == run_state::stopped && !known->stopping)
        return handle_interrupted(at, task, "the lease lapsed");
    if (state == run_state::stopped)
        return finish(at, task, pb::task::cancelled, {}, "cancelled");
    if (state == run_state::done && !keep_running) {
        auto& average = m_run_ms[job->item.service()];
        const auto took = static_cast<double>(std::max<std::int64_t>((at - known->since).count(), 1));
        average = average == 0 ? took : average + 0.1 * (took - average);
        m_pool.succeeded(target);
        return finish(at, task, pb::task::done, result, {});
    }
    if (state == run_state::failed)
        m_pool.failed(at, target);
    const auto failures = job->item.tasks(task.index).failures() + 1;
    const bool can_retry =
        job->item.idempotent() && failures < job->item.max_attempts() && !job->item.cancelled();
    if (!keep_running && !can_retry)
        return finish(at, task, pb::task::failed, result, "the task failed");
    requeue(task, "the task ended", requeue_cause::failed);
    const auto doublings = std::min(failures - 1, max_backoff_doublings);
    auto& queued = job->tasks[static_cast<std::size_t>(task.index)];
    queued.not_before = at + m_options.failure_backoff * (1 << doublings);
}

void partition::never_ran(instant at, const task_ref& task, std::string_view reason) {
    job_state* job = nullptr;
    const auto* known = find_task(task, &job);
    if (known == nullptr)
        return;
    if (job->item.cancelled() || (known->stopping && !known->preempted))
        return finish(at, task, pb::task::cancelled, {}, "cancelled before it ran");
    requeue(task, reason, requeue_cause::never_ran);
}

void partition::handle_interrupted(instant at, const task_ref& task, std::string_view reason) {
    job_state* job = nullptr;
    const auto* known = find_task(task, &job);
    if (known == nullptr)
        return;
    if (job->item.cancelled())
        return finish(at, task, pb::task::cancelled, {}, reason);
    if (!job->item.idempotent())
        return finish(at, task, pb::task::unknown, {}, reason);
    requeue(task, reason, requeue_cause::interrupted);
}

void partition::set_fleet(const std::vector<vm_info>& targets, const config_state& config) {
    m_pool.set_fleet(targets, [&](const vm_info& vm) { return config.is_drained(vm.id, vm.data_centre); });
    m_shares.set_capacity(m_pool.capacity());
}

std::uint64_t partition::begin_poll(instant at, const std::string& target, bool renewed) {
    if (renewed)
        m_last_renewal[target] = at;
    return ++m_last_poll;
}

void partition::poll_failed(const std::string& target) {
    if (auto* known = m_pool.find(target))
        known->unresponsive = true;
}

void partition::inventory(instant at, const target_inventory& seen) {
    auto* target = m_pool.find(seen.target);
    if (target == nullptr || seen.asked < m_last_inventory[seen.target])
        return;
    m_last_inventory[seen.target] = seen.asked;
    target->last_contact = at;
    target->incarnation = seen.incarnation;
    target->confirmed = true;
    target->unresponsive = false;
    std::map<std::string, const inventory_item*> items;
    target->orphaned = {};
    target->orphaned_slots = 0;
    target->observed_memory_mb = 0;
    for (const auto& item : seen.items) {
        items[item.id] = &item;
        target->observed_memory_mb += item.state == run_state::running ? item.memory_mb : 0;
        if (item.direct && item.epoch < m_epoch) {
            target->orphaned += item.need;
            ++target->orphaned_slots;
        }
    }
    const auto own_tasks = m_on_target[seen.target];
    for (const auto& task : own_tasks) {
        job_state* job = nullptr;
        auto* state = find_task(task, &job);
        if (state == nullptr)
            continue;
        const auto found = items.find(task.to_string());
        if (found == items.end()) {
            if (job->item.tasks(task.index).boot() != seen.incarnation && state->phase != start_phase::unsent)
                handle_interrupted(at, task, "the target restarted");
            else if (state->phase == start_phase::recovered)
                never_ran(at, task, "the start never reached the target");
            else if (state->phase == start_phase::confirmed && seen.version >= state->version)
                handle_interrupted(at, task, "the target no longer knows the task");
            continue;
        }
        const auto& item = *found->second;
        items.erase(found);
        if (item.state != run_state::running) {
            complete(at, task, item.state, item.result);
            continue;
        }
        if (state->phase != start_phase::confirmed) {
            state->phase = start_phase::confirmed;
            state->version = seen.version;
            state->since = state->since == instant{} ? at : state->since;
            job->item.mutable_tasks(task.index)->set_state(pb::task::running);
        }
        if (job->item.cancelled() || state->stopping)
            add_effect(effect_kind::stop, task, seen.target);
    }
    for (const auto& [id, item] : items) {
        if (item->direct)
            continue;
        const auto task = parse_task_ref(id);
        if (!task)
            continue;
        const auto* job = find(task->job_id);
        const bool unknown_outcome = job != nullptr && task->index < job->tasks_size() &&
                                     job->tasks(task->index).state() == pb::task::unknown &&
                                     job->tasks(task->index).attempt() == task->attempt;
        if (unknown_outcome && item->state == run_state::done)
            finish(at, *task, pb::task::done, item->result,
                   "the result arrived after the outcome was recorded as unknown");
        else if (item->state == run_state::running)
            add_effect(effect_kind::stop, *task, seen.target);
        else
            m_acks_pending.emplace_back(has_uncommitted() ? m_generation : m_committed,
                                        std::pair{seen.target, id});
    }
}

void partition::start_answered(instant at, const task_ref& task, const start_answer& answer) {
    job_state* job = nullptr;
    auto* state = find_task(task, &job);
    if (state == nullptr)
        return;
    const auto target = job->item.tasks(task.index).target();
    switch (answer.outcome) {
    case start_outcome::running:
        state->phase = start_phase::confirmed;
        state->version = std::max(state->version, answer.version);
        state->since = state->since == instant{} ? at : state->since;
        job->item.mutable_tasks(task.index)->set_state(pb::task::running);
        break;
    case start_outcome::done:
        complete(at, task, run_state::done, answer.result);
        break;
    case start_outcome::failed:
        complete(at, task, run_state::failed, answer.result);
        break;
    case start_outcome::refused:
        m_pool.failed(at, target);
        if (state->phase == start_phase::confirmed)
            break; // it has run; the target's inventory tells what became of it
        // A target that has restarted since can't tell whether the task ran before the restart.
        if (state->phase == start_phase::unknown_outcome &&
            answer.incarnation != job->item.tasks(task.index).boot())
            handle_interrupted(at, task, "the target restarted");
        else
            never_ran(at, task, answer.reason);
        break;
    case start_outcome::lost:
        if (state->phase != start_phase::confirmed)
            state->phase = start_phase::unknown_outcome;
        state->next_settle = at + m_options.settle_retry_interval;
        m_pool.failed(at, target);
        break;
    }
}

void partition::start_not_sent(instant at, const task_ref& task, std::string_view reason) {
    never_ran(at, task, reason);
}

void partition::stop_answered(instant at, const task_ref& task, bool stopped) {
    if (stopped)
        complete(at, task, run_state::stopped, {});
}

std::vector<std::string> partition::acknowledgements(const std::string& target) const {
    const auto found = m_acks.find(target);
    if (found == m_acks.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

void partition::acknowledged(const std::string& target, const std::vector<std::string>& ids) {
    const auto found = m_acks.find(target);
    if (found == m_acks.end())
        return;
    for (const auto& id : ids)
        found->second.erase(id);
    if (found->second.empty())
        m_acks.erase(found);
}

void partition::check_leases(instant at) {
    const auto targets = m_on_target;
    for (const auto& [name, tasks] : targets) {
        if (tasks.empty())
            continue;
        const auto* target = m_pool.find(name);
        const auto last_contact = target == nullptr ? instant{} : target->last_contact;
        const auto renewal = m_last_renewal.contains(name) ? m_last_renewal[name] : instant{};
        const auto last_renewal =
            std::max({last_contact, renewal, m_owned_since + deposed_owner_renewal_period});
        for (const auto& task : tasks) {
            job_state* job = nullptr;
            auto* state = find_task(task, &job);
            if (state == nullptr || state->phase == start_phase::unsent)
                continue;
            // Its lease began when its start was sent, at the earliest.
            const auto lease_from = std::max(last_renewal, state->since);
            if (at >= lease_from + milliseconds{job->item.lease_ms()} + m_options.lease_expiry_margin) {
                handle_interrupted(at, task, "no contact with the target until the lease lapsed");
                continue;
            }
            if (state->phase == start_phase::unknown_outcome && at >= state->next_settle) {
                state->next_settle = at + m_options.settle_retry_interval;
                add_effect(effect_kind::settle, task, name);
            }
        }
    }
}

void partition::forget_old(instant at) {
    for (std::size_t i = 0; i < forget_batch && !m_ended_by_time.empty(); ++i) {
        const auto id = m_ended_by_time.front();
        const auto* job = find(id);
        if (job != nullptr && job->finished_ms() + m_options.retention.count() > to_ms(at))
            return;
        m_ended_by_time.pop_front();
        if (job == nullptr)
            continue;
        pb::record entry;
        entry.mutable_forget()->set_job_id(id);
        append_record(std::move(entry));
    }
}

void partition::set_epoch(std::uint64_t epoch, instant at) {
    m_epoch = epoch;
    m_owned_since = at;
}

void partition::set_allotment(const std::string& team, std::optional<std::int64_t> cpu_milli) {
    m_shares.set_allotment(team, cpu_milli);
}

std::map<std::string, partition::demand> partition::demands() const {
    std::map<std::string, demand> result;
    for (const auto& team : m_shares.teams()) {
        result[team].in_use_cpu_milli = m_shares.held(team).cpu_milli;
        result[team].waiting_cpu_milli = m_direct.waiting_cpu(team);
    }
    for (const auto& [priority, queues] : m_queues) {
        for (const auto& [team, queue] : queues) {
            for (const auto& id : queue) {
                const auto found = m_jobs.find(id);
                if (found != m_jobs.end())
                    result[team].waiting_cpu_milli += static_cast<std::int64_t>(found->second.queued.size()) *
                                                      found->second.item.need().cpu_milli();
            }
        }
    }
    return result;
}

void partition::tick(instant at) {
    check_leases(at);
    stop_on_drained_targets(at);
    relieve_memory_pressure(at);
    schedule(at);
    forget_old(at);
}

} // namespace medlarhub

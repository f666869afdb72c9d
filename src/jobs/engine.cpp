#include "jobs/engine.h"
#include "jobs/queue_terms.h"

#include <algorithm>
#include <numeric>

namespace medlarhub {

namespace {

constexpr milliseconds pass_period{100};
/// The occurrences of a new job that are due until then have to fit into memory with it.
constexpr milliseconds occurrences_ahead{60'000};

} // namespace

resources need_of(const pb::step_spec& step) {
    resources need{step.need().cpu_milli(), step.need().memory_mb(), step.need().accelerators()};
    if (step.fills_spare())
        need.cpu_milli = 0;
    return need;
}

std::optional<std::string> validation_error(const pb::job_spec& spec) {
    constexpr int max_tasks = 10'000;
    if (spec.steps().empty() || spec.steps_size() > max_steps_of_job)
        return "a job must have 1 to 1000 steps";
    for (int i = 0; i < spec.steps_size(); ++i) {
        const auto& step = spec.steps(i);
        if (step.count() < 1 || step.count() > max_tasks)
            return "a step must have 1 to 10000 tasks";
        if (step.need().cpu_milli() < 0 || step.need().memory_mb() < 0 || step.need().accelerators() < 0)
            return "resource needs must not be negative";
        for (const auto earlier : step.after()) {
            if (earlier < 0 || earlier >= i)
                return "a step may depend on earlier steps only";
        }
    }
    if (tasks_of(spec) > max_tasks_of_job)
        return "a job must have at most 20000 tasks in all its steps";
    return {};
}

std::int64_t tasks_of(const pb::job_spec& spec) {
    return std::accumulate(
        spec.steps().begin(), spec.steps().end(), std::int64_t{0},
        [](std::int64_t sum, const pb::step_spec& step) { return sum + std::max(step.count(), 0); });
}

job_engine::job_engine(engine_options options)
    : m_options{options}, m_config{std::make_shared<cell_config>()}, m_claims{options.retention} {}
job_engine::~job_engine() = default;

void job_engine::add_event(std::string what, std::string job, std::string detail) {
    m_events.push_back({std::move(what), std::move(job), std::move(detail)});
}

std::vector<engine_event> job_engine::take_events() {
    return std::exchange(m_events, {});
}

// ---- Configuration ----

void job_engine::set_config(std::shared_ptr<const cell_config> config) {
    m_config = with_removed_policies(*config, *m_config);
    m_attempts_changed = true;
    m_changed = true;
}

void job_engine::set_drained(const std::set<std::string>& data_centres) {
    m_drained = data_centres;
    m_changed = true;
}

// ---- Callers ----

job_engine::job_state* job_engine::find(const std::string& job) {
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

accept_outcome job_engine::accept(instant at, pb::job_spec spec) {
    if (m_jobs.contains(spec.id()))
        return accept_outcome::known;
    if (validation_error(spec))
        return accept_outcome::invalid;
    const bool exceeds_team_rate = count_against_rate(at, spec.team());
    return add(at, std::move(spec), exceeds_team_rate);
}

bool job_engine::within_rate(instant at, const std::string& team) const {
    const auto policy = m_config->teams.find(team);
    const auto known = m_rates.find(team);
    return policy == m_config->teams.end() || known == m_rates.end() ||
           known->second.allows(at, policy->second.jobs_per_second);
}

bool job_engine::count_against_rate(instant at, const std::string& team) {
    const auto policy = m_config->teams.find(team);
    return policy != m_config->teams.end() && !m_rates[team].take(at, policy->second.jobs_per_second);
}

accept_outcome job_engine::add(instant at, pb::job_spec spec, bool exceeds_team_rate) {
    const auto id = spec.id();
    const bool is_new = spec.accepted_ms() == 0;
    if (is_new)
        spec.set_accepted_ms(to_ms(at));
    if (const auto queue = m_config->queues.find(spec.queue()); is_new && queue != m_config->queues.end())
        *spec.mutable_terms() = terms_of(queue->second);
    auto& job = m_jobs[id];
    job.queue = spec.queue();
    job.team = spec.team();
    job.spec = std::move(spec);
    job.exceeds_team_rate = exceeds_team_rate;
    m_open.emplace(id, &job);
    if (job.spec.times() > 0) {
        m_timed.insert(id);
        open_due_occurrences(at, job);
    } else {
        open_occurrence(job, 0, nullptr);
    }
    mark_for_write(at, job, true);
    m_changed = true;
    return accept_outcome::accepted;
}

bool job_engine::withdraw(const std::string& id) {
    const auto* job = find(id);
    if (job == nullptr || job->version_in_write > 0 || job->durable_version > 0)
        return false;
    add_event("job_withdrawn", id, {});
    m_open.erase(id);
    m_timed.erase(id);
    std::erase(m_ended, id);
    m_kept_tasks -= kept_tasks(*job);
    m_jobs.erase(id);
    return true;
}

bool job_engine::cancel(instant at, const std::string& id) {
    auto* job = find(id);
    if (job == nullptr)
        return false;
    if (job->phase == pb::job_progress::open)
        end_job(at, *job, pb::job_progress::cancelled);
    return true;
}

bool job_engine::known(const std::string& job) const {
    return m_jobs.contains(job);
}

std::optional<job_origin> job_engine::origin(const std::string& job) const {
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? std::nullopt
                                 : std::optional{job_origin{found->second.team, found->second.queue}};
}

bool job_engine::durable(const std::string& job) const {
    const auto found = m_jobs.find(job);
    return found != m_jobs.end() && found->second.durable_version >= found->second.version;
}

pb::job_answer::job_state job_engine::state(const std::string& id) const {
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return pb::job_answer::none;
    const auto& job = found->second;
    const bool written = job.durable_version >= job.version;
    if (job.phase != pb::job_progress::open && written) {
        switch (job.phase) {
        case pb::job_progress::completed:
            return pb::job_answer::completed;
        case pb::job_progress::failed:
            return pb::job_answer::failed;
        default:
            return pb::job_answer::cancelled;
        }
    }
    return job.started ? pb::job_answer::running : pb::job_answer::queued;
}

std::int64_t job_engine::pending(const std::string& queue) const {
    return std::ranges::count_if(m_open, [&](const auto& open) {
        const job_state& job = *open.second;
        return !job.started && job.queue == queue && job.durable_version > 0;
    });
}

// ---- Occurrences, steps, ends ----

void job_engine::open_occurrence(job_state& job, int number, const pb::occurrence_progress* from) {
    auto& made = job.occurrences[number];
    const auto& spec = job.spec;
    const auto due = spec.times() > 0 ? due_time(spec, number) : from_ms(spec.accepted_ms());
    made.steps.resize(static_cast<std::size_t>(spec.steps_size()));
    made.open_steps = made.steps.size();
    m_kept_tasks += tasks_of(spec);
    for (int i = 0; i < spec.steps_size(); ++i) {
        auto& step = made.steps[static_cast<std::size_t>(i)];
        step.tasks.resize(static_cast<std::size_t>(spec.steps(i).count()));
        step.open_tasks = step.tasks.size();
        // An earlier owner, by its own clock, may have opened the occurrence before it is due by this one.
        for (auto& task : step.tasks)
            task.not_before = spec.times() > 0 ? due : instant{};
        if (from == nullptr || i >= from->steps_size())
            continue;
        const auto& known = from->steps(i);
        step.gang_failed_runs.assign(known.gang_failed_runs().begin(), known.gang_failed_runs().end());
        step.gang_saved_state = known.gang_saved();
        for (int k = 0; k < known.tasks_size() && k < spec.steps(i).count(); ++k) {
            auto& task = step.tasks[static_cast<std::size_t>(k)];
            task.done = known.tasks(k).done();
            task.failed_runs.assign(known.tasks(k).failed_runs().begin(), known.tasks(k).failed_runs().end());
            task.saved_state = known.tasks(k).saved();
            step.open_tasks -= task.done ? 1 : 0;
        }
        made.open_steps -= step.open_tasks == 0 ? 1 : 0;
    }
    update_sort_keys(job, number);
    set_ready(job, number);
}

std::int64_t job_engine::kept_tasks(const job_state& job) {
    return tasks_of(job.spec) * static_cast<std::int64_t>(job.occurrences.size());
}

bool job_engine::has_memory_for(instant at, const pb::job_spec& spec) const {
    if (m_options.max_kept_tasks <= 0)
        return true;
    // Occurrences that are overdue are opened all at once.
    const auto until = to_ms(at + occurrences_ahead) - spec.start_at_ms();
    const auto due = spec.interval_ms() > 0 ? until / spec.interval_ms() + 1 : spec.times();
    const auto occurrences = std::clamp<std::int64_t>(due, 1, std::max(spec.times(), 1));
    return m_kept_tasks + occurrences * tasks_of(spec) <= m_options.max_kept_tasks;
}

std::int64_t job_engine::usable_cpu_milli(instant at) const {
    std::int64_t capacity = 0;
    for (const auto& [id, target] : m_targets)
        capacity += usable(at, target) ? target.entry.capacity.cpu_milli : 0;
    return capacity;
}

step_sort_key job_engine::sort_key_of_new(instant at, const pb::job_spec& spec, int priority) const {
    return {!within_rate(at, spec.team()), priority, latest_start(at, spec), instant::max()};
}

std::optional<milliseconds> job_engine::wait_if_too_late(instant at, const pb::job_spec& spec) const {
    const auto queue = m_config->queues.find(spec.queue());
    if (queue == m_config->queues.end() || spec.times() > 0)
        return {};
    const auto sort_key = sort_key_of_new(at, spec, queue->second.priority);
    const auto own_class = order_class_of(at, sort_key);
    double ahead = 0;
    for (const auto& [work_class, work] : m_backlog)
        ahead += work_class <= own_class ? work : 0;
    const auto capacity = usable_cpu_milli(at);
    if (capacity == 0)
        return {}; // no target is known to be usable yet
    const milliseconds in_all{static_cast<std::int64_t>(ahead / static_cast<double>(capacity))};
    const auto wait = std::max(in_all, wait_under_team_limit(at, spec.team(), sort_key));
    if (can_end_usefully(spec, wait))
        return {};
    return wait;
}

void job_engine::open_due_occurrences(instant at, job_state& job) {
    const auto& spec = job.spec;
    for (; job.next_occurrence < spec.times(); ++job.next_occurrence) {
        if (job.occurrences.contains(job.next_occurrence))
            continue;
        if (due_time(spec, job.next_occurrence) > at)
            return;
        open_occurrence(job, job.next_occurrence, nullptr);
        m_changed = true;
    }
    m_timed.erase(spec.id());
}

instant job_engine::due_time(const pb::job_spec& spec, int occurrence) {
    return from_ms(spec.start_at_ms() + occurrence * spec.interval_ms());
}

void job_engine::set_ready(job_state& job, int occurrence) {
    auto& steps = job.occurrences.at(occurrence).steps;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const auto& after = job.spec.steps(static_cast<int>(i)).after();
        steps[i].ready = std::ranges::all_of(
            after, [&](int earlier) { return steps[static_cast<std::size_t>(earlier)].open_tasks == 0; });
    }
}

job_engine::step_state* job_engine::find_step(const task_name& name, job_state** job) {
    auto* found = find(name.job);
    if (job != nullptr)
        *job = found;
    if (found == nullptr)
        return nullptr;
    const auto occurrence = found->occurrences.find(name.occurrence);
    if (occurrence == found->occurrences.end())
        return nullptr;
    auto& steps = occurrence->second.steps;
    if (static_cast<std::size_t>(name.step) >= steps.size())
        return nullptr;
    auto& step = steps[static_cast<std::size_t>(name.step)];
    return static_cast<std::size_t>(name.index) < step.tasks.size() ? &step : nullptr;
}

job_engine::step_state* job_engine::find_reported_step(const task_name& name, job_state** job) {
    auto* found = find(name.job);
    const bool may_be_unrecorded = found != nullptr && found->phase == pb::job_progress::open &&
                                   name.occurrence < found->spec.times() &&
                                   !found->occurrences.contains(name.occurrence);
    if (may_be_unrecorded) {
        open_occurrence(*found, name.occurrence, nullptr);
        add_event("occurrence_found", name.job, std::to_string(name.occurrence));
    }
    return find_step(name, job);
}

void job_engine::task_done(instant at, job_state& job, const task_name& name, int number) {
    auto& step = job.occurrences.at(name.occurrence).steps[static_cast<std::size_t>(name.step)];
    auto& task = step.tasks[static_cast<std::size_t>(name.index)];
    if (task.done)
        return;
    const bool gang = job.spec.steps(name.step).gang();
    if (gang) {
        for (auto& member : step.tasks)
            member.done = true;
        step.open_tasks = 0;
    } else {
        task.done = true;
        --step.open_tasks;
    }
    // Other runs of the task are superfluous now. Members of a gang that were started together with this one
    // end by themselves.
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        if (!gang && static_cast<int>(i) != name.index)
            continue;
        const task_name each{name.job, name.occurrence, name.step, static_cast<int>(i)};
        for (const auto& target : step.tasks[i].run_targets) {
            auto& run = m_targets.at(target).runs.at(each.to_string());
            if (!gang || run.number != number)
                request_stop(run);
        }
    }
    mark_for_write(at, job, false);
    if (step.open_tasks == 0)
        step_done(at, job, name.occurrence, name.step);
}

void job_engine::step_done(instant at, job_state& job, int occurrence, int step) {
    auto& state = job.occurrences.at(occurrence);
    add_event("step_done", job.spec.id(), std::to_string(occurrence) + "." + std::to_string(step));
    m_changed = true;
    if (--state.open_steps > 0) {
        if (m_options.learned_run_times)
            update_sort_keys(job, occurrence);
        set_ready(job, occurrence);
        return;
    }
    ++job.finished_occurrences;
    if (job.finished_occurrences >= std::max(job.spec.times(), 1))
        end_job(at, job, pb::job_progress::completed);
}

void job_engine::end_job(instant at, job_state& job, pb::job_progress::phase phase) {
    const auto id = job.spec.id();
    job.phase = phase;
    job.ended_ms = to_ms(at);
    if (!m_recovering)
        job.held_at_end = held_by(job);
    m_open.erase(id);
    m_timed.erase(id);
    m_ended.push_back(id);
    add_event("job_ended", id, pb::job_progress::phase_Name(phase));
    stop_runs(job);
    mark_for_write(at, job, true);
    m_changed = true;
}

void job_engine::stop_runs(job_state& job) {
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            const auto& step = occurrence.steps[i];
            // Runs of a step that is done, in particular the members of a gang, end by themselves.
            if (step.open_tasks == 0)
                continue;
            each_run({job.spec.id(), number, static_cast<int>(i), 0}, step,
                     [&](live_run& run) { request_stop(run); });
        }
    }
}

template <typename Body>
void job_engine::each_run(const task_name& step_name, const step_state& step, Body body) {
    auto name = step_name;
    for (const auto& task : step.tasks) {
        for (const auto& target : task.run_targets)
            body(m_targets.at(target).runs.at(name.to_string()));
        ++name.index;
    }
}

resources job_engine::held_by(const job_state& job) {
    resources held;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i)
            each_run({job.spec.id(), number, static_cast<int>(i), 0}, occurrence.steps[i],
                     [&](const live_run& run) { held += run.held; });
    }
    return held;
}

void job_engine::tick(instant at) {
    const std::vector<std::string> timed{m_timed.begin(), m_timed.end()};
    for (const auto& id : timed)
        open_due_occurrences(at, m_jobs.at(id));
    record_silent_targets(at);
    check_lease_expiry(at);
    finish_recovery(at);
    check_unconfirmed_gangs(at);
    acknowledge_recorded_ends();
    forget_old(at);
    return_surplus_targets(at);
    if (at >= m_next_pass) { // tickets expire, and retry delays and due times pass, without an event
        m_next_pass = at + pass_period;
        m_changed = true;
    }
    schedule(at);
}

std::optional<longest_step_wait> job_engine::longest_wait(instant at) const {
    std::optional<longest_step_wait> found;
    for (const auto& [id, job] : m_open) {
        for (const auto& [number, occurrence] : job->occurrences) {
            for (const auto& step : occurrence.steps) {
                const auto time = step.wait.total(at);
                if (step.wait.cause() != wait_cause::none && (!found || time > found->time))
                    found = {id, step.wait.cause(), time, step.wait.describe(at)};
            }
        }
    }
    return found;
}

job_engine::engine_statistics job_engine::count() const {
    engine_statistics made;
    made.open_jobs = m_open.size();
    made.kept_jobs = m_jobs.size();
    made.targets = m_targets.size();
    made.unconfirmed_targets = m_unconfirmed_targets.size();
    for (const auto& [id, target] : m_targets) {
        made.live_runs += target.runs.size();
        made.held_cpu_milli += target.held.cpu_milli;
        made.capacity_cpu_milli += target.entry.capacity.cpu_milli;
    }
    for (const auto& [id, job] : m_open) {
        made.unconfirmed_jobs += job->unconfirmed ? 1 : 0;
        for (const auto& [number, occurrence] : job->occurrences) {
            for (const auto& step : occurrence.steps) {
                if (!step.ready)
                    continue;
                made.waiting_tasks +=
                    static_cast<std::size_t>(std::ranges::count_if(step.tasks, [](const task_state& task) {
                        return !task.done && task.run_targets.empty();
                    }));
            }
        }
    }
    return made;
}

} // namespace medlarhub

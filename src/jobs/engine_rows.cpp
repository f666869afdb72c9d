// Persistence of jobs: writes to the table, recovery from it, and removal of old jobs.

#include "jobs/engine.h"
#include "jobs/queue_terms.h"

#include <algorithm>

namespace medlarhub {

namespace {

/// Progress that no caller waits for is delayed up to this long, to share a transaction.
constexpr milliseconds max_lazy_delay{250};
/// Limits of one transaction of the table, with some entries left for its other rows.
constexpr std::size_t max_entries = 84;
constexpr std::size_t max_bytes = 400'000;
/// Entries reserved for writes that no caller waits for, since targets may forget ends only after these.
constexpr std::size_t lazy_entries = 20;
constexpr std::size_t max_claim_entries = 20;
constexpr milliseconds forget_period{2000};
constexpr std::size_t forget_batch = 10;

} // namespace

// ---- Recovery ----

void job_engine::restore(const std::map<std::string, pb::job_spec>& specs,
                         const std::map<std::string, pb::job_progress>& progress) {
    recall_queues(specs);
    std::vector<std::pair<std::int64_t, std::string>> ended;
    for (const auto& [id, row] : progress) {
        auto& job = m_jobs[id];
        job.phase = row.state();
        job.queue = row.queue();
        job.team = row.team();
        job.ended_ms = row.ended_ms();
        job.finished_occurrences = row.finished_occurrences();
        if (row.has_left())
            job.held_at_end =
                resources{row.left().cpu_milli(), row.left().memory_mb(), row.left().accelerators()};
        job.version = 1;
        job.durable_version = 1;
        if (job.phase != pb::job_progress::open)
            ended.emplace_back(job.ended_ms, id);
    }
    std::ranges::sort(ended);
    for (const auto& [at, id] : ended)
        m_ended.push_back(id);
    for (const auto& [id, spec] : specs) {
        auto& job = m_jobs[id];
        job.has_spec_row = true;
        job.version = 1;
        job.durable_version = 1;
        job.spec = spec;
        job.queue = spec.queue();
        job.team = spec.team();
        if (job.phase != pb::job_progress::open) {
            job.version_in_write = job.version; // only the removal of the spec row remains
            job.dirty = true;
            m_dirty.push_back({++m_last_write_number, id});
            continue;
        }
        job.unconfirmed = true;
        m_open.emplace(id, &job);
        const auto row = progress.find(id);
        if (row != progress.end()) {
            for (const auto& occurrence : row->second.occurrences())
                open_occurrence(job, occurrence.number(), &occurrence);
        }
        if (spec.times() > 0)
            m_timed.insert(id);
        else if (job.occurrences.empty())
            open_occurrence(job, 0, nullptr);
    }
    // An open job always has a spec row: the spec is written first and removed after the end.
    std::erase_if(m_jobs, [](const auto& entry) {
        return entry.second.phase == pb::job_progress::open && !entry.second.has_spec_row;
    });
}

void job_engine::recall_queues(const std::map<std::string, pb::job_spec>& specs) {
    std::map<std::string, const pb::job_spec*> latest; // by queue
    for (const auto& [id, spec] : specs) {
        auto& known = latest[spec.queue()];
        if (spec.has_terms() && (known == nullptr || known->accepted_ms() < spec.accepted_ms()))
            known = &spec;
    }
    auto config = std::make_shared<cell_config>(*m_config);
    for (const auto& [queue, spec] : latest) {
        if (spec != nullptr)
            config->queues.try_emplace(queue, policy_from(*spec));
    }
    m_config = std::move(config);
}

void job_engine::restore_roster(instant at, const std::vector<std::string>& targets,
                                const pb::silent_targets& silent) {
    m_roster.insert(targets.begin(), targets.end());
    m_roster_written = m_roster;
    m_recovering = true;
    m_recovery_began = at;
    m_recovery_ends = at + m_options.max_unknown_run_time;
    m_silent.restore({silent.leases_end_ms().begin(), silent.leases_end_ms().end()});
    m_silent.keep_only(m_roster);
    for (const auto& id : m_roster)
        m_unconfirmed_targets.emplace(id, leases_end_of_unconfirmed(id));
    finish_recovery(at);
}

// ---- Writes ----

void job_engine::mark_for_write(instant at, job_state& job, bool awaited) {
    const auto& id = job.spec.id();
    if (awaited) {
        ++job.version;
        if (!job.urgent)
            m_urgent.push_back({++m_last_write_number, id});
        job.urgent = true;
    } else if (!job.dirty) {
        if (m_dirty.empty())
            m_dirty_since = at;
        m_dirty.push_back({++m_last_write_number, id});
    }
    job.dirty = true;
}

bool job_engine::write_due(instant at) const {
    if (m_rows_in_write)
        return false;
    if (!m_urgent.empty() || m_claims.write_due() || (m_roster_dirty && m_roster != m_roster_written) ||
        !m_rows_to_delete.empty() || m_transfers_due || m_silent.write_due() || m_table_clock_due ||
        m_wanted_epoch > m_options.last_epoch || (at < m_longest_granted_until && !m_longest_recorded))
        return true;
    return !m_dirty.empty() && at - m_dirty_since >= max_lazy_delay;
}

pb::job_progress job_engine::progress_of(const job_state& job) {
    pb::job_progress row;
    row.set_state(job.phase);
    row.set_ended_ms(job.ended_ms);
    row.set_queue(job.queue);
    row.set_team(job.team);
    row.set_finished_occurrences(job.finished_occurrences);
    if (job.held_at_end) {
        row.mutable_left()->set_cpu_milli(job.held_at_end->cpu_milli);
        row.mutable_left()->set_memory_mb(job.held_at_end->memory_mb);
        row.mutable_left()->set_accelerators(job.held_at_end->accelerators);
    }
    if (job.phase != pb::job_progress::open)
        return row;
    for (const auto& [number, occurrence] : job.occurrences) {
        auto& to = *row.add_occurrences();
        to.set_number(number);
        for (const auto& step : occurrence.steps) {
            auto& step_row = *to.add_steps();
            step_row.mutable_gang_failed_runs()->Assign(step.gang_failed_runs.begin(),
                                                        step.gang_failed_runs.end());
            step_row.set_gang_saved(step.gang_saved_state);
            for (const auto& task : step.tasks) {
                auto& task_row = *step_row.add_tasks();
                task_row.set_done(task.done);
                task_row.mutable_failed_runs()->Assign(task.failed_runs.begin(), task.failed_runs.end());
                if (!task.done)
                    task_row.set_saved(task.saved_state);
            }
        }
    }
    return row;
}

job_rows job_engine::take_rows(instant at) {
    job_rows made;
    m_rows_in_write = true;
    m_rows_taken = at;
    m_longest_recorded = at < m_longest_granted_until;
    m_writing.clear();
    if (!m_pending_acks) {
        m_pending_acks = pending_acks{m_last_write_number, {}};
        for (const auto& [id, target] : m_targets)
            m_pending_acks->upto[id] = target.seen_upto;
    }
    take_transfers(made);
    made.claims = m_claims.take_rows(max_claim_entries);
    transaction_budget budget{max_entries - made.transfers.size() - made.claims.size() -
                                  std::min(lazy_entries, m_dirty.size()),
                              max_bytes};
    fill_rows(m_urgent, budget, made);
    budget.entries += std::min(lazy_entries, m_dirty.size());
    fill_rows(m_dirty, budget, made);
    fill_rows(m_urgent, budget, made);
    for (const auto& id : m_rows_to_delete) {
        job_rows::row row;
        row.job = id;
        row.drop_progress = true;
        made.rows.push_back(std::move(row));
    }
    m_rows_to_delete.clear();
    if (m_roster_dirty && m_roster != m_roster_written) {
        pb::roster row;
        for (const auto& target : m_roster)
            row.add_targets(target);
        made.roster = row.SerializeAsString();
        m_roster_written = m_roster;
        m_roster_in_write = true;
    }
    m_roster_dirty = false;
    m_table_clock_due = false;
    m_silent.keep_only(m_roster);
    if (m_silent.write_due())
        made.silent_targets = m_silent.take_row();
    take_run_times(at, made);
    m_acks_writing.clear();
    const auto written = [&](const std::deque<waiting_write>& queue) {
        return queue.empty() || queue.front().number > m_pending_acks->number;
    };
    if (written(m_urgent) && written(m_dirty))
        m_acks_writing = std::exchange(m_pending_acks, std::nullopt)->upto;
    return made;
}

void job_engine::fill_rows(std::deque<waiting_write>& from, transaction_budget& budget, job_rows& to) {
    while (!from.empty() && budget.entries > 0 && budget.bytes > 0) {
        const auto id = from.front().job;
        from.pop_front();
        auto* job = find(id);
        if (job == nullptr || !job->dirty)
            continue;
        auto row = next_row(*job);
        const auto size = (row.spec ? row.spec->size() : 0) + (row.progress ? row.progress->size() : 0);
        budget.bytes -= std::min(budget.bytes, size);
        --budget.entries;
        to.rows.push_back(std::move(row));
        m_writing.push_back(id);
    }
}

/// One entry: the spec of a new job, otherwise its progress. The spec of an ended job is removed after its
/// end is written.
job_rows::row job_engine::next_row(job_state& job) {
    job_rows::row row;
    row.job = job.spec.id();
    const bool ended = job.phase != pb::job_progress::open;
    const bool end_written = ended && !job.urgent && job.version_in_write == job.version;
    if (end_written && job.has_spec_row) {
        row.drop_spec = true;
        job.has_spec_row = false;
    } else if (!ended && !job.has_spec_row) {
        row.spec = job.spec.SerializeAsString();
        job.has_spec_row = true;
    } else {
        row.progress = progress_of(job).SerializeAsString();
    }
    job.version_in_write = job.version;
    job.urgent = false;
    job.dirty = ended && job.has_spec_row;
    if (job.dirty)
        m_dirty.push_back({++m_last_write_number, row.job});
    return row;
}

void job_engine::rows_written(instant at) {
    m_rows_in_write = false;
    for (const auto& id : m_writing) {
        if (auto* job = find(id))
            job->durable_version = std::max(job->durable_version, job->version_in_write);
    }
    m_writing.clear();
    m_claims.rows_written();
    m_silent.row_written();
    for (const auto& [id, upto] : m_acks_writing) {
        const auto target = m_targets.find(id);
        if (target != m_targets.end() && upto <= target->second.seen_upto)
            target->second.acked_upto = std::max(target->second.acked_upto, upto);
    }
    m_acks_writing.clear();
    drop_transferred();
    if (std::exchange(m_roster_in_write, false)) {
        for (auto& [id, target] : m_targets)
            target.in_roster = m_roster_written.contains(id);
    }
    m_changed = true;
    schedule(at);
}

void job_engine::acknowledge_recorded_ends() {
    if (m_rows_in_write || !m_urgent.empty() || !m_dirty.empty())
        return;
    for (auto& [id, target] : m_targets)
        target.acked_upto = std::max(target.acked_upto, target.seen_upto);
}

void job_engine::forget_old(instant at) {
    if (at < m_next_forget)
        return;
    m_next_forget = at + forget_period;
    while (!m_ended.empty() && m_rows_to_delete.size() < forget_batch) {
        const auto* job = find(m_ended.front());
        if (job != nullptr) {
            if (at - from_ms(job->ended_ms) < m_options.retention || job->dirty ||
                job->durable_version < job->version)
                return;
            m_rows_to_delete.push_back(m_ended.front());
            m_kept_tasks -= kept_tasks(*job);
            m_jobs.erase(m_ended.front());
        }
        m_ended.pop_front();
    }
}

} // namespace medlarhub

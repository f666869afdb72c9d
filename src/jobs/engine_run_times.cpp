// Expected run times: what ends teach, and the order of waiting steps that follows from it.

#include "jobs/engine.h"

#include <algorithm>
#include <bit>

namespace medlarhub {

namespace {

/// Covers the time from a decision to the start, and from an end until it is known.
constexpr milliseconds command_time{100};
/// A job that ends later than this many times its allowed time is of no use any more.
constexpr int useful_goal_factor = 3;
/// A run whose target wasn't heard for this long before its end may have ended earlier.
constexpr milliseconds max_silence{1500};
constexpr milliseconds run_times_write_period{5000};

} // namespace

milliseconds job_engine::expected_time(const pb::job_spec& spec, int number, const step_state* step) const {
    const auto& each = spec.steps(number);
    const milliseconds estimate{each.estimate_ms()};
    if (!m_options.learned_run_times || estimate <= milliseconds{0})
        return estimate;
    if (step != nullptr && step->open_tasks == 0 && step->longest_run > milliseconds{0})
        return step->longest_run;
    return m_run_times.expect(spec.queue(), spec.team(), estimate,
                              step == nullptr ? step_run_times{} : step->run_times);
}

std::vector<milliseconds> job_engine::critical_paths(const pb::job_spec& spec,
                                                     const occurrence_state* known) const {
    std::vector<milliseconds> chains(static_cast<std::size_t>(spec.steps_size()));
    for (int i = spec.steps_size() - 1; i >= 0; --i) {
        const auto index = static_cast<std::size_t>(i);
        auto& chain = chains[index];
        chain += expected_time(spec, i, known == nullptr ? nullptr : &known->steps[index]);
        for (const auto earlier : spec.steps(i).after()) {
            auto& before = chains[static_cast<std::size_t>(earlier)];
            before = std::max(before, chain);
        }
    }
    return chains;
}

milliseconds job_engine::critical_path(const pb::job_spec& spec) const {
    return std::ranges::max(critical_paths(spec, nullptr));
}

milliseconds job_engine::allowed_turnaround_of(const pb::job_spec& spec, milliseconds path) const {
    const auto queue = m_config->queues.find(spec.queue());
    const auto stretch = queue == m_config->queues.end() ? 1.0 : queue->second.stretch;
    const auto goal = queue == m_config->queues.end() ? milliseconds{1000} : queue->second.latency_goal;
    return milliseconds{static_cast<std::int64_t>(stretch * static_cast<double>(path.count()))} + goal;
}

instant job_engine::latest_start(instant at, const pb::job_spec& spec) const {
    const auto path = critical_path(spec);
    return at + allowed_turnaround_of(spec, path) - path - command_time;
}

bool job_engine::can_end_usefully(const pb::job_spec& spec, milliseconds wait) const {
    const auto path = critical_path(spec);
    return wait + path <= useful_goal_factor * allowed_turnaround_of(spec, path);
}

void job_engine::update_sort_keys(job_state& job, int number) {
    auto& occurrence = job.occurrences.at(number);
    const auto& spec = job.spec;
    const auto due = spec.times() > 0 ? due_time(spec, number) : from_ms(spec.accepted_ms());
    const auto queue = m_config->queues.find(job.queue);
    const auto chains = critical_paths(spec, &occurrence);
    const auto allowed = allowed_turnaround_of(spec, std::ranges::max(chains));
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        auto& sort_key = occurrence.steps[i].sort_key;
        sort_key.exceeds_team_rate = job.exceeds_team_rate;
        sort_key.priority = queue == m_config->queues.end() ? 0 : queue->second.priority;
        sort_key.due = due + allowed - chains[i] - command_time;
        sort_key.latest_useful_start = due + useful_goal_factor * allowed - chains[i] - command_time;
    }
}

bool job_engine::is_valid_observation(instant at, const target_state& target, const live_run& run,
                                      const pb::step_spec& spec) const {
    const bool ran_whole = run.phase == run_phase::running && run.confirmed_at != instant{} &&
                           run.unanswered_starts == 0 && run.saved_state.empty();
    const bool is_usual = !spec.long_running() && !spec.fills_spare() && spec.estimate_ms() > 0 &&
                          (spec.preferred_rack().empty() || spec.preferred_rack() == target.entry.rack);
    return ran_whole && is_usual && at - std::max(run.confirmed_at, run.listed_at) <= max_silence;
}

void job_engine::observe_run_time(instant at, const target_state& target, const live_run& run,
                                  job_state& job) {
    const auto& spec = job.spec.steps(run.task.step);
    if (!m_options.learned_run_times || !is_valid_observation(at, target, run, spec))
        return;
    auto& step = job.occurrences.at(run.task.occurrence).steps[static_cast<std::size_t>(run.task.step)];
    const bool gang_known = spec.gang() && step.run_times.ends > 0; // its members end together
    const auto took = at - run.confirmed_at;
    step.longest_run = std::max(step.longest_run, took);
    if (gang_known)
        return;
    m_run_times.observe(job.queue, job.team, milliseconds{spec.estimate_ms()}, took, step.run_times);
    // The first ends of a step change what is expected of its other tasks most.
    if (std::has_single_bit(static_cast<unsigned>(step.run_times.ends)))
        update_sort_keys(job, run.task.occurrence);
}

void job_engine::take_run_times(instant at, job_rows& to) {
    if (at < m_next_run_times_write || !m_run_times.take_changed())
        return;
    m_next_run_times_write = at + run_times_write_period;
    to.run_times = m_run_times.to_row().SerializeAsString();
}

} // namespace medlarhub

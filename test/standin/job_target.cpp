#include "standin/job_target.h"

#include <algorithm>

namespace medlarhub::standin {

namespace {

constexpr milliseconds longest_lease{6000};

} // namespace

job_target::job_target(std::string id, resources capacity, instant at)
    : m_id{std::move(id)}, m_capacity{capacity}, m_incarnation_start{at} {}

bool job_target::is_fenced(std::uint64_t epoch) {
    if (epoch < m_fence)
        return true;
    m_fence = epoch;
    return false;
}

void job_target::extend_lease(instant at, std::int64_t deadline_ms) {
    m_deadline_ms = std::max(m_deadline_ms, std::min(deadline_ms, clock(at) + longest_lease.count()));
}

command_outcome job_target::start(instant at, const start_stop_command& command, const resources& need,
                                  milliseconds work) {
    if (is_fenced(command.fence))
        return command_outcome::fenced;
    if (command.deadline_ms <= clock(at))
        return command_outcome::too_late;
    extend_lease(at, command.deadline_ms);
    const auto task = command.task.to_string();
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.number == command.run)
        return command_outcome::done;
    const auto last_finished = m_last_finished_run.find(task);
    if (present != m_running.end() ||
        (last_finished != m_last_finished_run.end() && command.run <= last_finished->second))
        return command_outcome::superseded;
    m_running[task] = {command.run, need, at, work, command.saved};
    return command_outcome::done;
}

command_outcome job_target::stop(instant /*at*/, const start_stop_command& command) {
    if (is_fenced(command.fence))
        return command_outcome::fenced;
    const auto task = command.task.to_string();
    auto& last_finished = m_last_finished_run[task];
    last_finished = std::max(last_finished, command.run);
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.number <= command.run)
        end(task, end_kind::stopped);
    return command_outcome::done;
}

poll_result job_target::poll(instant at, const target_poll_command& command) {
    poll_result result;
    if (is_fenced(command.fence)) {
        result.outcome = command_outcome::fenced;
        return result;
    }
    if (command.deadline_ms)
        extend_lease(at, *command.deadline_ms);
    std::erase_if(m_ended, [&](const reported_end& each) {
        if (each.number > command.acked_upto)
            return false;
        m_acknowledged.push_back(each);
        return true;
    });
    result.outcome = command_outcome::done;
    result.clock_ms = clock(at);
    result.born_ms = to_ms(m_incarnation_start);
    for (const auto& [task, run] : m_running)
        result.running.push_back({task, run.number, run.saved, m_idle ? 0.0 : 1.0});
    const auto listed = std::min(m_ended.size(), m_max_listed_ends);
    result.ended.assign(m_ended.begin(), m_ended.begin() + static_cast<std::ptrdiff_t>(listed));
    result.complete = listed == m_ended.size();
    return result;
}

void job_target::end(const std::string& task, end_kind how) {
    const auto run = m_running.at(task);
    m_running.erase(task);
    auto& last_finished = m_last_finished_run[task];
    last_finished = std::max(last_finished, run.number);
    m_ended.push_back({m_next_end++, task, run.number, how, run.saved});
}

void job_target::advance(instant at, const std::function<bool(const std::string&, int)>& fails) {
    std::vector<std::string> finished;
    for (const auto& [task, run] : m_running) {
        if (clock(at) > m_deadline_ms || at - run.started_at >= run.work)
            finished.push_back(task);
    }
    for (const auto& task : finished) {
        if (clock(at) > m_deadline_ms)
            end(task, end_kind::lease_expired);
        else
            end(task, fails(task, m_running.at(task).number) ? end_kind::failed : end_kind::done);
    }
}

void job_target::restart(instant at, std::int64_t clock_start_ms) {
    job_target next{m_id, m_capacity, at};
    next.m_clock_start_ms = clock_start_ms;
    next.m_labels = m_labels;
    next.m_max_listed_ends = m_max_listed_ends;
    *this = std::move(next);
}

target_entry job_target::entry() const {
    target_entry made;
    made.id = m_id;
    made.service = "orders";
    made.address = m_id + ":80";
    made.data_centre = "vernon";
    made.labels = m_labels;
    made.rack = "r1";
    made.capacity = m_capacity;
    made.born_ms = to_ms(m_incarnation_start);
    return made;
}

resources job_target::held() const {
    resources held;
    for (const auto& [task, run] : m_running)
        held += run.held;
    return held;
}

} // namespace medlarhub::standin

#include "jobs/queue_terms.h"

namespace medlarhub {

pb::queue_terms terms_of(const queue_policy& queue) {
    pb::queue_terms terms;
    terms.set_service(queue.service);
    terms.set_priority(queue.priority);
    terms.set_max_attempts(queue.max_attempts);
    terms.set_stretch(queue.stretch);
    terms.set_latency_goal_ms(queue.latency_goal.count());
    if (!queue.advice)
        return terms;
    terms.set_advised(true);
    terms.set_decide_ms(queue.advice->decide.count());
    terms.set_per_target_ms(queue.advice->per_target.count());
    terms.set_ticket_valid_ms(queue.advice->ticket_valid.count());
    return terms;
}

queue_policy policy_from(const pb::job_spec& spec) {
    const auto& terms = spec.terms();
    queue_policy queue;
    queue.name = spec.queue();
    queue.service = terms.service();
    queue.priority = terms.priority();
    queue.max_attempts = terms.max_attempts();
    queue.stretch = terms.stretch();
    queue.latency_goal = milliseconds{terms.latency_goal_ms()};
    if (!terms.advised())
        return queue;
    advice_policy advice;
    advice.decide = std::chrono::duration<double, std::milli>{terms.decide_ms()};
    advice.per_target = std::chrono::duration<double, std::milli>{terms.per_target_ms()};
    advice.ticket_valid = milliseconds{terms.ticket_valid_ms()};
    queue.advice = advice;
    return queue;
}

std::shared_ptr<const cell_config> with_removed_policies(const cell_config& next, const cell_config& known) {
    auto merged = std::make_shared<cell_config>(next);
    merged->queues.insert(known.queues.begin(), known.queues.end());
    merged->teams.insert(known.teams.begin(), known.teams.end());
    return merged;
}

} // namespace medlarhub

#include "cell/admission.h"

#include "cell/cell_layout.h"

#include "medlarhub/hash.h"

namespace medlarhub {

const queue_policy* find_queue(const cell_config& config, std::string_view host, std::string_view path) {
    const queue_policy* best = nullptr;
    for (const auto& [name, queue] : config.queues) {
        if (queue.host != host || !path.starts_with(queue.path_prefix))
            continue;
        if (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())
            best = &queue;
    }
    return best;
}

const team_policy* find_team(const cell_config& config, const std::string& key) {
    const auto wanted = digest(key);
    const team_policy* found = nullptr;
    for (const auto& [name, team] : config.teams) {
        for (const auto& each : team.key_digests) {
            if (same_digest(each, wanted))
                found = &team;
        }
    }
    return found;
}

void set_caller(pb::job_call& call, const queue_policy& queue, const team_policy* team,
                const std::string& key) {
    call.set_queue(queue.name);
    call.set_open_queue(queue.open_to_all);
    call.set_team(team == nullptr ? std::string{} : team->name);
    if (!key.empty())
        call.set_key_group(group_of_key(digest(key)));
}

bool may_repeat(const pb::job_call& call, const job_origin& job) {
    if (!job.team.empty() && call.team() == job.team)
        return true;
    return call.queue() == job.queue && (job.team.empty() || call.team().empty());
}

bool may_access(const pb::job_call& call, const job_origin& job) {
    return may_repeat(call, job) || (call.queue() == job.queue && call.open_queue());
}

} // namespace medlarhub

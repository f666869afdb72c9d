#include "cell/admission.h"

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

} // namespace medlarhub

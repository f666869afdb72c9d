#include "jobs/fair_shares.h"

#include <algorithm>
#include <limits>
#include <span>
#include <vector>

namespace medlarhub {

namespace {

/// For rounding: a team that gets all but this much of its demand has all that it wants.
constexpr double tolerance = 1e-9;

double part_of(std::int64_t used, std::int64_t capacity) {
    return capacity <= 0
               ? 0
               : static_cast<double>(std::max<std::int64_t>(used, 0)) / static_cast<double>(capacity);
}

/// The parts of each resource that a team wants.
struct wanted_parts {
    const std::string* team = nullptr;
    double weight = 1;
    double cpu = 0;
    double memory = 0;
    double accelerators = 0;
    double dominant = 0;

    /// The dominant share per weight at which the team has all that it wants.
    [[nodiscard]] double level() const { return dominant / weight; }
};

/// The level at which a resource is used up, if of those teams each gets its weight times the level.
double level_for(std::span<const wanted_parts> teams, double left, double wanted_parts::*part) {
    double per_level = 0;
    for (const auto& team : teams)
        per_level += team.weight * (team.*part) / team.dominant;
    return per_level <= 0 ? std::numeric_limits<double>::infinity() : std::max(left, 0.0) / per_level;
}

} // namespace

double dominant_share(const resources& used, const resources& capacity) {
    return std::max({part_of(used.cpu_milli, capacity.cpu_milli), part_of(used.memory_mb, capacity.memory_mb),
                     part_of(used.accelerators, capacity.accelerators)});
}

std::map<std::string, double> fair_shares(const std::map<std::string, team_demand>& teams,
                                          const resources& capacity) {
    std::vector<wanted_parts> open;
    for (const auto& [name, team] : teams) {
        const wanted_parts wanted{&name,
                                  team.weight,
                                  part_of(team.wanted.cpu_milli, capacity.cpu_milli),
                                  part_of(team.wanted.memory_mb, capacity.memory_mb),
                                  part_of(team.wanted.accelerators, capacity.accelerators),
                                  dominant_share(team.wanted, capacity)};
        if (wanted.dominant > 0 && wanted.weight > 0)
            open.push_back(wanted);
    }
    std::ranges::sort(open, {}, &wanted_parts::level);
    // Raises the level until a resource is used up; teams that then have all they want drop out.
    double cpu = 1;
    double memory = 1;
    double accelerators = 1;
    auto first = open.begin();
    double level = 0;
    for (; first != open.end(); ++first) {
        const std::span<const wanted_parts> rest{first, open.end()};
        level = std::min({level_for(rest, cpu, &wanted_parts::cpu),
                          level_for(rest, memory, &wanted_parts::memory),
                          level_for(rest, accelerators, &wanted_parts::accelerators)});
        if (level < first->level() - tolerance)
            break;
        cpu -= first->cpu;
        memory -= first->memory;
        accelerators -= first->accelerators;
    }
    std::map<std::string, double> shares;
    for (; first != open.end(); ++first)
        shares[*first->team] = first->weight * level;
    return shares;
}

double weight_of(const cell_config& config, const std::string& team) {
    const auto policy = config.teams.find(team);
    return policy == config.teams.end() || policy->second.jobs_per_second <= 0
               ? 1
               : policy->second.jobs_per_second;
}

} // namespace medlarhub

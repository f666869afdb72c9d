#pragma once

#include "jobs/cell_config.h"

#include <map>
#include <string>

namespace medlarhub {

/// What one team uses of a partition, and what it could use.
struct team_demand {
    double weight = 1;
    resources held;
    resources wanted; ///< held, and needed by its queued tasks
};

/// How the capacity of a full partition is divided among teams: by weight and dominant resource. A team's
/// dominant share is the largest of its shares of CPU, memory and accelerators.
double dominant_share(const resources& used, const resources& capacity);

/// Returns the dominant share that each team may use while the partition is full, by weighted max-min
/// fairness: what a team doesn't want goes to the others. Teams that get all that they want are left out, so
/// the result is empty while the capacity suffices for all.
std::map<std::string, double> fair_shares(const std::map<std::string, team_demand>& teams,
                                          const resources& capacity);

/// The weight of a team: its job rate. Without a configured one it counts as a small team.
double weight_of(const cell_config& config, const std::string& team);

} // namespace medlarhub

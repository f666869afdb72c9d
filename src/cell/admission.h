#pragma once

#include "jobs/cell_config.h"

#include <string>
#include <string_view>

namespace medlarhub {

/// Returns the queue of that host whose path prefix is the longest match for `path`; null if none matches.
const queue_policy* find_queue(const cell_config& config, std::string_view host, std::string_view path);

/// Returns the team that the API key belongs to; null if there is none. Compares the digests of all teams,
/// each in constant time, so that the duration doesn't tell which one matched.
const team_policy* find_team(const cell_config& config, const std::string& key);

} // namespace medlarhub

#pragma once

#include "jobs/cell_config.h"

#include <string>
#include <string_view>

namespace medlarhub {

/// The queue with the longest prefix of `path` on that host; null when there is none.
const queue_policy* find_queue(const cell_config& config, std::string_view host, std::string_view path);

/// The team that holds the key; null when none does. Every digest is compared, each in constant time.
const team_policy* find_team(const cell_config& config, const std::string& key);

} // namespace medlarhub

#pragma once

#include "jobs/cell_config.h"

#include "jobs.pb.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarhub {

/// How the targets of a cell are divided over partitions: whole racks, none of which ever changes its
/// partition; single targets are passed on for a time (`target_assignments`). The count is agreed once, when
/// the cell first starts. All jobs of a team are kept by one partition, whose owner counts the team's whole
/// limit. It never changes either, for a job's id has to lead to it.
struct cell_layout {
    int partitions = 0;               ///< 0: not agreed yet
    std::map<std::string, int> racks; ///< the partition of each rack, by `rack_of`
    std::map<std::string, int> teams; ///< the partition that keeps a team's jobs

    friend bool operator==(const cell_layout&, const cell_layout&) = default;
};

/// A new layout for these targets, without its racks; `partitions` 0 lets their number decide.
cell_layout layout_for(const std::vector<target_entry>& targets, int partitions);

/// The number of partitions for a cell of that many targets: few, so that queues stay pooled and wide gangs
/// find room, and as many as one owner's processor asks for.
int partitions_for(std::size_t targets);

/// The rack as a layout names it. Targets that tell no rack are spread over made-up ones.
std::string rack_of(const target_entry& target);

/// Whether each target's rack has its partition.
bool covers(const cell_layout& layout, const std::vector<target_entry>& targets);

/// The layout with the racks that it lacks: each goes to the partition that has the fewest of its data
/// centre, so that every partition keeps room when a data centre is taken out.
cell_layout with_racks_of(cell_layout layout, const std::vector<target_entry>& targets);

/// Whether each team that is declared has its partition.
bool covers(const cell_layout& layout, const cell_config& config);

/// The layout with the teams that it lacks, large ones first, each where the least is sent so far.
cell_layout with_teams_of(cell_layout layout, const cell_config& config);

/// The partition that keeps a job; nothing while the team has none yet. Jobs without a team are spread over
/// all.
std::optional<int> home_partition_of(const cell_layout& layout, const std::string& team,
                                     std::string_view job);

std::string to_text(const cell_layout& layout);
/// Empty, with the reason, for a row that isn't a layout.
std::optional<cell_layout> parse_layout(const std::string& text);

} // namespace medlarhub

#pragma once

#include "jobs/cell_config.h"

#include "jobs.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarhub {

/// Keys are grouped by their digests, so that what is recorded of them stays small.
constexpr std::uint32_t key_groups = 2048;
/// Stands for the arbiter of jobs whose arbiter is chosen by their id.
constexpr int arbiter_by_id = -1;

/// How a cell is divided into partitions. Each rack belongs to one partition permanently; single targets may
/// be transferred to another partition temporarily (see `target_assignments`). The number of partitions is
/// fixed when the cell first starts. All jobs of a team are stored in one partition, whose owner enforces the
/// whole limit of the team. That assignment is permanent too, because a job is located by its team and id.
struct cell_layout {
    int partitions = 0;               ///< 0: not decided yet
    std::map<std::string, int> racks; ///< partition of each rack, keyed by `rack_of`
    std::map<std::string, int> teams; ///< home partition of each team's jobs
    /// The partition that decides where a submission with a key of that group is stored; see `places_of`.
    std::map<std::uint32_t, int> arbiters{};
    bool had_open_queue = false; ///< a queue is or was open to callers without a team

    friend bool operator==(const cell_layout&, const cell_layout&) = default;
};

/// Returns a new layout without racks or teams; if `partitions` is 0, the number of targets decides.
cell_layout layout_for(const std::vector<target_entry>& targets, int partitions);

/// Returns the number of partitions for that many targets: as few as possible, so that queues stay pooled and
/// wide gangs fit, but enough that the CPU of one owner suffices for its partition.
int partitions_for(std::size_t targets);

/// Returns the rack's name in a layout. Targets that report no rack are spread over substitute racks.
std::string rack_of(const target_entry& target);

/// Whether the rack of every target is assigned to a partition.
bool covers(const cell_layout& layout, const std::vector<target_entry>& targets);

/// Returns the layout with missing racks added, each in the partition with the fewest racks of its data
/// centre, so that every partition keeps capacity when a data centre is drained.
cell_layout with_racks_of(cell_layout layout, const std::vector<target_entry>& targets);

/// Whether every configured team is assigned to a partition and all of its keys have an arbiter.
bool covers(const cell_layout& layout, const cell_config& config);

/// Returns the layout with missing teams added, those with the highest job rate first, each in the partition
/// with the lowest total job rate so far; and with the arbiters of missing keys.
cell_layout with_teams_of(cell_layout layout, const cell_config& config);

/// Returns the partition that stores a job; nothing, with the reason, if its team isn't assigned yet. Jobs
/// without a team are spread over all partitions by id.
std::optional<int> home_partition_of(const cell_layout& layout, const std::string& team,
                                     std::string_view job);

/// Returns the group of a key with that digest.
std::uint32_t group_of_key(std::string_view digest);

/// The partitions that take part in a submission.
struct job_places {
    int home = 0;    ///< keeps the jobs of the caller's team
    int arbiter = 0; ///< decides whether the job is stored at home or already in another partition

    friend bool operator==(const job_places&, const job_places&) = default;
};

/// Returns the places of a submission; nothing, with the reason, while the layout lacks the caller's team or
/// key. The home depends on the caller's team and so on the configuration. The arbiter is the same for every
/// arrival of the same submission, whatever configuration the node has that it arrives at: the layout records
/// it once per group of keys, before any submission with such a key is accepted for a team. A key may have
/// been sent to an open queue before it was any team's; a key that is recorded after the first open queue
/// therefore has the arbiter that it had without a record, by the job's id.
std::optional<job_places> places_of(const cell_layout& layout, const std::string& team,
                                    std::optional<std::uint32_t> key_group, std::string_view job);

std::string to_text(const cell_layout& layout);
/// Returns nothing, with the reason, if the text isn't a valid layout.
std::optional<cell_layout> parse_layout(const std::string& text);

} // namespace medlarhub

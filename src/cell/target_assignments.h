#pragma once

#include "cell/cell_layout.h"
#include "jobs/cell_config.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

/// The known assignments of targets that were transferred away from the partition of their rack. Only the
/// owner of the partition that a target is assigned to transfers it, in a row of that partition which is
/// written together with the head row. Each transfer raises the transfer count of the assignment, so the
/// assignment with the highest count is the current one, in whatever order the rows are read. An owner that
/// reads the rows of all partitions after taking over its own knows every target that is assigned to it.
class target_assignments {
public:
    /// Returns false if none of them is newer than the known assignment.
    bool learn(const std::map<std::string, target_assignment>& assignments);
    bool learn(const target_assignments& other) { return learn(other.m_assignments); }
    /// Returns the assignment of a target; `home` is the partition of its rack.
    [[nodiscard]] target_assignment of(const std::string& target, int home) const;

private:
    std::map<std::string, target_assignment> m_assignments; ///< by target
};

/// Returns the targets that are assigned to a partition, with their home and number of transfers.
std::vector<target_entry> assigned_targets(const cell_layout& layout, const target_assignments& assignments,
                                           const std::vector<target_entry>& targets, int partition);

std::string to_text(const target_assignment& assignment);
/// Returns nothing, with the reason, if the text isn't a valid assignment.
std::optional<target_assignment> parse_assignment(const std::string& text);

} // namespace medlarhub

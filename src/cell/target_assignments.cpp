#include "cell/target_assignments.h"

#include "medlarhub/reason.h"

#include "jobs.pb.h"

namespace medlarhub {

bool target_assignments::learn(const std::map<std::string, target_assignment>& assignments) {
    bool any = false;
    for (const auto& [target, assignment] : assignments) {
        auto& known = m_assignments[target];
        if (assignment.transfers <= known.transfers)
            continue;
        known = assignment;
        any = true;
    }
    return any;
}

target_assignment target_assignments::of(const std::string& target, int home) const {
    const auto found = m_assignments.find(target);
    return found == m_assignments.end() || found->second.transfers == 0 ? target_assignment{home, 0}
                                                                        : found->second;
}

std::vector<target_entry> assigned_targets(const cell_layout& layout, const target_assignments& assignments,
                                           const std::vector<target_entry>& targets, int partition) {
    std::vector<target_entry> slice;
    for (const auto& target : targets) {
        const auto rack = layout.racks.find(rack_of(target));
        if (rack == layout.racks.end())
            continue;
        const auto assignment = assignments.of(target.id, rack->second);
        if (assignment.partition != partition)
            continue;
        auto& added = slice.emplace_back(target);
        added.home = rack->second;
        added.transfers = assignment.transfers;
    }
    return slice;
}

std::string to_text(const target_assignment& assignment) {
    pb::target_tenure row;
    row.set_partition(assignment.partition);
    row.set_transfers(assignment.transfers);
    return row.SerializeAsString();
}

std::optional<target_assignment> parse_assignment(const std::string& text) {
    pb::target_tenure row;
    if (!row.ParseFromString(text) || row.partition() < 0 || row.transfers() == 0)
        return fail("the tenure row of a target can't be parsed");
    return target_assignment{row.partition(), row.transfers()};
}

} // namespace medlarhub

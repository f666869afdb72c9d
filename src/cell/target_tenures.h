#pragma once

#include "cell/cell_layout.h"
#include "jobs/cell_config.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

/// Which targets were passed on from the partition of their rack, as far as it was read or told. Only the
/// owner of the partition that has a target passes it on, by a row of that partition written with its head
/// row. So what was read once is outdone by more transfers, never contradicted, in whatever order rows are
/// read; and who has read the rows of all partitions after it took its own knows all that it has.
class target_assignments {
public:
    /// False when none of them is newer than what is known.
    bool learn(const std::map<std::string, target_tenure>& tenures);
    bool learn(const target_assignments& other) { return learn(other.m_assignments); }
    /// The partition that has a target of that home, and since how many transfers.
    [[nodiscard]] target_tenure of(const std::string& target, int home) const;

private:
    std::map<std::string, target_tenure> m_assignments; ///< by target
};

/// The targets that a partition has, with their tenures.
std::vector<target_entry> assigned_targets(const cell_layout& layout, const target_assignments& tenures,
                                           const std::vector<target_entry>& targets, int partition);

std::string to_text(const target_tenure& tenure);
/// Empty, with the reason, for a row that isn't a tenure.
std::optional<target_tenure> parse_assignment(const std::string& text);

} // namespace medlarhub

#include "cell/cell_layout.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <tuple>

namespace medlarhub {

namespace {

constexpr std::size_t targets_per_partition = 220;
constexpr int max_partitions = 1000;
constexpr std::uint64_t substitute_rack_count = 64;

} // namespace

int partitions_for(std::size_t targets) {
    const auto needed = (targets + targets_per_partition - 1) / targets_per_partition;
    return static_cast<int>(std::max<std::size_t>(needed, 1));
}

cell_layout layout_for(const std::vector<target_entry>& targets, int partitions) {
    cell_layout layout;
    layout.partitions = partitions > 0 ? partitions : partitions_for(targets.size());
    return layout;
}

std::string rack_of(const target_entry& target) {
    const auto rack = target.rack.empty()
                          ? "~" + std::to_string(stable_hash(target.id) % substitute_rack_count)
                          : target.rack;
    return target.data_centre + "/" + rack;
}

bool covers(const cell_layout& layout, const std::vector<target_entry>& targets) {
    return std::ranges::all_of(
        targets, [&](const target_entry& target) { return layout.racks.contains(rack_of(target)); });
}

cell_layout with_racks_of(cell_layout layout, const std::vector<target_entry>& targets) {
    const auto count = static_cast<std::size_t>(std::max(layout.partitions, 1));
    const auto data_centre_of = [](const std::string& rack) { return rack.substr(0, rack.find('/')); };
    std::map<std::string, std::vector<int>> in_data_centre;
    std::vector<int> in_all(count);
    const auto add = [&](const std::string& rack, int partition) {
        auto& there = in_data_centre.try_emplace(data_centre_of(rack), count).first->second;
        ++there.at(static_cast<std::size_t>(partition));
        ++in_all.at(static_cast<std::size_t>(partition));
    };
    for (const auto& [rack, partition] : layout.racks)
        add(rack, partition);
    std::set<std::string> missing;
    for (const auto& target : targets) {
        if (auto rack = rack_of(target); !layout.racks.contains(rack))
            missing.insert(std::move(rack));
    }
    for (const auto& rack : missing) {
        const auto& there = in_data_centre.try_emplace(data_centre_of(rack), count).first->second;
        std::size_t best = 0;
        for (std::size_t i = 1; i < count; ++i) {
            const auto rank = [&](std::size_t each) { return std::pair{there[each], in_all[each]}; };
            if (rank(i) < rank(best))
                best = i;
        }
        layout.racks[rack] = static_cast<int>(best);
        add(rack, static_cast<int>(best));
    }
    return layout;
}

bool covers(const cell_layout& layout, const cell_config& config) {
    return std::ranges::all_of(config.teams,
                               [&](const auto& team) { return layout.teams.contains(team.first); });
}

cell_layout with_teams_of(cell_layout layout, const cell_config& config) {
    // A team without a configured job rate counts as a small one.
    const auto sent_by = [](const team_policy& team) { return std::max(team.jobs_per_second, 1.0); };
    std::vector<double> load(static_cast<std::size_t>(std::max(layout.partitions, 1)));
    std::vector<const team_policy*> missing;
    for (const auto& [name, team] : config.teams) {
        const auto known = layout.teams.find(name);
        if (known == layout.teams.end())
            missing.push_back(&team);
        else
            load.at(static_cast<std::size_t>(known->second)) += sent_by(team);
    }
    std::ranges::stable_sort(missing, std::ranges::greater{},
                             [&](const auto* team) { return sent_by(*team); });
    for (const auto* team : missing) {
        const auto least = std::ranges::min_element(load);
        *least += sent_by(*team);
        layout.teams[team->name] = static_cast<int>(least - load.begin());
    }
    return layout;
}

std::optional<int> home_partition_of(const cell_layout& layout, const std::string& team,
                                     std::string_view job) {
    if (layout.partitions <= 1)
        return layout.partitions == 1 ? std::optional{0} : fail("the cell has no layout yet");
    if (team.empty())
        return static_cast<int>(stable_hash(job) % static_cast<std::uint64_t>(layout.partitions));
    const auto home = layout.teams.find(team);
    if (home == layout.teams.end())
        return fail("the team has no partition yet");
    return home->second;
}

std::string to_text(const cell_layout& layout) {
    pb::cell_layout row;
    row.set_partitions(layout.partitions);
    row.mutable_racks()->insert(layout.racks.begin(), layout.racks.end());
    row.mutable_homes()->insert(layout.teams.begin(), layout.teams.end());
    return row.SerializeAsString();
}

std::optional<cell_layout> parse_layout(const std::string& text) {
    pb::cell_layout row;
    if (!row.ParseFromString(text))
        return fail("the layout row can't be parsed");
    if (row.partitions() < 1 || row.partitions() > max_partitions)
        return fail("the layout has " + std::to_string(row.partitions()) + " partitions");
    if (!row.teams().empty() && row.partitions() > 1)
        return fail("the layout is from a release that kept a team's jobs in several partitions");
    cell_layout layout;
    layout.partitions = row.partitions();
    for (const auto& [rack, partition] : row.racks()) {
        if (partition < 0 || partition >= row.partitions())
            return fail("the layout assigns " + rack + " to partition " + std::to_string(partition));
        layout.racks[rack] = partition;
    }
    for (const auto& [team, partition] : row.homes()) {
        if (partition < 0 || partition >= row.partitions())
            return fail("the layout assigns " + team + " to partition " + std::to_string(partition));
        layout.teams[team] = partition;
    }
    return layout;
}

} // namespace medlarhub

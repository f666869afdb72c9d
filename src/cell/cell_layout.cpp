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
/// The recorded form of an arbiter, by the number of its partition; 0: none is recorded.
constexpr std::uint32_t first_recorded_arbiter = 1 - arbiter_by_id;

int partition_by_id(const cell_layout& layout, std::string_view job) {
    return static_cast<int>(stable_hash(job) % static_cast<std::uint64_t>(layout.partitions));
}

bool has_open_queue(const cell_config& config) {
    return std::ranges::any_of(config.queues, [](const auto& queue) { return queue.second.open_to_all; });
}

bool has_arbiters_for(const cell_layout& layout, const cell_config& config) {
    const auto is_recorded = [&](const std::string& digest) {
        return layout.arbiters.contains(group_of_key(digest));
    };
    return (layout.had_open_queue || !has_open_queue(config)) &&
           std::ranges::all_of(config.teams, [&](const auto& team) {
               return std::ranges::all_of(team.second.key_digests, is_recorded);
           });
}

/// A cell of a single partition needs no arbiters.
void add_arbiters(cell_layout& layout, const cell_config& config) {
    if (layout.partitions <= 1)
        return;
    for (const auto& [name, team] : config.teams) {
        const auto arbiter = layout.had_open_queue ? arbiter_by_id : layout.teams.at(name);
        for (const auto& digest : team.key_digests)
            layout.arbiters.try_emplace(group_of_key(digest), arbiter);
    }
    layout.had_open_queue = layout.had_open_queue || has_open_queue(config);
}

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
                               [&](const auto& team) { return layout.teams.contains(team.first); }) &&
           (layout.partitions <= 1 || has_arbiters_for(layout, config));
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
    add_arbiters(layout, config);
    return layout;
}

std::uint32_t group_of_key(std::string_view digest) {
    return static_cast<std::uint32_t>(stable_hash(digest) % key_groups);
}

std::optional<job_places> places_of(const cell_layout& layout, const std::string& team,
                                    std::optional<std::uint32_t> key_group, std::string_view job) {
    const auto home = home_partition_of(layout, team, job);
    if (!home)
        return {};
    if (layout.partitions == 1)
        return job_places{*home, *home};
    const auto recorded = key_group ? layout.arbiters.find(*key_group) : layout.arbiters.end();
    const bool is_recorded = recorded != layout.arbiters.end();
    if (!team.empty() && !is_recorded)
        return fail("the key has no arbiter yet");
    if (team.empty() && !layout.had_open_queue)
        return fail("no open queue is recorded yet");
    const bool by_id = !is_recorded || recorded->second == arbiter_by_id;
    const int arbiter = by_id ? partition_by_id(layout, job) : recorded->second;
    // No limit holds jobs without a team together, so that they are stored at their arbiter.
    return job_places{team.empty() ? arbiter : *home, arbiter};
}

std::optional<int> home_partition_of(const cell_layout& layout, const std::string& team,
                                     std::string_view job) {
    if (layout.partitions <= 1)
        return layout.partitions == 1 ? std::optional{0} : fail("the cell has no layout yet");
    if (team.empty())
        return partition_by_id(layout, job);
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
    if (!layout.arbiters.empty())
        row.mutable_arbiters()->Resize(static_cast<int>(key_groups), 0);
    for (const auto& [group, arbiter] : layout.arbiters)
        row.set_arbiters(static_cast<int>(group),
                         static_cast<std::uint32_t>(arbiter) + first_recorded_arbiter);
    row.set_had_open_queue(layout.had_open_queue);
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
    if (row.arbiters_size() > static_cast<int>(key_groups))
        return fail("the layout has " + std::to_string(row.arbiters_size()) + " groups of keys");
    for (int group = 0; group < row.arbiters_size(); ++group) {
        const auto recorded = row.arbiters(group);
        if (recorded == 0)
            continue;
        const auto arbiter = static_cast<std::int64_t>(recorded) - first_recorded_arbiter;
        if (arbiter >= row.partitions())
            return fail("the layout has partition " + std::to_string(arbiter) + " as an arbiter");
        layout.arbiters[static_cast<std::uint32_t>(group)] = static_cast<int>(arbiter);
    }
    layout.had_open_queue = row.had_open_queue();
    return layout;
}

} // namespace medlarhub

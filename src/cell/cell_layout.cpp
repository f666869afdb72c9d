#include "cell/cell_layout.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace medlarhub {

namespace {

constexpr std::size_t targets_per_partition = 130;
/// Below this many one partition still serves all.
constexpr std::size_t most_in_one = 160;
constexpr int most_partitions = 1000;
constexpr std::uint64_t made_up_racks = 64;

} // namespace

int partitions_for(std::size_t targets) {
    if (targets <= most_in_one)
        return 1;
    return static_cast<int>((targets + targets_per_partition - 1) / targets_per_partition);
}

std::string rack_of(const target_entry& target) {
    const auto rack =
        target.rack.empty() ? "~" + std::to_string(stable_hash(target.id) % made_up_racks) : target.rack;
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
            if (std::tuple{there[i], in_all[i]} < std::tuple{there[best], in_all[best]})
                best = i;
        }
        layout.racks[rack] = static_cast<int>(best);
        add(rack, static_cast<int>(best));
    }
    return layout;
}

std::vector<target_entry> slice_of(const cell_layout& layout, const std::vector<target_entry>& targets,
                                   int partition) {
    std::vector<target_entry> slice;
    std::ranges::copy_if(targets, std::back_inserter(slice), [&](const target_entry& target) {
        const auto rack = layout.racks.find(rack_of(target));
        return rack != layout.racks.end() && rack->second == partition;
    });
    return slice;
}

int home_partition_of(std::string_view job, int partitions) {
    return static_cast<int>(stable_hash(job) % static_cast<std::uint64_t>(std::max(partitions, 1)));
}

std::string to_text(const cell_layout& layout) {
    pb::cell_layout row;
    row.set_partitions(layout.partitions);
    row.mutable_racks()->insert(layout.racks.begin(), layout.racks.end());
    return row.SerializeAsString();
}

std::optional<cell_layout> parse_layout(const std::string& text) {
    pb::cell_layout row;
    if (!row.ParseFromString(text))
        return fail("the layout row can't be read");
    if (row.partitions() < 1 || row.partitions() > most_partitions)
        return fail("the layout names " + std::to_string(row.partitions()) + " partitions");
    cell_layout layout;
    layout.partitions = row.partitions();
    for (const auto& [rack, partition] : row.racks()) {
        if (partition < 0 || partition >= row.partitions())
            return fail("the layout gives " + rack + " to partition " + std::to_string(partition));
        layout.racks[rack] = partition;
    }
    return layout;
}

} // namespace medlarhub

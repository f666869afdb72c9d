#include "jobs/gang_capacity.h"

#include "jobs/target_table.h"

#include <algorithm>
#include <map>
#include <queue>
#include <tuple>

namespace medlarhub {

namespace {

/// One more increment of tasks on one target, with the runs to stop for it.
struct capacity_increment {
    std::size_t offer = 0;
    std::size_t index = 0; ///< among the offer's increments; each requires the earlier ones
    std::int64_t members = 0;
    std::int64_t stopped_cpu_milli = 0;
    std::vector<std::string_view> stops;
};

/// Removes and returns the smallest run whose stop lets another task fit, otherwise the largest run.
stoppable_run take_run(std::vector<stoppable_run>& runs, const resources& need, const resources& free) {
    const auto fits = fits_in(need, free);
    std::ranges::stable_sort(runs, {}, [](const stoppable_run& run) { return run.held.cpu_milli; });
    auto chosen = std::ranges::find_if(runs, [&](const stoppable_run& run) {
        auto more = free;
        more += run.held;
        return fits_in(need, more) > fits;
    });
    if (chosen == runs.end())
        chosen = std::prev(runs.end());
    const auto taken = *chosen;
    runs.erase(chosen);
    return taken;
}

std::vector<capacity_increment> increments_of(const gang_offer& offer, std::size_t number,
                                              const resources& need, std::int64_t most) {
    auto free = offer.free;
    auto members = std::min(fits_in(need, free), most);
    std::vector<capacity_increment> increments;
    if (members > 0)
        increments.push_back({number, 0, members, 0, {}});
    auto left = offer.stoppable;
    capacity_increment increment{number, increments.size(), 0, 0, {}};
    while (!left.empty() && members < most) {
        const auto run = take_run(left, need, free);
        free += run.held;
        increment.stops.push_back(run.task);
        increment.stopped_cpu_milli += run.held.cpu_milli;
        const auto now = std::min(fits_in(need, free), most);
        if (now == members)
            continue;
        increment.members = now - members;
        members = now;
        increments.push_back(increment);
        increment = {number, increments.size(), 0, 0, {}};
    }
    return increments;
}

/// How many tasks fit on the target once all of its stoppable runs have been stopped.
std::int64_t most_members(const gang_offer& offer, const resources& need, std::int64_t max_on_one) {
    auto free = offer.free;
    for (const auto& run : offer.stoppable)
        free += run.held;
    return std::min(fits_in(need, free), max_on_one);
}

/// Whether `left` is a worse choice than `right`.
bool is_worse(const capacity_increment& left, const capacity_increment& right) {
    const auto rank = [](const capacity_increment& increment) {
        return std::tuple{static_cast<double>(increment.stopped_cpu_milli) /
                              static_cast<double>(increment.members),
                          -increment.members, increment.offer};
    };
    return rank(left) > rank(right);
}

} // namespace

std::optional<std::vector<gang_place>> find_gang_capacity(const resources& need, std::int64_t count,
                                                          std::int64_t max_on_one,
                                                          const std::vector<gang_offer>& offers) {
    std::int64_t most = 0;
    for (const auto& offer : offers)
        most += std::min(most_members(offer, need, max_on_one), count);
    if (most < count)
        return {};
    std::vector<std::vector<capacity_increment>> increments;
    increments.reserve(offers.size());
    std::priority_queue<capacity_increment, std::vector<capacity_increment>, decltype(&is_worse)> best{
        &is_worse};
    for (std::size_t i = 0; i < offers.size(); ++i) {
        const auto& added = increments.emplace_back(increments_of(offers[i], i, need, max_on_one));
        if (!added.empty())
            best.push(added.front());
    }
    std::map<std::size_t, gang_place> places;
    while (count > 0 && !best.empty()) {
        const auto increment = best.top();
        best.pop();
        count -= increment.members;
        auto& place = places[increment.offer];
        place.target = offers[increment.offer].target;
        place.stops.insert(place.stops.end(), increment.stops.begin(), increment.stops.end());
        if (increment.index + 1 < increments[increment.offer].size())
            best.push(increments[increment.offer][increment.index + 1]);
    }
    if (count > 0)
        return {};
    std::vector<gang_place> found;
    found.reserve(places.size());
    for (auto& [offer, place] : places)
        found.push_back(std::move(place));
    return found;
}

} // namespace medlarhub

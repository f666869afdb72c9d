#include "jobs/gang_room.h"

#include "jobs/target_table.h"

#include <algorithm>
#include <map>
#include <queue>
#include <tuple>

namespace medlarhub {

namespace {

/// Room for some more tasks on one target.
struct room_part {
    std::size_t offer = 0;
    std::size_t next = 0; ///< of the offer's parts; each needs the ones before it
    std::int64_t members = 0;
    std::int64_t stopped_cpu_milli = 0;
    std::vector<std::string_view> stops;
};

/// Takes the smallest run that makes room for one more, or else the largest.
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

std::vector<room_part> parts_of(const gang_offer& offer, std::size_t number, const resources& need,
                                std::int64_t most) {
    auto free = offer.free;
    auto members = std::min(fits_in(need, free), most);
    std::vector<room_part> parts;
    if (members > 0)
        parts.push_back({number, 0, members, 0, {}});
    auto left = offer.stoppable;
    room_part part{number, parts.size(), 0, 0, {}};
    while (!left.empty() && members < most) {
        const auto run = take_run(left, need, free);
        free += run.held;
        part.stops.push_back(run.task);
        part.stopped_cpu_milli += run.held.cpu_milli;
        const auto now = std::min(fits_in(need, free), most);
        if (now == members)
            continue;
        part.members = now - members;
        members = now;
        parts.push_back(part);
        part = {number, parts.size(), 0, 0, {}};
    }
    return parts;
}

/// Whether `left` is a worse choice than `right`.
bool is_worse(const room_part& left, const room_part& right) {
    const auto rank = [](const room_part& part) {
        return std::tuple{static_cast<double>(part.stopped_cpu_milli) / static_cast<double>(part.members),
                          -part.members, part.offer};
    };
    return rank(left) > rank(right);
}

} // namespace

std::optional<std::vector<gang_place>> find_gang_room(const resources& need, std::int64_t count,
                                                      std::int64_t most_on_one,
                                                      const std::vector<gang_offer>& offers) {
    std::vector<std::vector<room_part>> parts;
    parts.reserve(offers.size());
    std::priority_queue<room_part, std::vector<room_part>, decltype(&is_worse)> best{&is_worse};
    for (std::size_t i = 0; i < offers.size(); ++i) {
        const auto& added = parts.emplace_back(parts_of(offers[i], i, need, most_on_one));
        if (!added.empty())
            best.push(added.front());
    }
    std::map<std::size_t, gang_place> places;
    while (count > 0 && !best.empty()) {
        const auto part = best.top();
        best.pop();
        count -= part.members;
        auto& place = places[part.offer];
        place.target = offers[part.offer].target;
        place.stops.insert(place.stops.end(), part.stops.begin(), part.stops.end());
        if (part.next + 1 < parts[part.offer].size())
            best.push(parts[part.offer][part.next + 1]);
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

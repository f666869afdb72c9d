#include "medlarhub/escrow.h"

#include "medlarhub/reason.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace medlarhub {

namespace {

/// An owner requests a quarter more than it needs now, so that not every start requires a table write.
constexpr std::int64_t headroom_divisor = 4;

/// Returns a partition's fair part of a contended limit: an equal part for each partition with an allotment.
std::int64_t equal_part(const allotment_row& row, int partition) {
    std::int64_t holders = row.parts.contains(partition) ? 0 : 1;
    for (const auto& [number, part] : row.parts) {
        if (part > 0 || number == partition)
            ++holders;
    }
    return row.limit_cpu_milli / std::max<std::int64_t>(holders, 1);
}

} // namespace

std::int64_t allotment_row::total() const {
    std::int64_t sum = 0;
    for (const auto& [number, part] : parts)
        sum += part;
    return sum;
}

std::int64_t idle_floor(std::int64_t limit_cpu_milli, std::size_t partitions) {
    constexpr std::int64_t min_floor_cpu_milli = 1000;
    const auto part = limit_cpu_milli / static_cast<std::int64_t>(2 * std::max<std::size_t>(partitions, 1));
    return part >= min_floor_cpu_milli ? part : 0;
}

allotment_row rebalance(const allotment_row& row, const allotment_demand& demand) {
    allotment_row next = row;
    if (demand.limit_revision > next.limit_revision) {
        next.limit_revision = demand.limit_revision;
        next.limit_cpu_milli = demand.limit_cpu_milli;
    }
    const auto present = next.parts.contains(demand.partition) ? next.parts.at(demand.partition) : 0;
    const auto needed = demand.in_use_cpu_milli + demand.waiting_cpu_milli;
    const auto others = next.total() - present;
    const auto wanted = std::max(needed + needed / headroom_divisor, demand.floor_cpu_milli);
    const auto available = std::max<std::int64_t>(next.limit_cpu_milli - others, 0);
    auto part = std::min(wanted, available);
    if (available < wanted && present > equal_part(next, demand.partition))
        part = std::min(part, equal_part(next, demand.partition));
    if (present > wanted && present - wanted <= wanted / headroom_divisor &&
        others + present <= next.limit_cpu_milli)
        part = present; // keeps a small surplus, so that not every finished task changes the allotment
    part = std::max(part, std::min(demand.in_use_cpu_milli, present));
    if (part == 0)
        next.parts.erase(demand.partition);
    else
        next.parts[demand.partition] = part;
    return next;
}

std::string to_text(const allotment_row& row) {
    nlohmann::json parts = nlohmann::json::object();
    for (const auto& [number, part] : row.parts)
        parts[std::to_string(number)] = part;
    return nlohmann::json{{"limit", row.limit_cpu_milli}, {"revision", row.limit_revision}, {"parts", parts}}
        .dump();
}

std::optional<allotment_row> parse_allotment(std::string_view text) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("parts") || !json["parts"].is_object())
        return fail("the allotment row is malformed");
    allotment_row row;
    row.limit_cpu_milli = json.value("limit", std::int64_t{0});
    row.limit_revision = json.value("revision", std::int64_t{0});
    for (const auto& [number, part] : json["parts"].items())
        row.parts[std::stoi(number)] = part.get<std::int64_t>();
    return row;
}

} // namespace medlarhub

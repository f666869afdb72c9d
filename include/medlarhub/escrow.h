#pragma once

#include "medlarhub/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace medlarhub {

/// The division of one team's limit into allotments, one per partition: a table row that changes only by
/// conditional writes. An owner starts nothing beyond its partition's allotment, so the fleet as a whole
/// stays within the limit without a central counter.
struct allotment_row {
    std::int64_t limit_cpu_milli = 0;
    std::int64_t limit_revision = 0; ///< revision of the team document that the limit was read from
    std::map<int, std::int64_t> parts;

    [[nodiscard]] std::int64_t total() const;
    friend bool operator==(const allotment_row&, const allotment_row&) = default;
};

/// One partition's demand for a part of a team's limit.
struct allotment_demand {
    int partition = 0;
    std::int64_t in_use_cpu_milli = 0;  ///< held by tasks now, those with an unknown outcome included
    std::int64_t waiting_cpu_milli = 0; ///< needed by waiting tasks
    std::int64_t limit_cpu_milli = 0;
    std::int64_t limit_revision = 0;
    std::int64_t floor_cpu_milli = 0; ///< kept even when idle, available for a burst or during a table outage
};

/// Returns the allotment that an idle partition keeps: an equal part of half the limit, or 0 if that is less
/// than one CPU.
std::int64_t idle_floor(std::int64_t limit_cpu_milli, std::size_t partitions);

/// Returns the row after this partition's allotment has been adjusted to its demand; equal to `row` when no
/// write is needed. The sum of the parts never grows beyond the limit. After a limit is lowered, each owner
/// returns what it doesn't use until the sum is within the limit again.
allotment_row rebalance(const allotment_row& row, const allotment_demand& demand);

std::string to_text(const allotment_row& row);
std::optional<allotment_row> parse_allotment(std::string_view text);

} // namespace medlarhub

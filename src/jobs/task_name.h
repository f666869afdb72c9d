#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace medlarhub {

/// Identifies one task of a job. Its text form is `JOB.OCCURRENCE.STEP.INDEX`.
struct task_name {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend auto operator<=>(const task_name&, const task_name&) = default;
    [[nodiscard]] std::string to_string() const;
    [[nodiscard]] std::string step_string() const;
};

std::optional<task_name> parse_task_name(std::string_view text);

} // namespace medlarhub

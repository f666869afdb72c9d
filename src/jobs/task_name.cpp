#include "jobs/task_name.h"

#include "medlarhub/reason.h"

#include <array>
#include <charconv>

namespace medlarhub {

std::string task_name::step_string() const {
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step);
}

std::string task_name::to_string() const {
    return step_string() + "." + std::to_string(index);
}

std::optional<task_name> parse_task_name(std::string_view text) {
    constexpr auto shape = "a task's name is job.occurrence.step.index";
    std::array<int, 3> numbers{};
    for (auto number = numbers.rbegin(); number != numbers.rend(); ++number) {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return fail(shape);
        const auto part = text.substr(dot + 1);
        const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), *number);
        if (error != std::errc{} || end != part.data() + part.size() || *number < 0)
            return fail(shape);
        text = text.substr(0, dot);
    }
    if (text.empty())
        return fail(shape);
    return task_name{std::string{text}, numbers[0], numbers[1], numbers[2]};
}

} // namespace medlarhub

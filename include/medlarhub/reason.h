#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace medlarhub {

/// Returns why the last call on this thread that returned an empty `std::optional` failed.
const std::string& last_reason();

/// Sets the reason that `last_reason` returns on this thread.
void set_reason(std::string_view reason);

/// Sets the reason and returns an empty optional, so that a function can fail in one statement.
inline std::nullopt_t fail(std::string_view reason) {
    set_reason(reason);
    return std::nullopt;
}

} // namespace medlarhub

#include "cell/advice_router.h"

#include <algorithm>

namespace medlarhub {

namespace {

constexpr milliseconds long_question{200};
constexpr milliseconds failure_pause{1500};

} // namespace

std::string advice_router::choose(instant at, const std::vector<std::string>& live, milliseconds cost) {
    if (live.empty())
        return {};
    const auto for_long = live.size() / 2;
    const auto middle = live.begin() + static_cast<std::ptrdiff_t>(for_long);
    const bool is_long = cost >= long_question && for_long > 0;
    const auto first = is_long ? live.begin() : middle;
    const auto last = is_long ? middle : live.end();
    const auto free_at = [&](const std::string& node) { return std::max(at, m_free_at[node]); };
    const auto chosen = *std::min_element(
        first, last, [&](const auto& left, const auto& right) { return free_at(left) < free_at(right); });
    m_free_at[chosen] = free_at(chosen) + cost;
    return chosen;
}

void advice_router::failed(instant at, const std::string& node) {
    m_free_at[node] = std::max(at, m_free_at[node]) + failure_pause;
}

} // namespace medlarhub

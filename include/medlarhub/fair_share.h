#pragma once

#include "medlarhub/document.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

/// Orders teams by dominant resource fairness, weighted by each team's share, and enforces team allotments.
class fair_share {
public:
    void set_capacity(const resources& capacity) { m_capacity = capacity; }
    void set_share(const std::string& team, std::int64_t share);
    /// Sets this partition's allotment of the team's limit; empty when the team has no limit.
    void set_allotment(const std::string& team, std::optional<std::int64_t> cpu_milli);

    void hold(const std::string& team, const resources& need);
    void release(const std::string& team, const resources& need);

    /// False when the task would exceed the team's allotment.
    [[nodiscard]] bool may_start(const std::string& team, const resources& need) const;
    /// Returns the team's dominant share divided by its weight; the team with the lowest value is served
    /// first.
    [[nodiscard]] double usage(const std::string& team) const;
    [[nodiscard]] bool above_share(const std::string& team) const;
    [[nodiscard]] resources held(const std::string& team) const;
    [[nodiscard]] std::optional<std::int64_t> allotment(const std::string& team) const;
    [[nodiscard]] std::vector<std::string> teams() const;

private:
    struct team_state {
        resources held;
        std::int64_t share = 1;
        std::optional<std::int64_t> allotment;
    };

    [[nodiscard]] double dominant_share(const team_state& state) const;

    resources m_capacity;
    std::map<std::string, team_state> m_teams;
};

} // namespace medlarhub

#pragma once

#include "medlarhub/document.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

/// Who comes next when the fleet is full, and who is at its limit: dominant resource fairness, weighted by
/// each team's share.
class fair_share {
public:
    void set_capacity(const resources& capacity) { m_capacity = capacity; }
    void set_share(const std::string& team, std::int64_t share);
    /// What this partition may hold of the team's upper limit; empty when the team has none.
    void set_allotment(const std::string& team, std::optional<std::int64_t> cpu_milli);

    void hold(const std::string& team, const resources& need);
    void release(const std::string& team, const resources& need);

    /// False when the task would take the team past its allotment.
    [[nodiscard]] bool may_start(const std::string& team, const resources& need) const;
    /// The team's largest part of any resource, divided by its share; the lowest comes first.
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

#include "cell/cap_sync.h"

#include "log.h"

#include "medlarhub/reason.h"

#include <algorithm>

namespace medlarhub {

namespace {

constexpr auto cap_prefix = "/cap/";
constexpr int rows_per_read = 500;

} // namespace

bool cap_sync::read_rows() {
    std::map<std::string, team_row> read;
    std::string after;
    for (;;) {
        const auto page = m_rows.list(cap_prefix, after, rows_per_read);
        if (!page)
            return false;
        for (const auto& row : *page) {
            const auto team = row.key.substr(std::string_view{cap_prefix}.size());
            auto& known = read[team];
            known.version = row.version;
            if (!known.division.ParseFromString(row.value))
                log_event(log_level::error, "cap_row_unreadable", {{"team", team}});
        }
        if (page->size() < static_cast<std::size_t>(rows_per_read))
            break;
        after = page->back().key;
    }
    m_teams = std::move(read);
    return true;
}

void cap_sync::round(const cell_layout& layout, const std::vector<cap_member>& members) {
    std::erase_if(m_members, [&](const auto& known) {
        return std::ranges::find(members, known.first, &cap_member::number) == members.end();
    });
    if (members.empty() || !read_rows())
        return;
    for (const auto& member : members)
        serve(layout, member);
}

void cap_sync::serve(const cell_layout& layout, const cap_member& member) {
    auto& state = m_members[member.number];
    if (state.epoch != member.epoch)
        state = {member.epoch, {}, {}};
    std::set<std::string> teams;
    for (const auto& [team, row] : m_teams)
        teams.insert(team);
    // The only partition that keeps a team's jobs has all of its limit, until another one needs some.
    for (const auto& [team, homes] : layout.teams) {
        const auto usual = usual_share(layout, team, member.number);
        state.shares.try_emplace(team, usual);
        const auto want = member.wants.find(team);
        const bool lacks =
            want != member.wants.end() && usual < 1 && (want->second.next > 0 || want->second.held > usual);
        if (lacks)
            teams.insert(team);
    }
    for (const auto& team : teams)
        divide(layout, member, state, team);
    tell(layout, member, state);
}

void cap_sync::tell(const cell_layout& layout, const cap_member& member, const member_state& state) {
    std::map<std::string, team_part> parts;
    for (const auto& [team, share] : state.shares)
        parts[team] = {share, usual_share(layout, team, member.number)};
    member.set_parts(std::move(parts));
}

void cap_sync::divide(const cell_layout& layout, const cap_member& member, member_state& state,
                      const std::string& team) {
    auto& row = m_teams[team];
    for (int i = 0; i < layout.partitions; ++i) {
        if (!row.division.parts().contains(i))
            (*row.division.mutable_parts())[i].set_share(usual_share(layout, team, i));
    }
    const auto want = member.wants.find(team);
    const auto none = cap_want{};
    const auto divided = divide_cap(row.division, member.number, member.epoch,
                                    want == member.wants.end() ? none : want->second);
    const auto share_in = [&](const pb::cap_division& division) {
        return division.parts().at(member.number).share();
    };
    // A late write of before may change the row as long as nothing was written after it.
    const bool settle = state.unsure.contains(team);
    if (!divided && !settle) {
        state.shares[team] = share_in(row.division);
        return;
    }
    const auto next = divided.value_or(row.division);
    const auto known = state.shares.contains(team) ? state.shares.at(team) : share_in(row.division);
    state.shares[team] = std::min({known, share_in(row.division), share_in(next)});
    tell(layout, member, state);
    const auto condition = row.version == 0 ? write_condition::absent : write_condition::version;
    const auto result =
        m_rows.transact({{cap_prefix + team, next.SerializeAsString(), condition, row.version, false}});
    if (result.outcome == write_outcome::unavailable) {
        state.unsure.insert(team);
        log_event(log_level::warning, "cap_write_lost", {{"team", team}, {"reason", last_reason()}});
    }
    if (result.outcome != write_outcome::committed)
        return;
    state.unsure.erase(team);
    if (share_in(next) != share_in(row.division))
        log_event(log_level::info, "cap_share",
                  {{"team", team},
                   {"partition", std::to_string(member.number)},
                   {"share", std::to_string(share_in(next))},
                   {"before", std::to_string(share_in(row.division))}});
    row = {next, result.version};
    state.shares[team] = share_in(next);
}

} // namespace medlarhub

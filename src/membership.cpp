#include "medlarhub/membership.h"

#include <algorithm>
#include <bit>

namespace medlarhub {

namespace {

/// Dead members are kept this long, so that a delayed message can't mark them as alive again.
constexpr milliseconds dead_member_retention{60'000};
/// Gossip transmissions of an update per bit of the cluster size, which makes their number logarithmic.
constexpr int transmissions_per_bit = 3;

/// True when `update` has a higher incarnation than `known`, or a worse state at the same incarnation.
bool supersedes(const pb::member& update, const pb::member& known) {
    if (update.incarnation() != known.incarnation())
        return update.incarnation() > known.incarnation();
    return update.state() > known.state();
}

bool is_live(const pb::member& info) {
    return info.state() == pb::member::alive || info.state() == pb::member::suspect;
}

} // namespace

membership::membership(pb::member self, membership_options options, std::uint64_t seed)
    : m_self{std::move(self)}, m_options{options}, m_random{seed} {}

int membership::transmission_limit() const {
    return transmissions_per_bit * static_cast<int>(std::bit_width(m_members.size() + 1));
}

std::vector<pb::member> membership::next_probes(std::size_t count) {
    std::vector<pb::member> probes;
    const auto rounds = m_members.size();
    for (std::size_t tried = 0; tried < rounds && probes.size() < count; ++tried) {
        if (m_round.empty()) {
            for (const auto& [id, known] : m_members)
                m_round.push_back(id);
            std::ranges::shuffle(m_round, m_random);
        }
        const auto found = m_members.find(m_round.back());
        m_round.pop_back();
        if (found != m_members.end() && is_live(found->second.info))
            probes.push_back(found->second.info);
    }
    return probes;
}

std::vector<pb::member> membership::helpers(const std::string& subject) {
    std::vector<pb::member> candidates;
    for (const auto& [id, known] : m_members) {
        if (id != subject && known.info.state() == pb::member::alive)
            candidates.push_back(known.info);
    }
    std::ranges::shuffle(candidates, m_random);
    if (candidates.size() > static_cast<std::size_t>(m_options.indirect_probes))
        candidates.resize(static_cast<std::size_t>(m_options.indirect_probes));
    return candidates;
}

void membership::update(instant at, entry& known, const pb::member& info) {
    known.info = info;
    known.since = at;
    known.transmissions = 0;
}

void membership::probe_failed(instant at, const std::string& id) {
    const auto found = m_members.find(id);
    if (found == m_members.end() || found->second.info.state() != pb::member::alive)
        return;
    auto info = found->second.info;
    info.set_state(pb::member::suspect);
    update(at, found->second, info);
}

void membership::tick(instant at) {
    for (auto it = m_members.begin(); it != m_members.end();) {
        auto& known = it->second;
        if (known.info.state() == pb::member::suspect && at - known.since >= m_options.suspect_after) {
            auto info = known.info;
            info.set_state(pb::member::dead);
            update(at, known, info);
        }
        if (!is_live(known.info) && at - known.since >= dead_member_retention)
            it = m_members.erase(it);
        else
            ++it;
    }
}

std::vector<pb::member> membership::updates() {
    std::vector<entry*> pending;
    for (auto& [id, known] : m_members) {
        if (known.transmissions < transmission_limit())
            pending.push_back(&known);
    }
    std::ranges::stable_sort(pending, {}, &entry::transmissions);
    std::vector<pb::member> sent{m_self};
    for (auto* known : pending) {
        if (sent.size() > static_cast<std::size_t>(m_options.max_updates))
            break;
        ++known->transmissions;
        sent.push_back(known->info);
    }
    return sent;
}

void membership::merge(instant at, const pb::member& info) {
    if (info.id().empty())
        return;
    if (info.id() == m_self.id()) {
        const bool contradicts_self =
            info.incarnation() >= m_self.incarnation() && info.state() != m_self.state();
        if (contradicts_self && m_self.state() == pb::member::alive)
            m_self.set_incarnation(info.incarnation() + 1); // refutes the wrong state
        return;
    }
    auto [found, added] = m_members.try_emplace(info.id());
    if (added || supersedes(info, found->second.info))
        update(at, found->second, info);
}

void membership::set_without_table(bool without) {
    if (m_self.without_table() == without)
        return;
    m_self.set_without_table(without);
    m_self.set_incarnation(m_self.incarnation() + 1);
}

void membership::leave() {
    m_self.set_state(pb::member::left);
    m_self.set_incarnation(m_self.incarnation() + 1);
}

std::vector<std::string> membership::live() const {
    std::vector<std::string> ids;
    if (m_self.state() == pb::member::alive)
        ids.push_back(m_self.id());
    for (const auto& [id, known] : m_members) {
        if (is_live(known.info))
            ids.push_back(id);
    }
    std::ranges::sort(ids);
    return ids;
}

const pb::member* membership::look_up(const std::string& id) const {
    if (id == m_self.id())
        return &m_self;
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second.info;
}

std::optional<pb::member> membership::find(const std::string& id) const {
    const auto* found = look_up(id);
    return found == nullptr ? std::nullopt : std::optional{*found};
}

bool membership::alive(const std::string& id) const {
    const auto* found = look_up(id);
    return found != nullptr && is_live(*found);
}

bool membership::suspected(const std::string& id) const {
    const auto* found = look_up(id);
    return found != nullptr && found->state() == pb::member::suspect;
}

std::vector<pb::member> membership::all() const {
    std::vector<pb::member> members{m_self};
    for (const auto& [id, known] : m_members)
        members.push_back(known.info);
    return members;
}

} // namespace medlarhub

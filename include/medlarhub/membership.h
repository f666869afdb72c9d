#pragma once

#include "medlarhub/time.h"

#include "medlarhub.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace medlarhub {

struct membership_options {
    milliseconds suspect_after{1500}; ///< time from a failed probe until a suspect is declared dead
    int indirect_probes = 2;
    int max_updates = 8; ///< member updates that one message carries
};

/// Membership and failure detection by SWIM: probes a few members per period and disseminates changes by
/// gossip. A node's message load doesn't grow with the cluster; a change reaches all members in a logarithmic
/// number of periods.
class membership {
public:
    membership(pb::member self, membership_options options, std::uint64_t seed);

    /// Returns the next `count` members to probe. Each shuffled round covers every member once.
    [[nodiscard]] std::vector<pb::member> next_probes(std::size_t count);
    /// Returns members to ask for an indirect probe of `subject`.
    [[nodiscard]] std::vector<pb::member> helpers(const std::string& subject);

    /// Marks a member as suspected after neither the direct nor the indirect probes were answered.
    void probe_failed(instant at, const std::string& id);
    /// Declares suspects dead once `suspect_after` has passed; removes dead members later.
    void tick(instant at);

    /// Returns the updates to send next, those sent least often first.
    [[nodiscard]] std::vector<pb::member> updates();
    void merge(instant at, const pb::member& update);
    /// Announces whether this node has lost contact with the table; disseminated like a change of state.
    void set_without_table(bool without);
    /// Announces that this node is leaving, so that other nodes stop using it immediately.
    void leave();

    [[nodiscard]] const pb::member& self() const { return m_self; }
    /// The number of known members, without this node and with dead ones that aren't removed yet.
    [[nodiscard]] std::size_t size() const { return m_members.size(); }
    [[nodiscard]] std::vector<std::string> live() const;
    [[nodiscard]] std::optional<pb::member> find(const std::string& id) const;
    [[nodiscard]] bool alive(const std::string& id) const;
    /// True when the member is alive but its last probe failed.
    [[nodiscard]] bool suspected(const std::string& id) const;
    [[nodiscard]] std::vector<pb::member> all() const;
    /// Calls `visit` with this node and every other known member.
    template <typename Visitor> void for_each(Visitor visit) const {
        visit(m_self);
        for (const auto& [id, known] : m_members)
            visit(known.info);
    }

private:
    struct entry {
        pb::member info;
        instant since{};
        int transmissions = 0;
    };

    void update(instant at, entry& known, const pb::member& info);
    [[nodiscard]] int transmission_limit() const;
    /// Returns null for an unknown member.
    [[nodiscard]] const pb::member* look_up(const std::string& id) const;

    pb::member m_self;
    membership_options m_options;
    std::mt19937_64 m_random;
    std::map<std::string, entry> m_members;
    int m_self_transmissions = 0;
    std::vector<std::string> m_round;
};

} // namespace medlarhub

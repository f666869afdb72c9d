#pragma once

#include "cell/cell_layout.h"
#include "cell/succession.h"

#include "medlarhub/membership.h"

#include "jobs.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarhub {

/// The owner of a partition as a node last heard of it.
struct owner_view {
    std::string owner; ///< the node and its incarnation
    std::string address;
    std::uint64_t epoch = 0;
};

/// What a node believes of its cell: which nodes live and hear from the table, who owns which partition, how
/// the cell is divided. Decides from it which partitions the node is due to take, and who comes next. Without
/// input or output; safe from any thread.
class cell_view {
public:
    /// `owner_changed` is called for a partition whenever a later owner becomes known; it must not call back.
    cell_view(pb::member self, std::uint64_t seed, std::function<void(int)> owner_changed);

    /// The name under which this node owns partitions; a restarted node has another one.
    [[nodiscard]] const std::string& owner_name() const { return m_owner_name; }

    // ---- The table ----

    /// The table answered this node.
    void table_answered(instant at);
    [[nodiscard]] bool can_reach_table(instant at) const;
    /// Whether the table is out for all, as far as others said lately.
    [[nodiscard]] bool shared_outage(instant at) const;

    // ---- Nodes ----

    void learn_node(instant at, const pb::member& node);
    /// Says that this node leaves.
    void leave();
    [[nodiscard]] std::optional<pb::member> node(const std::string& id) const;
    /// The names of all nodes that live, this one among them.
    [[nodiscard]] std::vector<std::string> live_nodes() const;
    /// The other nodes that live; `suspects` says whether those whose last probe was lost are among them.
    [[nodiscard]] std::vector<pb::member> others(bool suspects) const;

    pb::gossip make_message(instant at);
    /// A message in answer to one; it brings the layout if the other node's is older.
    pb::gossip make_reply(instant at, const pb::gossip& message);
    /// True when the message brought a newer layout.
    bool handle_message(instant at, const pb::gossip& message);
    /// The nodes to probe next; to be called once a gossip period.
    std::vector<pb::member> next_probes(instant at);
    void node_probe_failed(instant at, const std::string& id);

    // ---- Owners ----

    struct owner_probe {
        int partition = 0;
        std::string address;
    };
    /// Owners after whom this node comes: it watches them, so that a death is noticed fast without all
    /// probing all.
    [[nodiscard]] std::vector<owner_probe> owners_to_probe(instant at, const std::set<int>& own);
    void owner_probe_failed(instant at, int partition);

    void learn_owner(int partition, const owner_view& owner);
    [[nodiscard]] bool is_owner_known(int partition) const;
    [[nodiscard]] std::size_t known_owner_count() const;
    /// Empty while none is known.
    [[nodiscard]] std::string owner_address(int partition) const;

    struct ownership_changes {
        bool gained = false;      ///< another partition has become this node's
        std::vector<int> deposed; ///< partitions that have a later owner elsewhere
    };
    /// Takes note of what this node owns now, each with its epoch.
    ownership_changes update_owned(const std::map<int, std::uint64_t>& own);

    /// The partitions without a live owner that fall to this node. Those of which nothing was ever heard are
    /// among them only if `include_unknown`.
    [[nodiscard]] std::vector<int> partitions_to_take(instant at, const std::set<int>& excluded,
                                                      bool include_unknown);
    /// Whether a partition may be taken whose head row has just been read. Who writes lives, even if it was
    /// too busy to answer probes; so the row has to stand still for a while, unless its owner left or is this
    /// node in a life before.
    bool may_take(instant at, int partition, const owner_view& owner, std::uint64_t sequence);

    /// The node that comes after this one as the owner; empty when there is none.
    [[nodiscard]] std::optional<pb::member> find_successor(instant at, int partition);
    struct successor_load {
        pb::member member;
        int owned = 0; ///< partitions, as far as is known
    };
    /// The same, but it hears from the table and isn't among `asked`.
    [[nodiscard]] std::optional<successor_load> find_successor_with_table(instant at, int partition,
                                                                          const std::set<std::string>& asked);

    struct partition_move {
        int partition = 0;
        std::string node;

        friend bool operator==(const partition_move&, const partition_move&) = default;
    };
    /// One of this node's partitions that another node serves clearly better.
    [[nodiscard]] std::optional<partition_move> suggest_move(instant at, const std::set<int>& own);

    // ---- The layout ----

    [[nodiscard]] std::shared_ptr<const cell_layout> layout() const;
    /// The number of partitions; 0 while it isn't agreed.
    [[nodiscard]] int partitions() const;
    /// False for a version that isn't newer.
    bool update_layout(const cell_layout& layout, std::int64_t version);
    /// Whether it falls to this node to divide the cell, which isn't divided yet.
    [[nodiscard]] bool should_create_layout(instant at);

private:
    /// How the table was for another node when it last sent a message.
    struct peer_report {
        instant received{};
        instant last_table_answer{};
    };
    struct successor_entry {
        std::string owner;
        std::string successor;
    };
    struct head_view {
        std::uint64_t sequence = 0;
        instant at{};
    };

    // These expect the mutex to be held.
    bool replace_layout(const cell_layout& layout, std::int64_t version);
    void replace_owner(int partition, const owner_view& owner);
    const std::vector<candidate_owner>& candidates(instant at);
    void refresh_candidates(instant at);
    /// The node to which a partition of that owner falls next, by the candidates as last refreshed.
    const std::string& cached_successor(int partition, const std::string& owner);
    [[nodiscard]] bool has_recent_table_answer(instant at) const;
    [[nodiscard]] bool is_owner_alive(const std::string& owner) const;
    [[nodiscard]] bool is_suspected(instant at, int partition, const std::string& owner) const;

    const std::string m_node;
    const std::uint64_t m_incarnation;
    const std::string m_owner_name;
    const std::function<void(int)> m_owner_changed;

    mutable std::mutex m_mutex; ///< guards all that follows
    membership m_members;
    instant m_last_table_answer{};
    bool m_owns_any = false; ///< this node owns some partition
    std::map<int, owner_view> m_owners;
    std::map<int, instant> m_owner_probe_failures; ///< when a probe of the owner was lost last
    std::map<int, head_view> m_heads;              ///< of partitions whose owner may be dead
    std::map<std::string, peer_report> m_reports;  ///< by node
    std::vector<candidate_owner> m_candidates;
    instant m_candidates_at{};
    std::map<int, successor_entry> m_successors; ///< by partition, worked out from `m_candidates`
    std::shared_ptr<const cell_layout> m_layout = std::make_shared<cell_layout>();
    std::int64_t m_layout_version = 0;
};

} // namespace medlarhub

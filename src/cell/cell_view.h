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

/// The latest known owner of a partition.
struct owner_view {
    std::string owner; ///< `node/incarnation`
    std::string address;
    std::uint64_t epoch = 0;
};

/// A node's view of its cell: which nodes are alive and can reach the table, which node owns each partition,
/// and the layout. Decides which partitions the node should take over, and which node succeeds an owner. Does
/// no I/O but logging; thread-safe.
class cell_view {
public:
    /// `owner_changed` is called with a partition's number whenever an owner with a later epoch becomes
    /// known; it must not call into this object.
    cell_view(pb::member self, std::uint64_t seed, std::function<void(int)> owner_changed);

    /// The name under which this node owns partitions, `node/incarnation`; it changes with each restart.
    [[nodiscard]] const std::string& owner_name() const { return m_owner_name; }

    // ---- The table ----

    /// Records that the table answered this node.
    void table_answered(instant at);
    [[nodiscard]] bool can_reach_table(instant at) const;

    // ---- Nodes ----

    void learn_node(instant at, const pb::member& node);
    /// Marks this node as leaving the cell.
    void leave();
    [[nodiscard]] std::optional<pb::member> node(const std::string& id) const;
    /// Returns the ids of all live nodes, including this one.
    [[nodiscard]] std::vector<std::string> live_nodes() const;
    /// Returns the other live nodes; `suspects` includes those whose last probe failed.
    [[nodiscard]] std::vector<pb::member> others(bool suspects) const;

    pb::gossip make_message();
    /// Makes the reply to a message; includes the layout if the other node has an older one.
    pb::gossip make_reply(const pb::gossip& message);
    /// Merges a message into the view. Returns true if it contained a newer layout.
    bool handle_message(instant at, const pb::gossip& message);
    /// Returns the nodes to probe next; to be called once per gossip period.
    std::vector<pb::member> next_probes(instant at);
    void node_probe_failed(instant at, const std::string& id);

    // ---- Owners ----

    struct owner_probe {
        int partition = 0;
        std::string address;
    };
    /// Returns the owners whose successor is this node. This node probes them frequently, so that a failure
    /// is detected fast without every node probing every other.
    [[nodiscard]] std::vector<owner_probe> owners_to_probe(instant at, const std::set<int>& own);
    void owner_probe_failed(instant at, int partition);

    void learn_owner(int partition, const owner_view& owner);
    [[nodiscard]] bool is_owner_known(int partition) const;
    [[nodiscard]] std::size_t known_owner_count() const;
    /// Returns an empty string if no owner is known.
    [[nodiscard]] std::string owner_address(int partition) const;

    struct ownership_changes {
        bool gained = false;   ///< this node owns another partition
        std::vector<int> lost; ///< partitions that another node owns with a later epoch
    };
    /// Records the partitions that this node owns now, with their epochs.
    ownership_changes update_owned(const std::map<int, std::uint64_t>& own);

    /// Returns the partitions without a live owner that this node should take over. Partitions whose owner
    /// was never reported are included only if `include_unknown`.
    [[nodiscard]] std::vector<int> partitions_to_take(instant at, const std::set<int>& excluded,
                                                      bool include_unknown);
    /// Whether a partition whose head row has just been read may be taken over. An owner that still writes is
    /// alive, even if it is too busy to answer probes. So the head row must stay unchanged for a while first,
    /// unless the partition was released or its owner is an earlier incarnation of this node.
    bool may_take(instant at, int partition, const owner_view& owner, std::uint64_t sequence);

    struct successor_load {
        pb::member member;
        int owned = 0; ///< known number of partitions that it owns
    };
    /// Returns the node that succeeds this one as the owner, among those that can reach the table and aren't
    /// in `asked`, the nodes that were already asked to take the partition over.
    [[nodiscard]] std::optional<successor_load> find_successor_with_table(instant at, int partition,
                                                                          const std::set<std::string>& asked);

    struct partition_move {
        int partition = 0;
        std::string node;

        friend bool operator==(const partition_move&, const partition_move&) = default;
    };
    /// Returns one of this node's partitions for which another node is clearly the better owner, if any.
    [[nodiscard]] std::optional<partition_move> suggest_move(instant at, const std::set<int>& own);

    // ---- The layout ----

    [[nodiscard]] std::shared_ptr<const cell_layout> layout() const;
    /// The number of partitions; 0 while the layout isn't known.
    [[nodiscard]] int partitions() const;
    /// Returns false, and changes nothing, if the version isn't newer.
    bool update_layout(const cell_layout& layout, std::int64_t version);
    /// Whether the cell has no layout yet and this node is the one that should create it.
    [[nodiscard]] bool should_create_layout(instant at);

private:
    struct successor_entry {
        std::string owner;
        std::string successor;
    };
    struct head_view {
        std::uint64_t sequence = 0;
        instant at{};
    };

    // These require the mutex to be held.
    bool replace_layout(const cell_layout& layout, std::int64_t version);
    void replace_owner(int partition, const owner_view& owner);
    const std::vector<candidate_owner>& candidates(instant at);
    void refresh_candidates(instant at);
    /// Returns the successor of that owner among the candidates as last refreshed.
    const std::string& cached_successor(int partition, const std::string& owner);
    [[nodiscard]] bool has_recent_table_answer(instant at) const;
    [[nodiscard]] bool is_owner_alive(const std::string& owner) const;
    [[nodiscard]] bool is_suspected(instant at, int partition, const std::string& owner) const;

    const std::string m_node;
    const std::uint64_t m_incarnation;
    const std::string m_owner_name;
    const std::function<void(int)> m_owner_changed;

    mutable std::mutex m_mutex; ///< guards the members below
    membership m_members;
    instant m_last_table_answer{};
    bool m_owns_any = false; ///< this node owns at least one partition
    std::map<int, owner_view> m_owners;
    std::map<int, instant> m_owner_probe_failures; ///< last failed probe of the owner, by partition
    std::map<int, head_view> m_heads;              ///< head rows of partitions whose owner may be dead
    std::vector<candidate_owner> m_candidates;
    instant m_candidates_at{};
    std::map<int, successor_entry> m_successors; ///< by partition, computed from `m_candidates`
    std::shared_ptr<const cell_layout> m_layout = std::make_shared<cell_layout>();
    std::int64_t m_layout_version = 0;
};

} // namespace medlarhub

#pragma once

#include "node/journal.h"

#include "medlarhub/config.h"
#include "medlarhub/config_guard.h"
#include "medlarhub/platform.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

struct config_options {
    std::string node;
    std::string peer_address;
    std::string data_centre;
    milliseconds stale_after{3000};
};

enum class propose_outcome {
    applied,
    refused,    ///< invalid against the present configuration, or in conflict with a newer revision
    unavailable ///< the table gave no answer; the change may have been recorded
};

struct propose_result {
    propose_outcome outcome = propose_outcome::unavailable;
    std::string reason;
    pb::config_change change; ///< the change with its assigned revision; revision 0 if none was assigned
};

/// This node's copy of the configuration. The table holds it as a chain of changes with consecutive
/// revisions, each written by an insert-if-absent; the chain is also the audit trail. A node learns of
/// changes by polling the table and by pushes from the node that recorded them.
class config_sync {
public:
    config_sync(table& rows, object_store& objects, shared_write_limiter& write_limiter,
                config_options options);

    [[nodiscard]] std::shared_ptr<const config_state> state() const;
    /// Returns whether the copy is recent enough for this node to act on it.
    [[nodiscard]] bool current(instant at) const;
    [[nodiscard]] bool is_loaded() const;
    /// Returns the time since the table last confirmed the copy.
    [[nodiscard]] milliseconds store_age(instant at) const;
    /// Returns whether the copy counts as current only with recent contact to a majority of the nodes,
    /// because the table has not confirmed it lately.
    [[nodiscard]] bool needs_majority(instant at) const;
    [[nodiscard]] std::size_t majority() const;

    /// Reads the chain to its end. Returns false and sets the reason when the table gave no answer or a row
    /// can't be read.
    bool poll();
    /// Reads the registered nodes, and registers this incarnation of this node when it isn't. Returns false
    /// when the table gave no answer.
    bool poll_registry(const std::string& incarnation);
    [[nodiscard]] std::vector<pb::member> registered() const;
    /// Removes the registration of a node.
    void unregister(const std::string& node);

    /// Records a change; blocks. `expected` has the meaning it has in `config_state::check`.
    [[nodiscard]] propose_result propose(pb::config_change change, const std::string& who,
                                         std::optional<std::int64_t> expected);

    /// Applies pushed changes that follow this node's revision without a gap. Returns the resulting revision.
    std::int64_t merge(const std::vector<pb::config_change>& changes);
    void peer_reported(instant at, const std::string& peer, std::int64_t revision, milliseconds store_age);
    /// Returns the changes after `revision`, or an empty optional when not all of them are in memory.
    [[nodiscard]] std::optional<std::vector<pb::config_change>> changes_after(std::int64_t revision) const;

    /// Reads up to `limit` recorded changes after revision `after` from the table, oldest first.
    [[nodiscard]] std::optional<std::vector<pb::config_change>> audit(std::int64_t after, int limit);

    /// Sets a callback for every change of the copy. It is called without the lock held.
    void on_change(std::function<void()> callback) { m_changed = std::move(callback); }

private:
    bool load_snapshot();
    bool apply(const std::vector<pb::config_change>& changes);
    std::optional<propose_result> record(pb::config_change& change);

    table& m_rows;
    object_store& m_objects;
    shared_write_limiter& m_write_limiter;
    config_options m_options;
    std::function<void()> m_changed;

    mutable std::mutex m_mutex;
    std::shared_ptr<const config_state> m_state;
    config_guard m_guard;
    std::deque<pb::config_change> m_recent_changes;
    std::vector<pb::member> m_registered;
    bool m_loaded = false;
};

} // namespace medlarhub

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
    refused,    ///< doesn't hold against the configuration as it is, a conflict among others
    unavailable ///< the table gave no answer; the change may have taken effect
};

struct propose_result {
    propose_outcome outcome = propose_outcome::unavailable;
    std::string reason;
    pb::config_change change; ///< as recorded
};

/// This node's copy of the configuration: a chain of changes in the table, each inserted where none is, which
/// is also the audit trail. Changes come by push from the node that recorded them and by polling.
class config_sync {
public:
    config_sync(table& rows, object_store& objects, shared_gate& gate, config_options options);

    [[nodiscard]] std::shared_ptr<const config_state> state() const;
    /// Whether this node may act on its copy.
    [[nodiscard]] bool current(instant at) const;
    [[nodiscard]] bool is_loaded() const;
    [[nodiscard]] milliseconds store_age(instant at) const;
    [[nodiscard]] bool needs_majority(instant at) const;
    [[nodiscard]] std::size_t majority() const;

    /// Reads the chain to its end. False, with the reason, when the table gave no answer.
    bool poll();
    /// Reads which nodes are registered, and registers this one when it isn't. False as above.
    bool poll_registry(const std::string& incarnation);
    [[nodiscard]] std::vector<pb::member> registered() const;
    /// Removes the registration of a node that is gone.
    void unregister(const std::string& node);

    /// Records a change; blocks. `expected` as in `config_state::check`.
    [[nodiscard]] propose_result propose(pb::config_change change, const std::string& who,
                                         std::optional<std::int64_t> expected);

    /// Applies pushed changes that follow this node's revision; the revision it is at after that.
    std::int64_t merge(const std::vector<pb::config_change>& changes);
    void peer_heard(instant at, const std::string& peer, std::int64_t revision, milliseconds store_age);
    /// The changes after `revision`, when this node still has them all in memory.
    [[nodiscard]] std::optional<std::vector<pb::config_change>> changes_after(std::int64_t revision) const;

    /// Recorded changes after `revision`, oldest first, from the table.
    [[nodiscard]] std::optional<std::vector<pb::config_change>> audit(std::int64_t after, int limit);

    /// Called after each change of the copy, without the lock.
    void on_change(std::function<void()> callback) { m_changed = std::move(callback); }

private:
    bool load_snapshot();
    bool apply(const std::vector<pb::config_change>& changes);
    std::optional<propose_result> record(pb::config_change& change);

    table& m_rows;
    object_store& m_objects;
    shared_gate& m_gate;
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

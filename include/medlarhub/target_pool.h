#pragma once

#include "medlarhub/fleet.h"
#include "medlarhub/time.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarhub {

struct target_pool_options {
    int eject_after = 5; ///< consecutive failures
    milliseconds first_probe{1000};
    milliseconds max_probe{30000};
    double max_ejected = 0.34; ///< fraction of the pool that may be ejected at a time
    int non_bulk_slots = 1;    ///< slots of each target that bulk work may not use
};

/// An owner's view of one target and the resources held there.
struct target_view {
    vm_info info;
    std::string incarnation; ///< changes when the target restarts and loses its tasks
    bool confirmed = false;  ///< its inventory was read in this owner's epoch
    bool drained = false;
    bool unresponsive = false; ///< its last polls got no response
    bool listed = true;        ///< still on the platform's VM list
    resources held;            ///< by this owner's tasks
    int slots_held = 0;
    resources orphaned; ///< held by running direct requests of an earlier owner
    int orphaned_slots = 0;
    std::int64_t observed_memory_mb = 0; ///< reported usage, which may be out of date
    int failures = 0;
    bool ejected = false;
    instant probe_at{};
    milliseconds probe_wait{};
    bool probing = false;
    instant last_contact{};

    [[nodiscard]] resources free() const;
    [[nodiscard]] int free_slots() const;
};

/// Requirements and preferences of a placement.
struct placement_need {
    resources need;
    bool bulk = false;     ///< may not use the slots reserved for non-bulk work
    bool pack = true;      ///< prefers the fullest target that fits; otherwise the emptiest
    bool may_probe = true; ///< may be sent to an ejected target as its probe
    std::function<int(const target_view&)> spread{}; ///< number of replicas in the target's rack
    std::function<bool(const target_view&)> allowed{};
};

/// The targets of one partition: tracks their capacity, selects among them and ejects failing ones.
class target_pool {
public:
    explicit target_pool(target_pool_options options);

    /// Updates the pool to the listed targets. A target that left the list stays until its tasks are
    /// released.
    void set_fleet(const std::vector<vm_info>& targets, const std::function<bool(const vm_info&)>& drained);

    [[nodiscard]] target_view* find(const std::string& id);
    [[nodiscard]] const target_view* find(const std::string& id) const;
    [[nodiscard]] const std::vector<target_view>& all() const { return m_targets; }

    /// Returns the best target with enough free capacity; empty when there is none.
    [[nodiscard]] std::optional<std::string> choose(instant at, const placement_need& wanted) const;
    /// Returns the better of two randomly chosen targets, which avoids a scan for each short request; scans
    /// all targets only when neither can take it.
    [[nodiscard]] std::optional<std::string> choose_for_direct(instant at, const resources& need,
                                                               std::mt19937_64& random) const;

    void hold(const std::string& id, const resources& need);
    void release(const std::string& id, const resources& need);

    void succeeded(const std::string& id);
    void failed(instant at, const std::string& id);
    void probe_started(const std::string& id);

    /// False when the need doesn't fit on any listed target even if the target is empty.
    [[nodiscard]] bool could_fit(const resources& need) const;
    /// Returns how many tasks with this need fit if all targets are empty, at most `limit`.
    [[nodiscard]] int could_fit_count(const resources& need, int limit) const;
    [[nodiscard]] resources capacity() const;
    [[nodiscard]] resources free() const;
    [[nodiscard]] int free_slots() const;
    [[nodiscard]] int slots() const;
    [[nodiscard]] bool usable(instant at, const target_view& target, bool may_probe) const;

private:
    [[nodiscard]] bool has_capacity(const target_view& target, const placement_need& wanted) const;

    target_pool_options m_options;
    std::vector<target_view> m_targets;
    std::unordered_map<std::string, std::size_t> m_index;
};

} // namespace medlarhub

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
    int eject_after = 5; ///< failures in a row
    milliseconds first_probe{1000};
    milliseconds max_probe{30000};
    double max_ejected = 0.34; ///< part of the pool that may be ejected at a time
    int non_bulk_slots = 1;    ///< slots of each target kept free of bulk work
};

/// What an owner knows and holds of one target.
struct target_view {
    vm_info info;
    std::string incarnation; ///< changes when the target restarts and forgets what it ran
    bool confirmed = false;  ///< its inventory was read under this owner's epoch
    bool drained = false;
    bool unresponsive = false; ///< its last polls got no answer
    bool listed = true;        ///< still on the platform's list
    resources held;            ///< by this owner's tasks
    int slots_held = 0;
    resources orphaned; ///< by tasks of an earlier owner that still run
    int orphaned_slots = 0;
    std::int64_t observed_memory_mb = 0; ///< reported usage, which lags
    int failures = 0;
    bool ejected = false;
    instant probe_at{};
    milliseconds probe_wait{};
    bool probing = false;
    instant last_contact{};

    [[nodiscard]] resources free() const;
    [[nodiscard]] int free_slots() const;
};

/// What a placement asks of a target.
struct placement_need {
    resources need;
    bool bulk = false;                               ///< leaves the slots kept for quick requests alone
    bool pack = true;                                ///< fullest target that fits, else the emptiest
    bool may_probe = true;                           ///< may be the one task sent to an ejected target
    std::function<int(const target_view&)> spread{}; ///< how many of its like a target's rack already has
    std::function<bool(const target_view&)> allowed{};
};

/// The targets of one partition: capacity, choice, and who is left out for failing.
class target_pool {
public:
    explicit target_pool(target_pool_options options);

    /// Brings the pool to the listed targets. One that left the list keeps what it holds until released.
    void set_fleet(const std::vector<vm_info>& targets, const std::function<bool(const vm_info&)>& drained);

    [[nodiscard]] target_view* find(const std::string& id);
    [[nodiscard]] const target_view* find(const std::string& id) const;
    [[nodiscard]] const std::vector<target_view>& all() const { return m_targets; }

    /// The best target that has room now; none when all lack it.
    [[nodiscard]] std::optional<std::string> choose(instant at, const placement_need& wanted) const;
    /// The better of two targets drawn at random, for requests too short to be worth a scan.
    [[nodiscard]] std::optional<std::string> choose_for_direct(instant at, const resources& need,
                                                               std::mt19937_64& random) const;

    void hold(const std::string& id, const resources& need);
    void release(const std::string& id, const resources& need);

    void succeeded(const std::string& id);
    void failed(instant at, const std::string& id);
    void probe_started(const std::string& id);

    /// False when no listed target could ever hold the need, however empty.
    [[nodiscard]] bool could_fit(const resources& need) const;
    /// How many tasks of this need could be held if all targets were empty, counted up to `most`.
    [[nodiscard]] int could_fit_count(const resources& need, int most) const;
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

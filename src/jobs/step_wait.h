#pragma once

#include "medlarhub/time.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace medlarhub {

/// Why a ready step still has tasks without a run after a scheduling pass.
enum class wait_cause {
    none,                 ///< all its tasks have a run
    job_not_recorded,     ///< its job isn't written to the table yet
    runs_unconfirmed,     ///< after a takeover: its tasks may run at targets that haven't answered yet
    run_ending,           ///< an earlier run is still being stopped
    retry_delay,          ///< it failed recently
    team_limit,           ///< its team's limit holds it back, or holds back earlier work
    no_usable_target,     ///< no usable target has its label and serves its queue
    advice,               ///< it waits for advice, or for a free relay to request it
    too_few_good_targets, ///< the known good targets couldn't hold the whole gang even if empty
    no_capacity,          ///< the targets that are good for it are full
    capacity_reserved,    ///< the free capacity is reserved for a gang
    not_reached,          ///< the pass ended before it
};

constexpr std::size_t wait_causes = static_cast<std::size_t>(wait_cause::not_reached) + 1;

std::string_view name_of(wait_cause cause);

/// How long a step waited, by cause.
class step_wait {
public:
    /// Sets the cause from `at` on, until the next call.
    void note(instant at, wait_cause cause);
    [[nodiscard]] milliseconds total(instant at) const;
    [[nodiscard]] wait_cause cause() const { return m_cause; }
    /// For the log, causes by descending time: "1250 ms: room 1000, its team's limit 250".
    [[nodiscard]] std::string describe(instant at) const;

private:
    [[nodiscard]] std::array<milliseconds, wait_causes> spent(instant at) const;

    wait_cause m_cause = wait_cause::none;
    instant m_since{};
    std::array<milliseconds, wait_causes> m_spent{};
};

/// The step that has waited longest, for the log.
struct longest_step_wait {
    std::string job;
    wait_cause cause = wait_cause::none; ///< now
    milliseconds time{0};                ///< over all causes
    std::string text;                    ///< time for each cause
};

} // namespace medlarhub

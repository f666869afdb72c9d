#pragma once

#include "medlarhub/time.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace medlarhub {

/// Why a step that is ready still had tasks without a run at the end of a pass.
enum class wait_cause {
    none,                 ///< all its tasks have a run
    job_not_recorded,     ///< its job isn't recorded yet
    runs_unconfirmed,     ///< after a takeover: its tasks may run at targets that weren't heard yet
    run_ending,           ///< an earlier run of it is on its way out
    retry_delay,          ///< it failed just now
    team_limit,           ///< its team's limit, by itself or for work whose turn is before
    no_usable_target,     ///< no usable target has its label and serves its queue
    advice,               ///< it waits for an answer, or for its turn to ask
    too_few_good_targets, ///< the targets known to be good couldn't hold the whole gang even if they were
                          ///< empty
    no_capacity,          ///< no room at the targets that are good for it
    capacity_reserved,    ///< the room that there is is held back for a gang
    not_reached,          ///< the pass ended before it
};

constexpr std::size_t wait_causes = static_cast<std::size_t>(wait_cause::not_reached) + 1;

std::string_view name_of(wait_cause cause);

/// How long a step waited, by cause.
class step_wait {
public:
    /// Tells the cause as of now; it counts until another one is told.
    void note(instant at, wait_cause cause);
    [[nodiscard]] milliseconds total(instant at) const;
    [[nodiscard]] wait_cause cause() const { return m_cause; }
    /// For the log, the longest cause first: "1250 ms: room 1000, its team's limit 250".
    [[nodiscard]] std::string describe(instant at) const;

private:
    [[nodiscard]] std::array<milliseconds, wait_causes> spent(instant at) const;

    wait_cause m_cause = wait_cause::none;
    instant m_since{};
    std::array<milliseconds, wait_causes> m_spent{};
};

/// A step that waits, for the log.
struct longest_step_wait {
    std::string job;
    wait_cause cause = wait_cause::none; ///< now
    milliseconds time{0};                ///< for all its causes
    std::string text;                    ///< how long for each
};

} // namespace medlarhub

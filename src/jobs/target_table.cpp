#include "jobs/target_table.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace medlarhub {

namespace {

/// How much slower than this node's clock a target's clock may run, as a fraction.
constexpr double clock_drift = 0.02;
constexpr milliseconds clock_margin{100};
/// A start that was sent less than this ago is taken for one whose run hasn't ended.
constexpr milliseconds shortest_run{200};
constexpr milliseconds max_withheld_acks{1000};
/// Low bits of a fence that hold the owner's epoch; the higher bits hold the number of transfers.
constexpr int epoch_bits = 24;

} // namespace

std::string describe_evidence(instant at, const live_run& run) {
    const auto age = [&](instant then) { return std::to_string((at - then).count()) + " ms ago"; };
    if (run.listed_at != instant{})
        return "listed " + age(run.listed_at);
    if (run.confirmed_at != instant{})
        return "its start was answered " + age(run.confirmed_at) + ", it wasn't listed";
    return run.start_sent ? "its start has no answer" : "its start wasn't sent";
}

std::string describe_restart(instant at, const target_state& target, std::int64_t born_ms) {
    return "born " + std::to_string(born_ms) + " after " + std::to_string(target.listed_born_ms) +
           ", lists of " + std::to_string((at - target.last_answer).count()) + " ms ago, " +
           std::to_string(target.runs.size()) + " runs, " + std::to_string(target.commands_out) +
           " commands without an answer, " +
           (target.last_grant == instant{}
                ? std::string{"no deadline sent"}
                : "the last deadline sent " + std::to_string((at - target.last_grant).count()) + " ms ago");
}

std::uint64_t target_state::fence(std::uint64_t first_epoch) const {
    return (entry.transfers << epoch_bits) | (first_epoch + fence_raised);
}

resources target_state::free() const {
    auto left = entry.capacity;
    left -= held;
    for (const auto& orphan : orphans)
        left -= orphan.held;
    return left;
}

bool target_state::has_run_of_unknown_need() const {
    return std::ranges::any_of(orphans, [](const orphaned_run& orphan) { return !orphan.need_known; });
}

std::int64_t target_state::target_clock_ms(instant at) const {
    return clock_ms + (at - clock_read).count();
}

std::optional<clock_range> target_state::clock_between(instant from, instant to) const {
    if (incarnation == 0 || clock_asked == instant{})
        return {};
    const auto passed = static_cast<double>((from - clock_read).count());
    const auto least = static_cast<double>(clock_ms) + passed - std::abs(passed) * clock_drift;
    return clock_range{static_cast<std::int64_t>(least) - clock_margin.count(),
                       clock_ms + (to - clock_asked + clock_margin).count()};
}

bool target_state::is_clock_of_listed(instant sent, instant answered, std::int64_t clock) const {
    const auto range = clock_between(sent, answered);
    // A later incarnation whose clock starts at 0 started after these lists were made.
    return range && clock >= range->least && clock <= range->most &&
           clock > (answered - clock_asked + clock_margin).count();
}

bool target_state::is_clock_of_other(instant sent, instant answered, std::int64_t clock,
                                     milliseconds tolerance) const {
    const auto range = clock_between(sent, answered);
    return range && (clock < range->least - tolerance.count() || clock > range->most + tolerance.count());
}

bool target_state::is_of_later_incarnation(instant sent, const poll_result& result) const {
    if (result.born_ms == 0 || listed_born_ms == 0 || result.born_ms == listed_born_ms)
        return false;
    return result.born_ms > listed_born_ms || sent >= clock_read;
}

bool target_state::may_acknowledge(instant at) const {
    const bool overdue = acks_withheld_since != instant{} && at - acks_withheld_since >= max_withheld_acks;
    return !may_have_restarted() && std::ranges::none_of(runs, [&](const auto& each) {
        const auto& run = each.second;
        const bool may_have_ended = run.start_in_flight && at - run.start_sent_at > shortest_run;
        return run.incarnation == 0 && (run.unlocated_since != instant{} || (may_have_ended && !overdue));
    });
}

instant target_state::lease_expiry() const {
    const auto granted_until = clock_read + lasts_at_most(milliseconds{granted_ms - clock_ms});
    return refuses_outdated ? granted_until : std::max(granted_until, outdated_leases_end);
}

instant target_state::longest_lease_expiry(milliseconds longest_lease) const {
    return std::max(lease_expiry(), last_grant + max_outdated_delay + lasts_at_most(longest_lease));
}

milliseconds lasts_at_most(milliseconds lease) {
    const auto longest = static_cast<double>(lease.count()) / (1 - clock_drift);
    return milliseconds{static_cast<std::int64_t>(longest)} + clock_margin;
}

bool has_room(const resources& need, const resources& free) {
    const auto fits = [](std::int64_t wanted, std::int64_t left) { return wanted <= 0 || wanted <= left; };
    return fits(need.cpu_milli, free.cpu_milli) && fits(need.memory_mb, free.memory_mb) &&
           fits(need.accelerators, free.accelerators);
}

std::int64_t fits_in(const resources& need, const resources& free) {
    auto fits = std::numeric_limits<std::int64_t>::max();
    const auto limit = [&](std::int64_t wanted, std::int64_t left) {
        if (wanted > 0)
            fits = std::min(fits, std::max<std::int64_t>(left, 0) / wanted);
    };
    limit(need.cpu_milli, free.cpu_milli);
    limit(need.memory_mb, free.memory_mb);
    limit(need.accelerators, free.accelerators);
    return fits;
}

} // namespace medlarhub

#include "drain.h"

#include "log.h"

#include <algorithm>
#include <string>
#include <thread>

namespace medlarhub {

namespace {

/// Load balancers notice only after several failed checks.
constexpr milliseconds longest_serve{3500};
constexpr milliseconds poll_interval{20};
/// A request that was read a moment ago may not be counted yet, and an answer to a peer not be on its way.
constexpr milliseconds idle_before_end{100};
/// Of the grace, what is left for writing answers out and for the exit itself.
constexpr int answer_part = 6;
constexpr int exit_part = 20;

const char* name_of(drain_step step) {
    switch (step) {
    case drain_step::serve:
        return "serve";
    case drain_step::refuse:
        return "refuse";
    case drain_step::give_up:
        return "give_up";
    default:
        return "end";
    }
}

} // namespace

drain_times drain_times_for(milliseconds grace) {
    return {std::min(longest_serve, grace / 2 + grace / 8), grace - grace / answer_part,
            grace - grace / exit_part};
}

drain_step drain::next(instant at, int in_hand) {
    const auto passed = at - m_begun;
    if (passed >= m_times.end)
        return drain_step::end;
    if (passed < m_times.refuse)
        return drain_step::serve;
    if (in_hand > 0)
        m_idle_since = {};
    else if (m_idle_since == instant{})
        m_idle_since = at;
    if (m_idle_since != instant{} && at - m_idle_since >= idle_before_end)
        return drain_step::end;
    return passed >= m_times.give_up ? drain_step::give_up : drain_step::refuse;
}

void run_drain(drain_times times, const drain_actions& actions) {
    const auto begun = now();
    drain plan{begun, times};
    auto step = drain_step::serve;
    while (step != drain_step::end) {
        const int in_hand = actions.in_hand();
        const auto next = plan.next(now(), in_hand);
        if (next != step) {
            log_event(log_level::info, "draining",
                      {{"step", name_of(next)},
                       {"in_hand", std::to_string(in_hand)},
                       {"ms", std::to_string((now() - begun).count())}});
            if (next == drain_step::refuse || (next == drain_step::give_up && step == drain_step::serve))
                actions.refuse();
            if (next == drain_step::give_up)
                actions.give_up();
        }
        step = next;
        if (step != drain_step::end)
            std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace medlarhub

#pragma once

#include "medlarhub/time.h"

#include <functional>

namespace medlarhub {

/// What a process that was told to stop does with requests.
enum class drain_step {
    serve,   ///< as before: the load balancer may still send some
    refuse,  ///< new ones are refused at once; those in hand go on
    give_up, ///< those in hand are answered with what is known of them
    end      ///< the process may exit
};

/// When each step begins, counted from the signal.
struct drain_times {
    milliseconds refuse{0};
    milliseconds give_up{0};
    milliseconds end{0}; ///< whatever is in hand

    friend bool operator==(const drain_times&, const drain_times&) = default;
};

/// Returns the times of a process that is killed `grace` after the signal.
drain_times drain_times_for(milliseconds grace);

/// Decides when a process that was told to stop may exit: once it has refused new requests for a moment and
/// has nothing in hand. A request is in hand from when it was read whole until its answer is written out.
class drain {
public:
    drain(instant begun, drain_times times) : m_begun{begun}, m_times{times} {}

    [[nodiscard]] drain_step next(instant at, int in_hand);

private:
    instant m_begun;
    drain_times m_times;
    instant m_idle_since{}; ///< unset while something is in hand or new requests aren't refused
};

struct drain_actions {
    std::function<int()> in_hand;
    std::function<void()> refuse;  ///< from now on, refuse new requests
    std::function<void()> give_up; ///< answer the requests in hand
};

/// Drains the process; returns when it may exit.
void run_drain(drain_times times, const drain_actions& actions);

} // namespace medlarhub

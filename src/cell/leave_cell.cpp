#include "cell/leave_cell.h"

#include "drain.h"

namespace medlarhub {

void leave_cell(cell_node& node, const http_server& callers, milliseconds grace,
                const std::function<void()>& refuse) {
    const auto begun = now();
    const auto times = drain_times_for(grace);
    node.leave();
    run_drain(times, {[&] { return callers.in_hand() + node.peer_calls_in_hand(); }, refuse,
                      [&] { node.give_up_calls(); }});
    node.release_partitions(times.end - (now() - begun));
}

} // namespace medlarhub

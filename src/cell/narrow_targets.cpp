#include "cell/narrow_targets.h"

#include <deque>
#include <map>
#include <mutex>
#include <utility>

namespace medlarhub {

class narrow_targets::impl : public std::enable_shared_from_this<impl> {
public:
    struct waiting_order {
        start_stop_command order;
        milliseconds timeout{0};
        std::function<void(command_outcome)> done;
    };

    explicit impl(target_port& to) : m_to{to} {}

    void add(waiting_order next) {
        {
            const std::lock_guard lock{m_mutex};
            auto& lane = m_lanes[next.order.target];
            if (lane.under_way >= orders_at_a_time) {
                lane.waiting.push_back(std::move(next));
                return;
            }
            ++lane.under_way;
        }
        send(std::move(next));
    }

    target_port& m_to;

private:
    struct target_lane {
        int under_way = 0;
        std::deque<waiting_order> waiting;
    };

    void send(waiting_order next) {
        m_to.send(next.order, next.timeout,
                  [self = shared_from_this(), target = next.order.target,
                   done = std::move(next.done)](command_outcome outcome) {
                      self->send_next(target);
                      done(outcome);
                  });
    }

    void send_next(const std::string& target) {
        std::optional<waiting_order> next;
        {
            const std::lock_guard lock{m_mutex};
            auto& lane = m_lanes.at(target);
            if (lane.waiting.empty()) {
                if (--lane.under_way == 0)
                    m_lanes.erase(target);
                return;
            }
            next = std::move(lane.waiting.front());
            lane.waiting.pop_front();
        }
        send(std::move(*next));
    }

    std::mutex m_mutex;
    std::map<std::string, target_lane> m_lanes; ///< by target, while orders are under way
};

narrow_targets::narrow_targets(target_port& to) : m_impl{std::make_shared<impl>(to)} {}

void narrow_targets::send(const start_stop_command& order, milliseconds timeout,
                          std::function<void(command_outcome)> done) {
    m_impl->add({order, timeout, std::move(done)});
}

void narrow_targets::poll(const target_poll_command& order, milliseconds timeout,
                          std::function<void(poll_result)> done) {
    m_impl->m_to.poll(order, timeout, std::move(done));
}

} // namespace medlarhub

#include "cell/target_command_limiter.h"

#include <deque>
#include <map>
#include <mutex>
#include <utility>

namespace medlarhub {

class target_command_limiter::impl : public std::enable_shared_from_this<impl> {
public:
    struct waiting_command {
        start_stop_command command;
        milliseconds timeout{0};
        std::function<void(command_reply)> done;
    };

    explicit impl(target_port& to) : m_to{to} {}

    void add(waiting_command next) {
        {
            const std::lock_guard lock{m_mutex};
            auto& lane = m_lanes[next.command.target];
            if (lane.in_flight >= max_commands_per_target) {
                lane.waiting.push_back(std::move(next));
                return;
            }
            ++lane.in_flight;
        }
        send(std::move(next));
    }

    target_port& m_to;

private:
    struct target_lane {
        int in_flight = 0;
        std::deque<waiting_command> waiting;
    };

    void send(waiting_command next) {
        m_to.send(next.command, next.timeout,
                  [self = shared_from_this(), target = next.command.target,
                   done = std::move(next.done)](const command_reply& reply) {
                      self->send_next(target);
                      done(reply);
                  });
    }

    void send_next(const std::string& target) {
        std::optional<waiting_command> next;
        {
            const std::lock_guard lock{m_mutex};
            auto& lane = m_lanes.at(target);
            if (lane.waiting.empty()) {
                if (--lane.in_flight == 0)
                    m_lanes.erase(target);
                return;
            }
            next = std::move(lane.waiting.front());
            lane.waiting.pop_front();
        }
        send(std::move(*next));
    }

    std::mutex m_mutex;
    std::map<std::string, target_lane> m_lanes; ///< by target, while commands are in flight
};

target_command_limiter::target_command_limiter(target_port& to) : m_impl{std::make_shared<impl>(to)} {}

void target_command_limiter::send(const start_stop_command& command, milliseconds timeout,
                                  std::function<void(command_reply)> done) {
    m_impl->add({command, timeout, std::move(done)});
}

void target_command_limiter::poll(const target_poll_command& command, milliseconds timeout,
                                  std::function<void(poll_result)> done) {
    m_impl->m_to.poll(command, timeout, std::move(done));
}

} // namespace medlarhub

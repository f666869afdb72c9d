#include "cell/target_command_limiter.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace medlarhub {

class target_command_limiter::impl : public std::enable_shared_from_this<impl> {
public:
    struct queued_command {
        start_stop_command command;
        milliseconds timeout{0};
        std::function<void(command_reply)> done;
        milliseconds since{0}; ///< when it was queued, by the limiter's clock
    };

    impl(target_port& to, std::function<milliseconds()> clock) : m_to{to}, m_clock{std::move(clock)} {}

    void add(queued_command next) {
        const auto at = m_clock();
        next.since = at;
        if (has_expired(next, at)) // on its way here
            return next.done({command_outcome::expired, {}, {}});
        std::vector<unsent_command> unsent;
        std::optional<queued_command> sendable;
        {
            const std::lock_guard lock{m_mutex};
            auto& lane = m_lanes[next.command.target];
            const bool stop = next.command.kind == command_kind::stop;
            if (stop)
                take_starts(lane, next.command.task, next.command.run, unsent);
            if (lane.in_flight < max_commands_per_target) {
                ++lane.in_flight;
                sendable = std::move(next);
            } else {
                (stop ? lane.stops : lane.starts).push_back(std::move(next));
            }
        }
        answer(unsent, at);
        if (sendable)
            send(std::move(*sendable), at);
    }

    void tick() {
        const auto at = m_clock();
        std::vector<unsent_command> unsent;
        {
            const std::lock_guard lock{m_mutex};
            for (auto& [target, lane] : m_lanes)
                take_expired(lane, at, unsent);
        }
        answer(unsent, at);
    }

    void withdraw(const start_id& start) {
        std::vector<unsent_command> unsent;
        {
            const std::lock_guard lock{m_mutex};
            const auto found = m_lanes.find(start.target);
            if (found != m_lanes.end())
                take_starts(found->second, start.task, start.run, unsent);
        }
        answer(unsent, m_clock());
    }

    target_port& m_to;

private:
    /// Commands to one target. Commands are queued only while as many as allowed are in flight.
    struct target_lane {
        int in_flight = 0;
        std::deque<queued_command> stops; ///< they go first
        std::deque<queued_command> starts;
    };

    struct unsent_command {
        queued_command queued;
        command_outcome outcome = command_outcome::expired;
    };

    static bool has_expired(const queued_command& queued, milliseconds at) {
        return at - queued.since >= queued.command.queue_time;
    }

    /// Moves the commands for which `wanted` holds out of the queue.
    template <typename Wanted>
    static void take_if(std::deque<queued_command>& queue, command_outcome outcome,
                        std::vector<unsent_command>& to, Wanted wanted) {
        std::deque<queued_command> kept;
        for (auto& each : queue) {
            if (wanted(each))
                to.push_back({std::move(each), outcome});
            else
                kept.push_back(std::move(each));
        }
        queue = std::move(kept);
    }

    /// Takes back the queued starts of the task's runs up to `run`.
    static void take_starts(target_lane& lane, const task_name& task, int run,
                            std::vector<unsent_command>& to) {
        take_if(lane.starts, command_outcome::withdrawn, to, [&](const queued_command& each) {
            return each.command.task == task && each.command.run <= run;
        });
    }

    static void take_expired(target_lane& lane, milliseconds at, std::vector<unsent_command>& to) {
        const auto expired = [at](const queued_command& each) { return has_expired(each, at); };
        take_if(lane.stops, command_outcome::expired, to, expired);
        take_if(lane.starts, command_outcome::expired, to, expired);
    }

    static void answer(const std::vector<unsent_command>& unsent, milliseconds at) {
        for (const auto& each : unsent)
            each.queued.done({each.outcome, {}, at - each.queued.since});
    }

    void send(queued_command next, milliseconds at) {
        m_to.send(next.command, next.timeout,
                  [self = shared_from_this(), target = next.command.target, done = std::move(next.done),
                   queued = at - next.since](command_reply reply) {
                      self->send_next(target);
                      reply.queued += queued;
                      done(reply);
                  });
    }

    /// A command is no longer in flight: sends the next one.
    void send_next(const std::string& target) {
        const auto at = m_clock();
        std::vector<unsent_command> unsent;
        std::optional<queued_command> next;
        {
            const std::lock_guard lock{m_mutex};
            auto& lane = m_lanes.at(target);
            take_expired(lane, at, unsent);
            auto& queue = lane.stops.empty() ? lane.starts : lane.stops;
            if (!queue.empty()) {
                next = std::move(queue.front());
                queue.pop_front();
            } else if (--lane.in_flight == 0) {
                m_lanes.erase(target);
            }
        }
        answer(unsent, at);
        if (next)
            send(std::move(*next), at);
    }

    std::function<milliseconds()> m_clock;
    std::mutex m_mutex;
    std::map<std::string, target_lane> m_lanes; ///< by target, while commands are in flight
};

target_command_limiter::target_command_limiter(target_port& to, std::function<milliseconds()> clock)
    : m_impl{std::make_shared<impl>(to, std::move(clock))} {}

void target_command_limiter::tick() {
    m_impl->tick();
}

void target_command_limiter::send(const start_stop_command& command, milliseconds timeout,
                                  std::function<void(command_reply)> done) {
    m_impl->add({command, timeout, std::move(done)});
}

void target_command_limiter::poll(const target_poll_command& command, milliseconds timeout,
                                  std::function<void(poll_result)> done) {
    m_impl->m_to.poll(command, timeout, std::move(done));
}

void target_command_limiter::withdraw(const start_id& start) {
    m_impl->withdraw(start);
}

} // namespace medlarhub

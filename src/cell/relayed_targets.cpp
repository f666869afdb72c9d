#include "cell/relayed_targets.h"

#include "cell/clocks.h"
#include "cell/command_relay.h"
#include "cell/command_wire.h"
#include "log.h"

#include "medlarhub/hash.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>
#include <utility>

namespace medlarhub {

namespace {

/// A relay counts as failed if it doesn't respond within `relay_hold` plus this margin.
constexpr milliseconds relay_timeout_margin{600};
/// A relay that failed isn't used for this long.
constexpr milliseconds relay_exclusion_period{2000};
/// A command without a result this long after its timeout has an unknown outcome.
constexpr milliseconds result_timeout_margin{1000};
/// Estimated CPU of a relay that one target needs.
constexpr std::int64_t cpu_milli_per_target = 8;
constexpr std::size_t min_relays = 2;

} // namespace

class relayed_targets::impl : public std::enable_shared_from_this<impl> {
public:
    /// Receives the result, or null if there was no response.
    using result_callback = std::function<void(const pb::command_result*)>;

    struct open_command {
        pb::target_command command;
        std::optional<start_id> run; ///< that it starts or stops
        result_callback done;
        std::function<void()> send_direct; ///< sends it without a relay
        std::function<void()> send_again;  ///< the same, of a poll that the relay may have carried out
        instant expires{};                 ///< from then on its outcome is unknown
        milliseconds added{0};             ///< since boot

        [[nodiscard]] bool is_start() const { return command.what() == pb::target_command::start; }
        /// How much longer a start or a stop may wait to be sent.
        [[nodiscard]] milliseconds queue_time_left(milliseconds at) const {
            return milliseconds{command.queue_ms()} - (at - added);
        }
    };

    impl(std::string name, target_port& direct, sender send, std::function<milliseconds()> clock)
        : m_direct{direct}, m_name{std::move(name)}, m_send{std::move(send)}, m_clock{std::move(clock)} {}

    void set_relays(const std::vector<relay_node>& nodes) {
        const std::lock_guard lock{m_mutex};
        if (nodes == m_given_nodes)
            return;
        m_given_nodes = m_nodes = nodes;
        // The sort order differs between owners, so that they use different relays.
        std::ranges::sort(m_nodes, {}, [&](const relay_node& node) { return stable_hash(m_name + node.id); });
        choose_relays();
        std::set<std::string> live;
        for (const auto& node : nodes) {
            live.insert(node.id);
            auto& lane = m_lanes[node.id];
            lane.address = node.address;
            if (lane.session == 0)
                lane.session = ++m_last_session;
        }
        std::erase_if(m_lanes, [&](const auto& each) {
            return !live.contains(each.first) && each.second.open.empty() && each.second.calls_out == 0;
        });
    }

    void set_targets(const std::vector<target_entry>& targets) {
        const std::lock_guard lock{m_mutex};
        std::map<std::string, std::string> data_centres;
        for (const auto& target : targets)
            data_centres[target.id] = target.data_centre;
        if (data_centres == m_data_centres)
            return;
        m_data_centres = std::move(data_centres);
        choose_relays();
    }

    void add(open_command open) {
        const auto send_direct = open.send_direct;
        if (!relayed(std::move(open)))
            send_direct();
    }

    void tick(instant at) {
        std::vector<outgoing> calls;
        std::vector<open_command> expired;
        std::vector<open_command> lost;
        {
            const std::lock_guard lock{m_mutex};
            for (auto& [relay, lane] : m_lanes) {
                take_expired(lane, expired);
                std::vector<std::uint64_t> overdue;
                for (const auto& [number, open] : lane.open) {
                    if (at >= open.expires)
                        overdue.push_back(number);
                }
                for (const auto number : overdue) {
                    std::erase(lane.unsent, number);
                    lost.push_back(close(lane, number));
                }
                if (!lane.unsent.empty() || !lane.withdrawals.empty())
                    calls.push_back(next_call(at, relay, lane));
            }
        }
        send_all(calls);
        answer_unsent(expired, command_outcome::expired);
        for (const auto& each : lost)
            each.done(nullptr);
    }

    /// Withdraws a start where it waits: here, at the relay that has it, or among those that are sent
    /// directly.
    void withdraw(const start_id& start) {
        std::vector<open_command> withdrawn;
        bool relayed = false;
        {
            const std::lock_guard lock{m_mutex};
            const auto found = m_open_starts.find(start);
            relayed = found != m_open_starts.end();
            if (relayed) {
                const auto place = found->second;
                auto& lane = m_lanes.at(place.relay);
                if (std::erase(lane.unsent, place.number) > 0)
                    withdrawn.push_back(close(lane, place.number));
                else
                    lane.withdrawals.push_back(start);
            }
        }
        if (!relayed)
            m_direct.withdraw(start);
        answer_unsent(withdrawn, command_outcome::withdrawn);
    }

    [[nodiscard]] milliseconds boot() const { return m_clock(); }

    target_port& m_direct;

private:
    /// Commands and calls in flight through one relay.
    struct relay_lane {
        std::string address;
        std::uint64_t session = 0; ///< replaced after each failure and never reused
        std::map<std::uint64_t, open_command> open;
        std::vector<std::uint64_t> unsent;
        std::vector<start_id> withdrawals; ///< to be sent to the relay
        int calls_out = 0;
        instant sent{};
        instant excluded_until{};
    };

    /// Where a command is open.
    struct open_place {
        std::string relay;
        std::uint64_t number = 0;
    };

    struct outgoing {
        std::string relay;
        std::uint64_t session = 0;
        std::string address;
        pb::relay_call call;
        std::vector<std::uint64_t> numbers;
    };

    /// Chooses enough nodes of each data centre for the number of its targets.
    void choose_relays() {
        std::map<std::string, std::int64_t> missing;
        for (const auto& [target, data_centre] : m_data_centres)
            missing[data_centre] += cpu_milli_per_target;
        m_relays.clear();
        for (const auto& node : m_nodes) {
            const auto wanted = missing.find(node.data_centre);
            auto& chosen = m_relays[node.data_centre];
            if (wanted == missing.end() || (wanted->second <= 0 && chosen.size() >= min_relays))
                continue;
            wanted->second -= std::max(node.cpu_milli, cpu_milli_per_target);
            chosen.push_back(node.id);
        }
        m_relay_of.clear();
    }

    /// Returns the relay for a target; empty if commands to it must be sent directly.
    std::string relay_of(instant at, const std::string& target) {
        if (const auto known = m_relay_of.find(target);
            known != m_relay_of.end() && at >= m_lanes.at(known->second).excluded_until)
            return known->second;
        const auto place = m_data_centres.find(target);
        if (place == m_data_centres.end())
            return {};
        const auto there = m_relays.find(place->second);
        if (there == m_relays.end())
            return {};
        auto relays = there->second;
        std::erase_if(relays, [&](const std::string& id) { return at < m_lanes.at(id).excluded_until; });
        auto relay = rendezvous(relays, target);
        if (!relay.empty() && relays.size() == there->second.size())
            m_relay_of[target] = relay;
        return relay;
    }

    /// Returns the relay for a command: for a stop the one that has the start, so that neither overtakes the
    /// other.
    std::string relay_of(instant at, const open_command& open) {
        if (open.run && !open.is_start()) {
            const auto start = m_open_starts.find(*open.run);
            if (start != m_open_starts.end() && at >= m_lanes.at(start->second.relay).excluded_until)
                return start->second.relay;
        }
        return relay_of(at, open.command.target());
    }

    /// Removes a command from the open ones.
    open_command close(relay_lane& lane, std::uint64_t number) {
        auto closed = std::move(lane.open.extract(number).mapped());
        if (closed.is_start())
            m_open_starts.erase(*closed.run);
        return closed;
    }

    /// Removes the commands that still wait here after the time that they may wait to be sent.
    void take_expired(relay_lane& lane, std::vector<open_command>& to) {
        const auto at = boot();
        std::erase_if(lane.unsent, [&](std::uint64_t number) {
            const auto& open = lane.open.at(number);
            const bool expired = open.run && open.queue_time_left(at) <= milliseconds{0};
            if (expired)
                to.push_back(close(lane, number));
            return expired;
        });
    }

    void answer_unsent(const std::vector<open_command>& unsent, command_outcome outcome) const {
        for (const auto& each : unsent) {
            const auto result = to_wire(command_reply{outcome, {}, boot() - each.added});
            each.done(&result);
        }
    }

    /// Sends the command through a relay; returns false if there is none for its target.
    bool relayed(open_command open) {
        const auto at = now();
        std::vector<outgoing> calls;
        {
            const std::lock_guard lock{m_mutex};
            const auto relay = relay_of(at, open);
            if (relay.empty())
                return false;
            auto& lane = m_lanes.at(relay);
            open.command.set_number(++m_last_number);
            open.added = boot();
            open.expires = at + milliseconds{open.command.timeout_ms()} +
                           milliseconds{open.command.queue_ms()} + result_timeout_margin;
            if (open.is_start())
                m_open_starts[*open.run] = {relay, m_last_number};
            lane.unsent.push_back(m_last_number);
            lane.open.emplace(m_last_number, std::move(open));
            if (at - lane.sent >= relay_spacing)
                calls.push_back(next_call(at, relay, lane));
        }
        send_all(calls);
        return true;
    }

    outgoing next_call(instant at, const std::string& relay, relay_lane& to) {
        outgoing next{relay, to.session, to.address, {}, std::exchange(to.unsent, {})};
        next.call.set_session(m_name + "/" + relay + "/" + std::to_string(to.session));
        for (const auto number : next.numbers) {
            const auto& open = to.open.at(number);
            auto& command = *next.call.add_commands();
            command = open.command;
            if (open.run)
                command.set_queue_ms(std::max(open.queue_time_left(boot()), milliseconds{0}).count());
        }
        for (const auto& start : std::exchange(to.withdrawals, {}))
            *next.call.add_withdrawals() = to_wire(start);
        ++to.calls_out;
        to.sent = at;
        return next;
    }

    void send_all(const std::vector<outgoing>& calls) {
        for (const auto& each : calls) {
            m_send(each.address, each.call, relay_hold + relay_timeout_margin,
                   [self = shared_from_this(), relay = each.relay, session = each.session,
                    numbers = each.numbers](peer_delivery delivery, const pb::relay_answer& answer) {
                       if (delivery == peer_delivery::answered)
                           self->answered(relay, session, answer);
                       else
                           self->failed(relay, session, numbers, delivery);
                   });
        }
    }

    void answered(const std::string& relay, std::uint64_t session, const pb::relay_answer& answer) {
        std::vector<std::pair<result_callback, const pb::command_result*>> finished;
        {
            const std::lock_guard lock{m_mutex};
            const auto known = m_lanes.find(relay);
            if (known == m_lanes.end() || known->second.session != session)
                return;
            auto& lane = known->second;
            --lane.calls_out;
            for (const auto& result : answer.results()) {
                if (lane.open.contains(result.number()))
                    finished.emplace_back(close(lane, result.number()).done, &result);
            }
        }
        for (const auto& [done, result] : finished)
            done(result);
        request_results(relay, session);
    }

    /// Keeps one call pending at the relay while commands await results (long polling).
    void request_results(const std::string& relay, std::uint64_t session) {
        std::vector<outgoing> calls;
        {
            const std::lock_guard lock{m_mutex};
            const auto known = m_lanes.find(relay);
            if (known == m_lanes.end())
                return;
            auto& lane = known->second;
            if (lane.session == session && lane.calls_out == 0 && !lane.open.empty())
                calls.push_back(next_call(now(), relay, lane));
        }
        send_all(calls);
    }

    void failed(const std::string& relay, std::uint64_t session, const std::vector<std::uint64_t>& numbers,
                peer_delivery delivery) {
        std::vector<open_command> lost;
        std::vector<open_command> unsent;
        std::vector<open_command> repeated;
        {
            const std::lock_guard lock{m_mutex};
            const auto known = m_lanes.find(relay);
            if (known == m_lanes.end() || known->second.session != session)
                return;
            auto& lane = known->second;
            auto surely_unsent = std::exchange(lane.unsent, {});
            if (delivery == peer_delivery::not_sent)
                surely_unsent.insert(surely_unsent.end(), numbers.begin(), numbers.end());
            for (const auto number : surely_unsent) {
                if (lane.open.contains(number))
                    unsent.push_back(close(lane, number));
            }
            // Polls are sent again directly instead of waiting for a timeout.
            while (!lane.open.empty()) {
                auto open = close(lane, lane.open.begin()->first);
                (open.run ? lost : repeated).push_back(std::move(open));
            }
            lane.withdrawals.clear();
            lane.session = ++m_last_session;
            lane.calls_out = 0;
            lane.excluded_until = now() + relay_exclusion_period;
        }
        log_event(log_level::warning, "relay_failed",
                  {{"relay", relay},
                   {"lost", std::to_string(lost.size())},
                   {"sent_straight", std::to_string(unsent.size() + repeated.size())}});
        for (const auto& each : unsent)
            each.send_direct();
        for (const auto& each : repeated)
            each.send_again();
        for (const auto& each : lost)
            each.done(nullptr);
    }

    std::string m_name;
    sender m_send;
    std::function<milliseconds()> m_clock; ///< time since boot
    std::mutex m_mutex;                    ///< guards the members below
    std::vector<relay_node> m_given_nodes;
    std::vector<relay_node> m_nodes;                          ///< the same, in order of preference
    std::map<std::string, std::vector<std::string>> m_relays; ///< by data centre
    std::unordered_map<std::string, std::string> m_relay_of;  ///< by target; valid while no relay is excluded
    std::map<std::string, std::string> m_data_centres;        ///< of targets
    std::map<std::string, relay_lane> m_lanes;                ///< by relay
    std::map<start_id, open_place> m_open_starts;             ///< those that are open in a lane
    std::uint64_t m_last_number = 0;
    std::uint64_t m_last_session = 0;
};

relayed_targets::relayed_targets(std::string name, target_port& direct, sender send,
                                 std::function<milliseconds()> clock)
    : m_impl{std::make_shared<impl>(std::move(name), direct, std::move(send), std::move(clock))} {}

void relayed_targets::set_relays(const std::vector<relay_node>& nodes) {
    m_impl->set_relays(nodes);
}
void relayed_targets::set_targets(const std::vector<target_entry>& targets) {
    m_impl->set_targets(targets);
}
void relayed_targets::tick(instant at) {
    m_impl->tick(at);
}

void relayed_targets::send(const start_stop_command& command, milliseconds timeout,
                           std::function<void(command_reply)> done) {
    impl::open_command open;
    open.command = to_wire(command, timeout);
    open.run = start_of(command);
    open.done = [done](const pb::command_result* result) {
        done(result != nullptr ? reply_from_wire(*result) : command_reply{});
    };
    open.send_direct = [to = m_impl.get(), command, timeout, done, since = m_impl->boot()] {
        auto late = command;
        late.queue_time -= to->boot() - since;
        to->m_direct.send(late, timeout, done);
    };
    m_impl->add(std::move(open));
}

void relayed_targets::withdraw(const start_id& start) {
    m_impl->withdraw(start);
}

void relayed_targets::poll(const target_poll_command& command, milliseconds timeout,
                           std::function<void(poll_result)> done) {
    auto* const direct = &m_impl->m_direct;
    impl::open_command open;
    open.command = to_wire(command, timeout);
    open.done = [done](const pb::command_result* result) {
        done(result != nullptr ? result_from_wire(*result) : poll_result{});
    };
    open.send_direct = [direct, command, timeout, done] { direct->poll(command, timeout, done); };
    open.send_again = [direct, command, timeout, done] {
        // The target may have restarted since, and have taken a start: what was decided for the incarnation
        // before doesn't hold for that one.
        auto again = command;
        again.acked_upto = 0;
        again.deadline_ms = {};
        direct->poll(again, timeout, done);
    };
    m_impl->add(std::move(open));
}

} // namespace medlarhub

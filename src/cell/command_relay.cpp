#include "cell/command_relay.h"

#include "cell/command_wire.h"
#include "log.h"

#include "medlarhub/reason.h"

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace medlarhub {

namespace {

/// A session without calls for this long is deleted with its results.
constexpr milliseconds session_retention{5000};
/// Without a tick for this long the process may have been paused.
constexpr milliseconds stall_tolerance{700};

} // namespace

class command_relay::impl : public std::enable_shared_from_this<impl> {
public:
    using responder = std::function<void(pb::relay_answer)>;

    impl(target_port& targets, std::function<milliseconds()> clock)
        : m_targets{targets}, m_clock{std::move(clock)}, m_guard{stall_tolerance} {
        m_guard.beat(m_clock());
    }

    void take(instant at, const pb::relay_call& call, responder done) {
        std::vector<reply> replies;
        bool stalled = false;
        {
            const std::lock_guard lock{m_mutex};
            stalled = m_guard.is_stalled(m_clock());
            auto& session = m_sessions[call.session()];
            session.used = at;
            if (session.held)
                replies.push_back(answer(at, session));
            session.held = std::move(done);
            session.held_since = at;
            if (!session.ready.results().empty() && at - session.answered >= relay_spacing)
                replies.push_back(answer(at, session));
        }
        send(replies);
        for (const auto& withdrawal : call.withdrawals()) {
            if (const auto start = start_from_wire(withdrawal))
                m_targets.withdraw(*start);
        }
        for (const auto& command : call.commands()) {
            if (stalled && command.what() == pb::target_command::start)
                finished(call.session(), command.number(),
                         to_wire(command_reply{command_outcome::expired, {}}));
            else
                carry_out(call.session(), command);
        }
    }

    void tick(instant at) {
        std::vector<reply> replies;
        {
            const std::lock_guard lock{m_mutex};
            m_guard.beat(m_clock());
            std::erase_if(m_sessions, [&](const auto& each) {
                return !each.second.held && at - each.second.used > session_retention;
            });
            for (auto& [name, session] : m_sessions) {
                const bool waited = at - session.held_since >= relay_hold;
                if (session.held && (waited || !session.ready.results().empty()))
                    replies.push_back(answer(at, session));
            }
        }
        send(replies);
    }

private:
    struct reply {
        responder to;
        pb::relay_answer content;
    };

    struct session_state {
        pb::relay_answer ready;
        responder held;
        instant held_since{};
        instant answered{};
        instant used{};
    };

    static reply answer(instant at, session_state& session) {
        session.answered = at;
        return {std::exchange(session.held, nullptr), std::exchange(session.ready, {})};
    }

    static void send(std::vector<reply>& replies) {
        for (auto& each : replies)
            each.to(std::move(each.content));
    }

    void carry_out(const std::string& session, const pb::target_command& command) {
        const milliseconds timeout{command.timeout_ms()};
        const auto number = command.number();
        if (command.what() == pb::target_command::poll) {
            m_targets.poll(poll_from_wire(command), timeout,
                           [self = shared_from_this(), session, number](const poll_result& result) {
                               self->finished(session, number, to_wire(result));
                           });
            return;
        }
        const auto parsed = command_from_wire(command);
        if (!parsed) {
            log_event(log_level::error, "command_unreadable",
                      {{"target", command.target()}, {"reason", last_reason()}});
            return finished(session, number, to_wire(command_reply{command_outcome::malformed, {}}));
        }
        m_targets.send(*parsed, timeout,
                       [self = shared_from_this(), session, number](const command_reply& result) {
                           self->finished(session, number, to_wire(result));
                       });
    }

    void finished(const std::string& name, std::uint64_t number, pb::command_result result) {
        const auto at = now();
        result.set_number(number);
        std::vector<reply> replies;
        {
            const std::lock_guard lock{m_mutex};
            const auto found = m_sessions.find(name);
            if (found == m_sessions.end())
                return;
            auto& session = found->second;
            *session.ready.add_results() = std::move(result);
            if (session.held && at - session.answered >= relay_spacing)
                replies.push_back(answer(at, session));
        }
        send(replies);
    }

    target_port& m_targets;
    std::function<milliseconds()> m_clock;
    std::mutex m_mutex; ///< guards the members below
    stall_guard m_guard;
    std::map<std::string, session_state> m_sessions;
};

command_relay::command_relay(target_port& targets, std::function<milliseconds()> clock)
    : m_impl{std::make_shared<impl>(targets, std::move(clock))} {}

void command_relay::take(instant at, const pb::relay_call& call, std::function<void(pb::relay_answer)> done) {
    m_impl->take(at, call, std::move(done));
}
void command_relay::tick(instant at) {
    m_impl->tick(at);
}

} // namespace medlarhub

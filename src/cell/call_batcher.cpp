#include "cell/call_batcher.h"

#include <algorithm>

namespace medlarhub {

namespace {

constexpr std::size_t max_calls_per_message = 200;

} // namespace

call_batcher::call_batcher(sender send, int max_in_flight)
    : m_send{std::move(send)}, m_max_in_flight{max_in_flight} {}

void call_batcher::add(const std::string& address, pb::job_call call, callback done) {
    {
        const std::lock_guard lock{m_mutex};
        m_lanes[address].waiting.push_back({std::move(call), std::move(done)});
    }
    send_next(address);
}

void call_batcher::send_next(const std::string& address) {
    const auto sent = std::make_shared<std::vector<waiting_call>>();
    {
        const std::lock_guard lock{m_mutex};
        auto& to = m_lanes[address];
        if (to.waiting.empty() || to.in_flight >= m_max_in_flight)
            return;
        const auto count = std::min(to.waiting.size(), max_calls_per_message);
        const auto end = to.waiting.begin() + static_cast<std::ptrdiff_t>(count);
        sent->assign(std::make_move_iterator(to.waiting.begin()), std::make_move_iterator(end));
        to.waiting.erase(to.waiting.begin(), end);
        ++to.in_flight;
    }
    pb::job_calls calls;
    milliseconds timeout{0};
    for (const auto& each : *sent) {
        *calls.add_calls() = each.call;
        timeout = std::max(timeout, milliseconds{each.call.timeout_ms()});
    }
    m_send(
        address, calls, timeout,
        [self = shared_from_this(), address, sent](peer_delivery delivery, const pb::job_answers& answers) {
            {
                const std::lock_guard lock{self->m_mutex};
                --self->m_lanes[address].in_flight;
            }
            self->send_next(address);
            const bool whole = answers.answers_size() == static_cast<int>(sent->size());
            if (delivery == peer_delivery::answered && !whole)
                delivery = peer_delivery::lost;
            for (std::size_t i = 0; i < sent->size(); ++i)
                (*sent)[i].done(delivery, whole ? answers.answers(static_cast<int>(i)) : pb::job_answer{});
        });
}

} // namespace medlarhub

#include "cell/target_exchange.h"

#include <utility>

namespace medlarhub {

namespace {

/// Interval between a partition's requests; each is sent to another partition, chosen at random.
constexpr milliseconds request_period{150};
constexpr milliseconds notice_retry{300};
constexpr milliseconds notice_retention{10'000};

} // namespace

target_exchange::target_exchange(const owner_lookup& owners, peer_calls calls, std::uint64_t seed)
    : m_owners{owners}, m_peers{std::move(calls)}, m_random{seed} {}

void target_exchange::tick(instant at, int partitions,
                           const std::map<int, std::shared_ptr<owned_partition>>& owned) {
    if (partitions < 2)
        return;
    send_notices(at);
    for (const auto& [number, partition] : owned) {
        int from = 0;
        {
            const std::lock_guard lock{m_mutex};
            if (at < m_next_request[number])
                continue;
            m_next_request[number] = at + request_period;
            from = static_cast<int>(m_random() % static_cast<std::uint64_t>(partitions - 1));
        }
        from += from >= number ? 1 : 0;
        const auto shortage = partition->shortage();
        if (!shortage)
            continue;
        pb::target_request request;
        request.set_from(from);
        request.set_to(number);
        request.set_demand_cpu_milli(shortage->load.demand_cpu_milli);
        request.set_capacity_cpu_milli(shortage->load.capacity_cpu_milli);
        request.set_wanted_cpu_milli(shortage->wanted_cpu_milli);
        if (shortage->gang) {
            request.set_gang_accepted_ms(shortage->gang->accepted_ms);
            request.set_gang_wanted_cpu_milli(shortage->gang->wanted_cpu_milli);
        }
        ask(from, partition, std::move(request));
    }
}

void target_exchange::ask(int from, const std::shared_ptr<owned_partition>& requester,
                          pb::target_request request) {
    const auto note = [from, requester](const pb::target_promise& promise) {
        if (promise.capacity_cpu_milli() > 0)
            requester->record_load(from, {promise.demand_cpu_milli(), promise.capacity_cpu_milli()});
    };
    if (m_owners.local_partition(from))
        return note(answer(request));
    const auto address = m_owners.remote_owner(from);
    if (address.empty())
        return;
    m_peers.request(address, request, [note](peer_delivery delivery, const pb::target_promise& promise) {
        if (delivery == peer_delivery::answered)
            note(promise);
    });
}

pb::target_promise target_exchange::answer(const pb::target_request& request) const {
    pb::target_promise promise;
    const auto partition = m_owners.local_partition(request.from());
    if (partition && request.from() != request.to())
        (void)partition->transfer_targets(request, promise);
    return promise;
}

void target_exchange::announce(instant at, const std::vector<target_transfer>& transfers) {
    std::map<int, pb::target_notice> notices;
    for (const auto& transfer : transfers)
        (*notices[transfer.to.partition].mutable_transfers())[transfer.target] = transfer.to.transfers;
    {
        const std::lock_guard lock{m_mutex};
        for (auto& [to, notice] : notices) {
            notice.set_to(to);
            m_notices[++m_last_notice] = {std::move(notice), at, at + notice_retention};
        }
    }
    send_notices(at);
}

void target_exchange::send_notices(instant at) {
    std::vector<std::pair<std::uint64_t, pb::target_notice>> due;
    {
        const std::lock_guard lock{m_mutex};
        std::erase_if(m_notices, [&](const auto& entry) { return at >= entry.second.expires; });
        for (auto& [number, open] : m_notices) {
            if (at < open.next)
                continue;
            open.next = at + notice_retry;
            due.emplace_back(number, open.notice);
        }
    }
    for (const auto& [number, notice] : due) {
        if (m_owners.local_partition(notice.to())) {
            if (handle_notice(notice).taken())
                confirm_notice(number);
            continue;
        }
        const auto address = m_owners.remote_owner(notice.to());
        if (address.empty())
            continue;
        m_peers.announce(
            address, notice,
            [this, number = number](peer_delivery delivery, const pb::target_notice_reply& reply) {
                if (delivery == peer_delivery::answered && reply.taken())
                    confirm_notice(number);
            });
    }
}

void target_exchange::confirm_notice(std::uint64_t number) {
    const std::lock_guard lock{m_mutex};
    m_notices.erase(number);
}

pb::target_notice_reply target_exchange::handle_notice(const pb::target_notice& notice) const {
    pb::target_notice_reply reply;
    const auto partition = m_owners.local_partition(notice.to());
    if (!partition)
        return reply;
    std::map<std::string, target_assignment> assignments;
    for (const auto& [target, transfers] : notice.transfers())
        assignments[target] = {notice.to(), transfers};
    partition->update_assignments(assignments);
    reply.set_taken(true);
    return reply;
}

} // namespace medlarhub

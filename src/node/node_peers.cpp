#include "node/node_impl.h"

#include "log.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <algorithm>
#include <future>

namespace medlarhub {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_summaries = 32;
constexpr std::size_t probes_per_round = 2;
constexpr milliseconds probe_timeout{400};
constexpr milliseconds push_timeout{1000};
constexpr milliseconds release_timeout{6000};
constexpr milliseconds jobs_timeout{2000};
constexpr milliseconds forget_node_after{30'000};

} // namespace

// ---- Gossip ----

/// Gives the router the current summaries of the partitions that this node owns, for its own routing and for
/// gossip.
void node::impl::update_own_summaries() {
    std::vector<pb::partition_summary> summaries;
    for (const auto& [number, owned] : partition_hosts()) {
        auto summary = owned->summary();
        if (!summary.owner().empty())
            summaries.push_back(std::move(summary));
    }
    const std::lock_guard lock{m_cluster_mutex};
    for (const auto& summary : summaries)
        m_router.update_summary(now(), summary);
}

pb::gossip node::impl::make_gossip() {
    pb::gossip message;
    message.set_from(m_options.node);
    message.set_incarnation(m_incarnation);
    message.set_config_revision(m_config.state()->revision());
    message.set_store_age_ms(m_config.store_age(now()).count());
    const std::lock_guard lock{m_cluster_mutex};
    for (const auto& update : m_members.updates())
        *message.add_members() = update;
    for (const auto& summary : m_router.summaries(max_summaries))
        *message.add_partitions() = summary;
    return message;
}

void node::impl::merge_gossip(const pb::gossip& message) {
    const auto at = now();
    {
        const std::lock_guard lock{m_cluster_mutex};
        for (const auto& update : message.members())
            m_members.merge(at, update);
        for (const auto& summary : message.partitions())
            m_router.update_summary(at, summary);
    }
    m_config.peer_reported(at, message.from(), message.config_revision(),
                           milliseconds{message.store_age_ms()});
    if (message.config_revision() < m_config.state()->revision())
        push_missing_changes(message.from(), message.config_revision());
}

/// Sends a peer the configuration changes after `revision`, if this node still has all of them in memory.
void node::impl::push_missing_changes(const std::string& peer, std::int64_t revision) {
    const auto changes = m_config.changes_after(revision);
    const auto address = peer_address(peer);
    if (!changes || address.empty())
        return;
    pb::config_push push;
    for (const auto& change : *changes)
        *push.add_changes() = change;
    m_peers.push_config(address, push, push_timeout, [](peer_delivery, const pb::config_ack&) {});
}

pb::gossip node::impl::on_exchange(const pb::gossip& message) {
    merge_gossip(message);
    return make_gossip();
}

void node::impl::probe(const pb::member& member) {
    const auto self = shared_from_this();
    m_peers.exchange(member.peer_address(), make_gossip(), probe_timeout,
                     [self, member](peer_delivery delivery, const pb::gossip& reply) {
                         if (delivery == peer_delivery::answered)
                             self->merge_gossip(reply);
                         else
                             self->probe_failed(member);
                     });
}

/// Asks other members to probe the member too before it is suspected, because the failure may be in this
/// node's own network link.
void node::impl::probe_failed(const pb::member& member) {
    std::vector<pb::member> helpers;
    {
        const std::lock_guard lock{m_cluster_mutex};
        helpers = m_members.helpers(member.id());
        if (helpers.empty()) {
            m_members.probe_failed(now(), member.id());
            return;
        }
    }
    const auto self = shared_from_this();
    const auto outstanding = std::make_shared<std::atomic<std::size_t>>(helpers.size());
    const auto alive = std::make_shared<std::atomic<bool>>(false);
    pb::probe_request request;
    request.set_subject(member.id());
    request.set_address(member.peer_address());
    *request.mutable_update() = make_gossip();
    for (const auto& helper : helpers) {
        m_peers.probe(
            helper.peer_address(), request, 2 * probe_timeout,
            [self, member, outstanding, alive](peer_delivery delivery, const pb::probe_reply& reply) {
                if (delivery == peer_delivery::answered && reply.alive())
                    *alive = true;
                if (--*outstanding != 0 || *alive)
                    return;
                const std::lock_guard lock{self->m_cluster_mutex};
                self->m_members.probe_failed(now(), member.id());
            });
    }
}

void node::impl::on_probe(const pb::probe_request& message, std::function<void(pb::probe_reply)> done) {
    merge_gossip(message.update());
    const auto self = shared_from_this();
    m_peers.exchange(message.address(), make_gossip(), probe_timeout,
                     [self, done = std::move(done)](peer_delivery delivery, const pb::gossip& reply) {
                         pb::probe_reply answer;
                         answer.set_alive(delivery == peer_delivery::answered);
                         if (answer.alive())
                             self->merge_gossip(reply);
                         done(std::move(answer));
                     });
}

void node::impl::gossip_round() {
    const auto at = now();
    update_own_summaries();
    std::vector<pb::member> probes;
    {
        const std::lock_guard lock{m_cluster_mutex};
        m_members.tick(at);
        auto count = probes_per_round;
        // Without the store the configuration is current only with contact to a majority within
        // `config_stale_after`: each round probes as many members as that takes.
        if (m_config.needs_majority(at)) {
            const auto rounds =
                std::max<std::int64_t>(m_options.config_stale_after / (2 * m_options.gossip_period), 1);
            count = std::max(count, m_config.majority() / static_cast<std::size_t>(rounds) + 1);
        }
        probes = m_members.next_probes(count);
        for (const auto& node : m_config.registered()) {
            if (node.id() != m_options.node && !m_members.find(node.id()) && probes.size() < count + 1)
                probes.push_back(node);
        }
        m_router.keep_only(m_config.state()->partitions());
    }
    bool alone = false;
    {
        const std::lock_guard lock{m_cluster_mutex};
        alone = m_members.live().size() <= 1;
    }
    if (alone) {
        for (const auto& seed : m_options.seeds) {
            pb::member member;
            member.set_id("seed:" + seed);
            member.set_peer_address(seed);
            if (seed != m_options.peer_address)
                probes.push_back(member);
        }
    }
    for (const auto& member : probes)
        probe(member);
    ownership_round();
}

std::string node::impl::peer_address(const std::string& node) const {
    const std::lock_guard lock{m_cluster_mutex};
    const auto member = m_members.find(node);
    return member ? member->peer_address() : std::string{};
}

// ---- Configuration ----

pb::config_ack node::impl::on_push_config(const pb::config_push& message) {
    pb::config_ack ack;
    ack.set_revision(m_config.merge({message.changes().begin(), message.changes().end()}));
    return ack;
}

/// Pushes changes to the live registered nodes and waits until `needed` nodes, this one included, have
/// confirmed them, every push has ended, or a timeout expires. Sets `confirmed` to the number of nodes.
void node::impl::push_changes(const std::vector<pb::config_change>& changes, std::size_t needed,
                              std::size_t& confirmed) {
    pb::config_push push;
    for (const auto& change : changes)
        *push.add_changes() = change;
    const auto revision = changes.back().revision();
    struct progress {
        std::mutex mutex;
        std::condition_variable changed;
        std::size_t confirmed = 1; ///< this node included
        std::size_t outstanding = 0;
    };
    const auto shared = std::make_shared<progress>();
    std::vector<std::string> addresses;
    std::set<std::string> registered;
    for (const auto& member : m_config.registered())
        registered.insert(member.id());
    {
        const std::lock_guard lock{m_cluster_mutex};
        for (const auto& id : m_members.live()) {
            if (id != m_options.node && registered.contains(id))
                addresses.push_back(m_members.find(id)->peer_address());
        }
    }
    shared->outstanding = addresses.size();
    for (const auto& address : addresses) {
        m_peers.push_config(address, push, push_timeout,
                            [shared, revision](peer_delivery delivery, const pb::config_ack& ack) {
                                const std::lock_guard lock{shared->mutex};
                                --shared->outstanding;
                                if (delivery == peer_delivery::answered && ack.revision() >= revision)
                                    ++shared->confirmed;
                                shared->changed.notify_all();
                            });
    }
    std::unique_lock lock{shared->mutex};
    shared->changed.wait_for(lock, push_timeout + 100ms,
                             [&] { return shared->confirmed >= needed || shared->outstanding == 0; });
    confirmed = shared->confirmed;
}

// ---- Ownership ----

void node::impl::ownership_round() {
    remove_closed_hosts();
    if (m_leaving || !m_config.is_loaded())
        return;
    ownership_view view;
    view.self = m_options.node;
    view.partitions = m_config.state()->partitions();
    for (const auto& [number, owned] : partition_hosts())
        view.owned.insert(number);
    ownership_plan plan;
    {
        const std::lock_guard lock{m_cluster_mutex};
        view.live = m_members.live();
        for (const auto number : view.partitions)
            view.last_owner[number] = m_router.owner(number);
        plan = m_ownership.plan(now(), view);
    }
    for (const auto number : plan.take)
        take_over(number);
    for (const auto& [number, owner] : plan.ask_release)
        request_release(number, owner);
}

void node::impl::take_over(int partition) {
    const auto self = weak_from_this();
    host_environment environment{m_options,
                                 *m_targets,
                                 *m_rows,
                                 *m_objects,
                                 m_write_limiter,
                                 m_counters,
                                 m_options.node + "." + std::to_string(m_incarnation),
                                 [this] { return m_config.state(); },
                                 [this] { return m_config.current(now()); }};
    const auto taken = std::make_shared<partition_host>(std::move(environment), partition);
    {
        const std::lock_guard lock{m_host_mutex};
        if (!m_hosts.emplace(partition, taken).second)
            return;
    }
    m_escrow.forget(partition);
    distribute_fleet();
    log_event(log_level::info, "partition_takeover", {{"partition", std::to_string(partition)}});
    taken->start();
}

void node::impl::request_release(int partition, const std::string& owner) {
    const auto address = peer_address(owner);
    if (address.empty())
        return;
    pb::release_request request;
    request.set_partition(partition);
    request.set_heir(m_options.node);
    const auto self = shared_from_this();
    m_peers.release(address, request, release_timeout,
                    [self, partition](peer_delivery delivery, const pb::release_reply& reply) {
                        if (delivery == peer_delivery::answered && reply.released() && !self->m_leaving)
                            self->take_over(partition);
                    });
}

void node::impl::on_release(const pb::release_request& message, std::function<void(pb::release_reply)> done) {
    const auto owned = host(message.partition());
    if (!owned) {
        pb::release_reply reply;
        reply.set_released(true);
        done(std::move(reply));
        return;
    }
    owned->release([done = std::move(done)](bool released) {
        pb::release_reply reply;
        reply.set_released(released);
        done(std::move(reply));
    });
}

void node::impl::remove_closed_hosts() {
    std::vector<std::shared_ptr<partition_host>> closed;
    {
        const std::lock_guard lock{m_host_mutex};
        for (auto it = m_hosts.begin(); it != m_hosts.end();) {
            if (it->second->status() == host_status::closed) {
                closed.push_back(it->second);
                it = m_hosts.erase(it);
            } else {
                ++it;
            }
        }
    }
    const std::lock_guard lock{m_cluster_mutex};
    for (const auto& gone : closed)
        m_ownership.takeover_failed(now(), gone->number());
}

void node::impl::leave_cluster() {
    const auto owned = partition_hosts();
    std::vector<std::future<void>> releases;
    for (const auto& [number, taken] : owned) {
        auto promise = std::make_shared<std::promise<void>>();
        releases.push_back(promise->get_future());
        taken->release([promise](bool) { promise->set_value(); });
    }
    for (auto& released : releases)
        released.wait();
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock{m_cluster_mutex};
        m_members.leave();
        for (const auto& id : m_members.live())
            addresses.push_back(m_members.find(id)->peer_address());
    }
    for (const auto& address : addresses)
        m_peers.exchange(address, make_gossip(), probe_timeout, [](peer_delivery, const pb::gossip&) {});
    m_config.unregister(m_options.node);
}

// ---- Calls from peers ----

void node::impl::serve_peer_call(call_kind kind, const pb::call& message,
                                 std::function<void(pb::answer)> done) {
    const auto owned = host(message.partition());
    if (!owned) {
        auto answer = make_answer(pb::answer::not_owner, "this node doesn't own the partition");
        answer.set_request_id(message.request_id());
        answer.set_correlation(message.correlation());
        done(std::move(answer));
        return;
    }
    ++m_in_flight;
    auto call = message;
    call.set_deadline_ms(to_ms(now()) + message.deadline_ms());
    call_host(owned, kind, call, [self = shared_from_this(), done = std::move(done)](pb::answer answer) {
        done(std::move(answer));
        --self->m_in_flight;
    });
}

void node::impl::on_submit(const pb::call& message, std::function<void(pb::answer)> done) {
    serve_peer_call(call_kind::submit, message, std::move(done));
}

void node::impl::on_run(const pb::call& message, std::function<void(pb::answer)> done) {
    serve_peer_call(call_kind::run, message, std::move(done));
}

void node::impl::on_ask(const pb::call& message, std::function<void(pb::answer)> done) {
    serve_peer_call(call_kind::ask, message, std::move(done));
}

void node::impl::on_cancel(const pb::call& message, std::function<void(pb::answer)> done) {
    serve_peer_call(call_kind::cancel, message, std::move(done));
}

pb::jobs_reply node::impl::on_list_jobs(const pb::jobs_request& message) {
    pb::jobs_reply reply;
    if (const auto owned = host(message.partition())) {
        for (auto& item : owned->jobs(message.team(), static_cast<std::size_t>(message.limit())))
            *reply.add_jobs() = std::move(item);
    }
    return reply;
}

std::vector<pb::job> node::impl::jobs(const std::string& team, int limit) {
    std::vector<pb::job> listed;
    for (const auto number : m_config.state()->partitions()) {
        pb::jobs_request request;
        request.set_partition(number);
        request.set_team(team);
        request.set_limit(limit);
        pb::jobs_reply reply;
        std::string owner;
        {
            const std::lock_guard lock{m_cluster_mutex};
            owner = m_router.owner(number);
        }
        if (host(number)) {
            reply = on_list_jobs(request);
        } else if (const auto address = peer_address(owner); !address.empty()) {
            const auto promise = std::make_shared<std::promise<pb::jobs_reply>>();
            m_peers.list_jobs(address, request, jobs_timeout, [promise](peer_delivery, pb::jobs_reply got) {
                promise->set_value(std::move(got));
            });
            reply = promise->get_future().get();
        }
        listed.insert(listed.end(), reply.jobs().begin(), reply.jobs().end());
    }
    if (listed.size() > static_cast<std::size_t>(limit))
        listed.resize(static_cast<std::size_t>(limit));
    return listed;
}

} // namespace medlarhub

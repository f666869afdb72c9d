#include "node/node.h"

#include "log.h"
#include "node/node_impl.h"
#include "platform/http_platform.h"
#include "targets/http_targets.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <algorithm>

namespace medlarhub {

namespace {

using namespace std::chrono_literals;

constexpr milliseconds tick_period{5};
constexpr milliseconds fleet_period{1000};
constexpr milliseconds escrow_period{250};
constexpr milliseconds reroute_delay{50};
constexpr milliseconds default_retry_after{200};
/// Time that this node waits past the deadline for the owner's answer, which the owner may send as late as at
/// the deadline.
constexpr milliseconds forward_grace{200};
constexpr int max_direct_attempts = 2;

pb::member make_self_member(const settings& options, std::uint64_t incarnation) {
    pb::member self;
    self.set_id(options.node);
    self.set_peer_address(options.peer_address);
    self.set_data_centre(options.data_centre);
    self.set_incarnation(incarnation);
    return self;
}

/// Returns whether `answer` belongs to `call` and is complete.
bool is_answer_to(const pb::answer& answer, const pb::call& call) {
    return answer.correlation() == call.correlation() && answer.request_id() == call.request_id() &&
           answer.body_bytes() == answer.body().size();
}

pb::call make_call(const caller_request& request, pb::job item) {
    pb::call call;
    item.set_body(request.body);
    item.set_digest(digest(request.body + "\n" + std::to_string(request.tasks)));
    item.set_deadline_ms(request.deadline.count());
    *call.mutable_item() = std::move(item);
    call.set_team(request.team);
    call.set_request_id(request.request_id);
    call.set_deadline_ms(to_ms(now() + request.deadline));
    call.set_correlation(random_bits());
    return call;
}

} // namespace

node::impl::impl(settings options)
    : m_options{std::move(options)}, m_rows{make_http_table(m_http, m_options.table_url,
                                                            m_options.store_timeout)},
      m_objects{make_http_object_store(m_http, m_options.object_url, m_options.store_timeout)},
      m_vm_list{make_http_vm_list(m_http, m_options.vm_list_url, m_options.store_timeout)},
      m_targets{make_http_targets(m_http, 1000ms)}, m_write_limiter{{.writes_per_second =
                                                                         m_options.table_writes_per_second}},
      m_config{*m_rows,
               *m_objects,
               m_write_limiter,
               {m_options.node, m_options.peer_address, m_options.data_centre, m_options.config_stale_after}},
      m_server{*this}, m_incarnation{static_cast<std::uint64_t>(to_ms(now()))},
      m_members{make_self_member(m_options, m_incarnation),
                {.suspect_after = m_options.suspect_after},
                random_bits()},
      m_router{random_bits()}, m_ownership{m_options.suspect_after}, m_escrow{*m_rows, m_write_limiter,
                                                                              m_counters} {}

node::impl::~impl() = default;

std::optional<std::string> node::impl::start() {
    if (!m_server.start(m_options.peer_address))
        return {};
    for (const auto& seed : m_options.seeds) {
        pb::member member;
        member.set_id("seed:" + seed);
        member.set_peer_address(seed);
        probe(member);
    }
    m_config.on_change([this] {
        for (const auto& [number, owned] : partition_hosts())
            owned->config_changed();
        distribute_fleet();
    });
    m_threads.emplace_back([this] { loop(tick_period, [this] { tick_round(); }); });
    m_threads.emplace_back([this] { loop(m_options.gossip_period, [this] { gossip_round(); }); });
    m_threads.emplace_back([this] { loop(m_options.config_poll, [this] { config_round(); }); });
    m_threads.emplace_back([this] { loop(fleet_period, [this] { fleet_round(); }); });
    m_threads.emplace_back([this] { loop(escrow_period, [this] { escrow_round(); }); });
    log_event(log_level::info, "started",
              {{"http", m_options.http_address}, {"peer", m_options.peer_address}});
    return m_options.node;
}

void node::impl::loop(milliseconds period, const std::function<void()>& body) {
    while (!m_stopping) {
        body();
        std::unique_lock lock{m_stop_mutex};
        m_stop_changed.wait_for(lock, period, [this] { return m_stopping.load(); });
    }
}

void node::impl::leave() {
    log_event(log_level::info, "leaving");
    m_leaving = true;
    leave_cluster();
}

void node::impl::stop() {
    m_stopping = true;
    m_stop_changed.notify_all();
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    m_server.stop();
    const auto owned = partition_hosts();
    for (const auto& [number, taken] : owned)
        taken->stop();
    log_event(log_level::info, "stopped", {{"unfinished", std::to_string(m_in_flight.load())}});
}

// ---- Rounds of the background threads ----

node::impl::host_map node::impl::partition_hosts() const {
    const std::lock_guard lock{m_host_mutex};
    return m_hosts;
}

std::shared_ptr<partition_host> node::impl::host(int partition) const {
    const std::lock_guard lock{m_host_mutex};
    const auto found = m_hosts.find(partition);
    return found == m_hosts.end() ? nullptr : found->second;
}

void node::impl::tick_round() {
    const auto at = now();
    for (const auto& [number, owned] : partition_hosts())
        owned->tick(at);
    std::vector<std::shared_ptr<routed_call>> due;
    {
        const std::lock_guard lock{m_timer_mutex};
        const auto last = m_delayed_calls.upper_bound(at);
        for (auto it = m_delayed_calls.begin(); it != last; ++it)
            due.push_back(it->second);
        m_delayed_calls.erase(m_delayed_calls.begin(), last);
    }
    for (auto& routed : due)
        route(std::move(routed));
}

void node::impl::config_round() {
    if (!m_config.poll()) {
        log_event(log_level::warning, "config_poll_failed", {{"reason", last_reason()}});
        return;
    }
    if (!m_leaving)
        m_config.poll_registry(std::to_string(m_incarnation));
}

void node::impl::fleet_round() {
    const auto listed = m_vm_list->list();
    if (!listed) {
        log_event(log_level::warning, "vm_list_failed", {{"reason", last_reason()}});
        return;
    }
    {
        const std::lock_guard lock{m_host_mutex};
        if (m_fleet == *listed)
            return;
        m_fleet = *listed;
    }
    distribute_fleet();
}

void node::impl::distribute_fleet() {
    const auto config = m_config.state();
    std::map<int, std::vector<vm_info>> by_partition;
    {
        const std::lock_guard lock{m_host_mutex};
        for (const auto& vm : m_fleet) {
            const auto partition = config->partition_of(vm.data_centre, vm.rack);
            if (vm.role == vm_role::target && partition)
                by_partition[*partition].push_back(vm);
        }
    }
    for (const auto& [number, owned] : partition_hosts())
        owned->set_fleet(by_partition[number]);
}

void node::impl::escrow_round() {
    if (!m_config.is_loaded())
        return;
    const auto config = m_config.state();
    for (const auto& [number, owned] : partition_hosts()) {
        if (owned->status() == host_status::active)
            m_escrow.sync_partition(now(), *owned, *config);
    }
    m_counters.set("config_revision", static_cast<double>(config->revision()));
    m_counters.set("config_current", m_config.current(now()) ? 1 : 0);
    m_counters.set("store_down", m_write_limiter.is_table_down() ? 1 : 0);
    m_counters.set("calls_in_flight", static_cast<double>(m_in_flight.load()));
    m_counters.set("partitions_owned", static_cast<double>(partition_hosts().size()));
    for (const auto& [number, owned] : partition_hosts()) {
        for (const auto& [name, value] : owned->counts())
            m_counters.set("partition_" + name, static_cast<double>(value),
                           {{"partition", std::to_string(number)}});
    }
}

// ---- Calls from callers ----

void node::impl::begin(routed_call routed) {
    ++m_in_flight;
    route(std::make_shared<routed_call>(std::move(routed)));
}

void node::impl::finish(const std::shared_ptr<routed_call>& routed, pb::answer answer) {
    routed->done(std::move(answer));
    --m_in_flight;
}

void node::impl::retry_later(const std::shared_ptr<routed_call>& routed, milliseconds wait) {
    const std::lock_guard lock{m_timer_mutex};
    m_delayed_calls.emplace(now() + wait, routed);
}

void node::impl::route(std::shared_ptr<routed_call> routed) {
    auto& call = routed->call;
    if (to_ms(now()) >= call.deadline_ms()) {
        const bool read_only = routed->kind == call_kind::ask;
        finish(routed,
               make_answer(routed->kind == call_kind::run ? pb::answer::not_run : pb::answer::unknown,
                           read_only ? "no owner of the request's partition was found before the deadline"
                                     : "no owner of the partition was found before the deadline",
                           default_retry_after));
        return;
    }
    std::optional<int> partition;
    std::string owner;
    {
        const std::lock_guard lock{m_cluster_mutex};
        if (routed->any_partition) {
            const auto avoid = routed->retries > 0 ? std::optional{call.partition()} : std::nullopt;
            partition = m_router.pick({call.item().need().cpu_milli(), m_options.data_centre}, avoid);
            if (!partition && avoid)
                partition = m_router.pick({call.item().need().cpu_milli(), m_options.data_centre});
        } else {
            partition = home_partition(m_config.state()->partitions(), call.team(), call.request_id());
        }
        if (partition) {
            owner = m_router.owner(*partition);
            if (routed->any_partition)
                m_router.request_sent(*partition);
        }
    }
    if (partition)
        call.set_partition(*partition);
    const auto local = partition ? host(*partition) : nullptr;
    if (local && local->status() == host_status::active)
        owner = m_options.node;
    if (owner.empty())
        return retry_later(routed, reroute_delay);
    send_to_owner(owner, routed, *partition);
}

void node::impl::call_host(const std::shared_ptr<partition_host>& to, call_kind kind, const pb::call& call,
                           answer_callback done) {
    switch (kind) {
    case call_kind::run:
        to->run(call, std::move(done));
        break;
    case call_kind::submit:
        to->submit(call, std::move(done));
        break;
    case call_kind::ask:
        to->query(call, std::move(done));
        break;
    case call_kind::cancel:
        to->cancel(call, std::move(done));
        break;
    }
}

void node::impl::send_to_owner(const std::string& owner, const std::shared_ptr<routed_call>& routed,
                               int partition) {
    const auto self = shared_from_this();
    const auto& call = routed->call;
    if (owner == m_options.node) {
        const auto local = host(partition);
        if (!local)
            return retry_later(routed, reroute_delay);
        call_host(local, routed->kind, call, [self, routed, partition](pb::answer answer) {
            self->handle_answer(routed, partition, std::move(answer));
        });
        return;
    }
    const auto address = peer_address(owner);
    if (address.empty())
        return retry_later(routed, reroute_delay);
    const auto remaining = std::max(from_ms(call.deadline_ms()) - now(), 1ms);
    const auto timeout = remaining + forward_grace;
    auto forwarded = call;
    forwarded.set_deadline_ms(remaining.count()); // the remaining time, because clocks differ between nodes
    const auto done = [self, routed, partition](peer_delivery delivery, pb::answer answer) {
        if (delivery == peer_delivery::not_sent)
            answer = make_answer(pb::answer::not_owner, "the owner of the partition can't be reached",
                                 default_retry_after);
        else if (delivery == peer_delivery::lost || !is_answer_to(answer, routed->call))
            answer = make_answer(pb::answer::unknown, "no response from the owner; the outcome is unknown",
                                 default_retry_after);
        self->handle_answer(routed, partition, std::move(answer));
    };
    switch (routed->kind) {
    case call_kind::run:
        m_peers.run(address, forwarded, timeout, done);
        break;
    case call_kind::submit:
        m_peers.submit(address, forwarded, timeout, done);
        break;
    case call_kind::ask:
        m_peers.ask(address, forwarded, timeout, done);
        break;
    case call_kind::cancel:
        m_peers.cancel(address, forwarded, timeout, done);
        break;
    }
}

void node::impl::handle_answer(const std::shared_ptr<routed_call>& routed, int partition, pb::answer answer) {
    (void)partition;
    if (answer.result() == pb::answer::not_owner) {
        ++routed->retries;
        return retry_later(routed, reroute_delay);
    }
    // A durable call without a response is idempotent: a retry with the same request id finds the record of
    // the first one. An answer that this node made for lack of a response has no correlation.
    const bool no_response = answer.result() == pb::answer::unknown && answer.correlation() == 0;
    if (no_response && routed->kind != call_kind::run && to_ms(now()) < routed->call.deadline_ms())
        return retry_later(routed, reroute_delay);
    const bool not_run = answer.result() == pb::answer::not_run;
    const bool can_retry = not_run || (routed->is_idempotent && answer.result() == pb::answer::unknown);
    const auto remaining = from_ms(routed->call.deadline_ms()) - now();
    if (routed->kind == call_kind::run && can_retry && routed->retries + 1 < max_direct_attempts &&
        remaining > milliseconds{routed->call.item().run_ms()}) {
        bool allowed = false;
        {
            const std::lock_guard lock{m_cluster_mutex};
            allowed = m_retries.take();
        }
        if (allowed) {
            ++routed->retries;
            m_counters.count("direct_retries_total");
            return route(routed);
        }
    }
    finish(routed, std::move(answer));
}

// ---- Calls from operators ----

node::change_result node::impl::change(pb::config_change change, const std::string& who,
                                       std::optional<std::int64_t> expected) {
    const auto proposed = m_config.propose(std::move(change), who, expected);
    m_counters.count("config_changes_total");
    change_result result;
    result.reason = proposed.reason;
    result.revision = proposed.change.revision();
    result.maybe_applied = proposed.outcome == propose_outcome::unavailable && result.revision != 0;
    if (proposed.outcome != propose_outcome::applied)
        return result;
    result.applied = true;
    std::size_t confirmed = 1; // this node
    const auto needed = m_config.majority();
    push_changes({proposed.change}, needed, confirmed);
    result.in_force = confirmed >= needed;
    log_event(
        log_level::info, "config_changed",
        {{"who", who}, {"revision", std::to_string(result.revision)}, {"what", describe(proposed.change)}});
    return result;
}

node_status node::impl::status() const {
    const auto at = now();
    const auto config = m_config.state();
    node_status status;
    status.node = m_options.node;
    status.data_centre = m_options.data_centre;
    status.ready = ready();
    status.config_current = m_config.current(at);
    status.config_revision = config->revision();
    status.store_age = m_config.store_age(at);
    status.store_down = m_write_limiter.is_table_down();
    status.drains = {config->drains().begin(), config->drains().end()};
    for (const auto& [number, owned] : partition_hosts()) {
        status.owned[number] = owned->counts();
        status.teams[number] = owned->teams();
        status.targets[number] = owned->targets();
    }
    {
        const std::lock_guard lock{m_host_mutex};
        for (const auto& vm : m_fleet) {
            if (vm.role == vm_role::target && !config->partition_of(vm.data_centre, vm.rack))
                status.unassigned_targets.push_back(vm.id);
        }
    }
    const std::lock_guard lock{m_cluster_mutex};
    status.members = m_members.all();
    for (const auto number : config->partitions()) {
        if (const auto view = m_router.find(number))
            status.partitions.push_back(view->summary);
    }
    return status;
}

bool node::impl::ready() const {
    if (m_leaving || !m_config.current(now()))
        return false;
    const std::lock_guard lock{m_cluster_mutex};
    const auto partitions = m_config.state()->partitions();
    return std::ranges::any_of(partitions, [&](int number) { return !m_router.owner(number).empty(); });
}

// ---- Public interface ----

node::node(settings options) : m_impl{std::make_shared<impl>(std::move(options))} {}
node::~node() = default;

std::optional<std::string> node::start() {
    return m_impl->start();
}
void node::leave() {
    m_impl->leave();
}
int node::calls_in_flight() const {
    return m_impl->calls_in_flight();
}
void node::stop() {
    m_impl->stop();
}

void node::run_direct(const caller_request& request, answer_callback done) {
    impl::routed_call routed;
    routed.kind = impl::call_kind::run;
    routed.call = make_call(request, make_job(*request.service, request.team, request.request_id, 0));
    routed.done = std::move(done);
    routed.any_partition = true;
    routed.is_idempotent = request.service->idempotent;
    m_impl->begin(std::move(routed));
}

void node::submit(const caller_request& request, answer_callback done) {
    impl::routed_call routed;
    routed.kind = impl::call_kind::submit;
    routed.call =
        make_call(request, make_job(*request.service, request.team, request.request_id, request.tasks));
    routed.done = std::move(done);
    m_impl->begin(std::move(routed));
}

namespace {

pb::call make_lookup_call(const std::string& team, const std::string& request_id) {
    constexpr milliseconds timeout{3000};
    pb::call call;
    call.set_team(team);
    call.set_request_id(request_id);
    call.set_deadline_ms(to_ms(now() + timeout));
    call.set_correlation(random_bits());
    return call;
}

} // namespace

void node::ask(const std::string& team, const std::string& request_id, answer_callback done) {
    impl::routed_call routed;
    routed.kind = impl::call_kind::ask;
    routed.call = make_lookup_call(team, request_id);
    routed.done = std::move(done);
    m_impl->begin(std::move(routed));
}

void node::cancel(const std::string& team, const std::string& request_id, answer_callback done) {
    impl::routed_call routed;
    routed.kind = impl::call_kind::cancel;
    routed.call = make_lookup_call(team, request_id);
    routed.done = std::move(done);
    m_impl->begin(std::move(routed));
}

node::change_result node::change(pb::config_change change, const std::string& who,
                                 std::optional<std::int64_t> expected) {
    return m_impl->change(std::move(change), who, expected);
}

std::optional<std::vector<pb::config_change>> node::audit(std::int64_t after, int limit) {
    return m_impl->m_config.audit(after, limit);
}

node_status node::status() const {
    return m_impl->status();
}
std::vector<pb::job> node::jobs(const std::string& team, int limit) {
    return m_impl->jobs(team, limit);
}
std::shared_ptr<const config_state> node::config() const {
    return m_impl->m_config.state();
}
bool node::config_current() const {
    return m_impl->m_config.current(now());
}
bool node::ready() const {
    return m_impl->ready();
}
const settings& node::options() const {
    return m_impl->m_options;
}
metrics& node::counters() {
    return m_impl->m_counters;
}

} // namespace medlarhub

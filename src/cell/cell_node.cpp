#include "cell/cell_node.h"

#include "cell/call_router.h"
#include "cell/cell_view.h"
#include "cell/command_relay.h"
#include "cell/command_wire.h"
#include "cell/layout_keeper.h"
#include "cell/partition_rows.h"
#include "cell/relayed_targets.h"
#include "cell/submission.h"
#include "cell/succession.h"
#include "cell/target_command_limiter.h"
#include "cell/target_exchange.h"
#include "log.h"
#include "peers/cell_peers.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <future>
#include <limits>
#include <mutex>
#include <thread>

namespace medlarhub {

namespace {

using namespace std::chrono_literals;

constexpr milliseconds gossip_period{300};
/// How often the successor of an owner probes it.
constexpr milliseconds owner_probe_period{200};
constexpr milliseconds owner_probe_timeout{400};
constexpr milliseconds ownership_period{100};
constexpr milliseconds probe_timeout{500};
/// After its start a node waits this long for reports of others before it takes a partition without a
/// known owner.
constexpr milliseconds settle_after_start{700};
/// The layout is created after the number of targets has been stable for this long.
constexpr milliseconds targets_settle_period{1000};
constexpr milliseconds layout_retry{400};
/// A partition is moved to a better owner only after that node was preferred for this long.
constexpr milliseconds move_after{3000};
constexpr milliseconds no_layout_retry{1000};
constexpr milliseconds take_retry{200};
constexpr milliseconds declared_wait{1000};
constexpr milliseconds source_retry{200};
constexpr milliseconds targets_wait{2000};
/// Pause between reads of the targets' entries, which change many times a second.
constexpr milliseconds targets_pause{200};
/// A node that doesn't need the entries is woken when it does, and also checks this often.
constexpr milliseconds targets_needed_check_period{1000};
/// How often an owner that can't reach the table asks other nodes to take over its partitions.
constexpr milliseconds takeover_request_period{300};
/// A node that was asked isn't asked again for this long.
constexpr milliseconds takeover_request_backoff{3000};
/// A node that declined an offer may only have started.
constexpr milliseconds offer_backoff{500};
constexpr milliseconds advice_timeout_margin{1500};
constexpr milliseconds release_wait{1500};
constexpr milliseconds take_timeout{500};
constexpr milliseconds exchange_timeout{500};
constexpr milliseconds holds_timeout{1000};
/// Interval between reads of target assignments; each reads the rows of the next partition.
constexpr milliseconds assignments_read_period{1000};
constexpr auto node_prefix = "/node/";

} // namespace

class cell_node::impl final : public cell_handler,
                              public owner_lookup,
                              public std::enable_shared_from_this<impl> {
public:
    impl(cell_options options, cell_ports ports)
        : m_options{std::move(options)}, m_ports{std::move(ports)}, m_peers{*this},
          m_incarnation{static_cast<std::uint64_t>(to_ms(now()))}, m_view{make_self(), random_bits(),
                                                                          [this](int number) {
                                                                              m_router->owner_changed(number);
                                                                          }},
          m_limited_targets{*m_ports.commands}, m_relay{m_limited_targets}, m_layout_keeper{*m_ports.rows},
          m_relayed{m_view.owner_name(), m_limited_targets,
                    [this](const std::string& address, const pb::relay_call& call, milliseconds timeout,
                           peer_callback<pb::relay_answer> done) {
                        m_peers.relay(address, call, timeout, std::move(done));
                    }},
          m_router{std::make_shared<call_router>(
              *this,
              [this](const std::string& address, const pb::job_calls& calls, milliseconds timeout,
                     peer_callback<pb::job_answers> done) {
                  m_peers.jobs(address, calls, timeout, std::move(done));
              },
              m_counters)},
          m_exchange{*this,
                     {[this](const std::string& address, const pb::target_request& request,
                             peer_callback<pb::target_promise> done) {
                          m_peers.request_targets(address, request, exchange_timeout, std::move(done));
                      },
                      [this](const std::string& address, const pb::target_notice& notice,
                             peer_callback<pb::target_notice_reply> done) {
                          // The callback uses the exchange, so it keeps this node alive.
                          m_peers.announce_targets(address, notice, exchange_timeout,
                                                   [self = shared_from_this(),
                                                    done = std::move(done)](peer_delivery delivery,
                                                                            pb::target_notice_reply reply) {
                                                       done(delivery, std::move(reply));
                                                   });
                      }},
                     random_bits()} {}

    std::optional<std::string> start() {
        m_started = now();
        if (!m_peers.start(m_options.peer_address))
            return {};
        loop([this] { read_declarations_loop(); });
        loop([this] { join_cell(); });
        loop([this] { tick_loop(); });
        loop([this] { ownership_loop(); });
        loop([this] { read_targets_loop(); });
        return m_options.peer_address;
    }

    void leave() {
        m_leaving = true;
        m_view.leave();
        gossip_round();
    }

    void give_up_calls() {
        m_router->give_up_all();
        for (const auto& [number, owned] : partitions())
            owned->release(0ms); // what other nodes wait for here is answered when it closes
    }

    void release_partitions(milliseconds longest) {
        const auto until = now() + std::min(longest, release_wait);
        const auto left = partitions();
        for (const auto& [number, owned] : left)
            owned->release(0ms);
        for (const auto& [number, owned] : left)
            owned->release(std::max(until - now(), 0ms));
    }

    int peer_calls_in_hand() const { return m_peer_calls_in_hand; }

    void stop() {
        m_stopping = true;
        m_stop.notify_all();
        for (auto& thread : m_threads)
            thread.join();
        m_threads.clear();
        for (const auto& [number, owned] : partitions())
            owned->join();
        m_peers.stop();
    }

    std::shared_ptr<const cell_config> config() const {
        const std::lock_guard lock{m_mutex};
        return m_declared.config;
    }

    bool ready() const {
        const int partitions = m_view.partitions();
        if (m_leaving || !config() || partitions == 0)
            return false;
        // A slow takeover should affect only the callers of that partition, so a majority of known owners
        // suffices.
        return m_view.known_owner_count() * 2 > static_cast<std::size_t>(partitions);
    }

    void call(pb::job_call call, job_callback done) {
        const auto layout = m_view.layout();
        const int partitions = layout->partitions;
        if (partitions > 0 && call.what() == pb::job_call::count_pending)
            return m_router->call_all(std::move(call), partitions, std::move(done));
        const auto key_group = call.has_key_group() ? std::optional{call.key_group()} : std::nullopt;
        const auto places = places_of(*layout, call.team(), key_group, call.id());
        if (places && call.what() == pb::job_call::submit)
            return submit_once(m_router, std::move(call), *places, std::move(done));
        const auto home =
            places ? std::optional{places->home} : home_partition_of(*layout, call.team(), call.id());
        if (!home || call.what() == pb::job_call::submit) {
            log_event(log_level::info, "call_refused", {{"request", call.id()}, {"reason", last_reason()}});
            return done(make_job_answer(pb::job_answer::not_run, last_reason(), no_layout_retry));
        }
        call.set_partition(*home);
        m_router->call(call, [this, call, partitions, done = std::move(done)](const pb::job_answer& answer) {
            // The job may have been submitted by a key that was another team's or no team's, and then is
            // stored in another partition.
            if (answer.result() != pb::job_answer::not_found || partitions == 1)
                return done(answer);
            m_router->call_all(call, partitions, done);
        });
    }

    std::shared_ptr<owned_partition> local_partition(int number) const override {
        const std::lock_guard lock{m_mutex};
        const auto found = m_owned.find(number);
        return found == m_owned.end() ? nullptr : found->second;
    }

    std::string remote_owner(int number) const override {
        const auto address = m_view.owner_address(number);
        return address == m_options.peer_address ? std::string{} : address;
    }

    bool expects_owners() const override { return !m_leaving || !m_view.others(true).empty(); }

    // ---- Peers ----

    pb::gossip on_exchange(const pb::gossip& message) override {
        take_gossip(message);
        return m_view.make_reply(message);
    }

    void on_jobs(const pb::job_calls& calls, std::function<void(pb::job_answers)> done) override {
        ++m_peer_calls_in_hand;
        m_router->answer_peer(calls, [this, done = std::move(done)](pb::job_answers answers) {
            done(std::move(answers));
            --m_peer_calls_in_hand;
        });
    }

    void on_advise(const pb::advice_call& call, std::function<void(pb::advice_answer)> done) override {
        m_ports.advice->ask(
            call.step(), {call.targets().begin(), call.targets().end()}, milliseconds{call.timeout_ms()},
            [done = std::move(done)](const std::optional<advice_reply>& reply) { done(to_wire(reply)); });
    }

    void on_relay(const pb::relay_call& call, std::function<void(pb::relay_answer)> done) override {
        m_relay.take(now(), call, std::move(done));
    }

    pb::take_reply on_take(const pb::take_request& request) override {
        pb::take_reply reply;
        if (request.offer()) {
            reply.set_taken(!m_leaving && !m_stopping && m_view.can_reach_table(now()));
            return reply;
        }
        const auto most_owned =
            request.has_most_owned() ? request.most_owned() : std::numeric_limits<int>::max();
        reply.set_taken(take(request.partition(), most_owned));
        return reply;
    }

    pb::target_promise on_request_targets(const pb::target_request& request) override {
        return m_exchange.answer(request);
    }

    pb::target_notice_reply on_announce_targets(const pb::target_notice& notice) override {
        auto reply = m_exchange.handle_notice(notice);
        if (reply.taken())
            update_relayed_targets();
        return reply;
    }

    metrics m_counters;

private:
    using owned_map = std::map<int, std::shared_ptr<owned_partition>>;
    using requests_by_node = std::map<std::pair<int, std::string>, instant>; ///< by partition and node

    pb::member make_self() const {
        pb::member self;
        self.set_id(m_options.node);
        self.set_peer_address(m_options.peer_address);
        self.set_data_centre(m_options.data_centre);
        self.set_incarnation(m_incarnation);
        self.set_cpu_milli(m_options.cpu_milli);
        return self;
    }

    template <typename Body> void loop(Body body) { m_threads.emplace_back(std::move(body)); }

    /// Sleeps; returns false once the node stops.
    bool sleep_unless_stopping(milliseconds time) {
        std::unique_lock lock{m_stop_mutex};
        return !m_stop.wait_for(lock, time, [&] { return m_stopping.load(); });
    }

    owned_map partitions() const {
        const std::lock_guard lock{m_mutex};
        return m_owned;
    }

    std::set<int> own_partitions() const {
        std::set<int> numbers;
        const std::lock_guard lock{m_mutex};
        for (const auto& [number, owned] : m_owned)
            numbers.insert(number);
        return numbers;
    }

    // ---- Sources ----

    void read_declarations_loop() {
        bool reached = true;
        while (!m_stopping) {
            const auto seen = m_ports.declared->next(declared_wait);
            if (!seen) {
                if (reached)
                    log_event(log_level::warning, "declarations_lost", {{"reason", last_reason()}});
                reached = false;
                sleep_unless_stopping(source_retry);
                continue;
            }
            if (!reached)
                log_event(log_level::info, "declarations_back", {});
            reached = true;
            m_view.table_answered(now());
            bool changed = false;
            {
                const std::lock_guard lock{m_mutex};
                changed = !m_declared.config || m_declared.config != seen->config ||
                          m_declared.drained_data_centres != seen->drained_data_centres;
                m_declared = *seen;
            }
            if (!changed)
                continue;
            log_event(log_level::info, "declarations_changed",
                      {{"version", std::to_string(seen->config->version)},
                       {"drained", std::to_string(seen->drained_data_centres.size())}});
            for (const auto& [number, owned] : partitions())
                owned->set_declarations(*seen);
        }
    }

    /// Only owners, and the node that creates the layout, read the targets' entries.
    void read_targets_loop() {
        bool reached = true;
        while (!m_stopping) {
            if (!needs_targets()) {
                wait_until_targets_needed();
                continue;
            }
            auto seen = m_ports.targets->next(targets_wait);
            if (!seen) {
                if (reached)
                    log_event(log_level::warning, "targets_lost", {{"reason", last_reason()}});
                reached = false;
                sleep_unless_stopping(source_retry);
                continue;
            }
            if (!reached)
                log_event(log_level::info, "targets_back", {});
            reached = true;
            {
                const std::lock_guard lock{m_mutex};
                if (!m_targets || seen->size() != m_targets->size())
                    m_targets_grown = now();
                m_targets = std::make_shared<const std::vector<target_entry>>(std::move(*seen));
            }
            distribute_targets();
            sleep_unless_stopping(targets_pause);
        }
    }

    bool needs_targets() const { return m_should_create_layout || !partitions().empty(); }

    void wait_until_targets_needed() {
        std::unique_lock lock{m_stop_mutex};
        m_stop.wait_for(lock, targets_needed_check_period, [&] { return m_stopping || needs_targets(); });
    }

    /// To be called when this node may have started to need the targets' entries.
    void wake_target_reader() {
        {
            const std::lock_guard lock{m_stop_mutex}; // the reader either hasn't checked yet or is waiting
        }
        m_stop.notify_all();
    }

    /// Updates the targets of each owned partition.
    void distribute_targets() {
        const auto layout = m_view.layout();
        const auto targets = known_targets();
        if (!targets)
            return;
        for (const auto& [number, owned] : partitions())
            owned->set_targets(layout, targets);
        update_relayed_targets();
    }

    void update_relayed_targets() {
        std::vector<target_entry> all_owned;
        for (const auto& [number, owned] : partitions()) {
            const auto own = owned->targets();
            all_owned.insert(all_owned.end(), own.begin(), own.end());
        }
        m_relayed.set_targets(all_owned);
    }

    std::shared_ptr<const std::vector<target_entry>> known_targets() const {
        const std::lock_guard lock{m_mutex};
        return m_targets;
    }

    /// If an owner dies after transferring a target but before sending the notice, the row in the table is
    /// the only record of the transfer.
    void refresh_assignments(instant at) {
        const auto owned = partitions();
        if (at < m_next_assignments_read || owned.empty() || m_view.partitions() < 2)
            return;
        m_next_assignments_read = at + assignments_read_period;
        m_last_partition_read = (m_last_partition_read + 1) % m_view.partitions();
        const auto assignments = read_assignments(*m_ports.rows, m_last_partition_read);
        if (!assignments)
            return;
        for (const auto& [number, partition] : owned)
            partition->update_assignments(*assignments);
        update_relayed_targets();
    }

    // ---- The layout ----

    /// Updates the layout. In a new cell one node creates it; later, owners add racks and teams.
    void layout_round(instant at) {
        if (at < m_next_layout)
            return;
        m_next_layout = at + layout_retry;
        m_should_create_layout = m_joined && m_view.should_create_layout(at);
        if (m_should_create_layout)
            wake_target_reader();
        const auto known = *m_view.layout();
        std::vector<target_entry> targets;
        std::shared_ptr<const cell_config> config;
        instant targets_grew_at;
        {
            const std::lock_guard lock{m_mutex};
            if (m_targets)
                targets = *m_targets;
            config = m_declared.config;
            targets_grew_at = m_targets_grown;
        }
        if (!config)
            return;
        const bool owner = !partitions().empty() && !targets.empty();
        const bool lacks = !covers(known, *config) || (owner && !covers(known, targets));
        if ((known.partitions > 0 && !lacks) || !m_layout_keeper.refresh())
            return;
        auto next = m_layout_keeper.layout();
        const bool divide = m_should_create_layout && next.partitions == 0 && !targets.empty() &&
                            at - targets_grew_at >= targets_settle_period &&
                            at - m_started >= targets_settle_period;
        if (divide)
            next = layout_for(targets, m_options.partitions);
        if (next.partitions > 0 && (divide || owner)) {
            next = with_racks_of(std::move(next), targets);
            next = with_teams_of(std::move(next), *config);
        }
        if (next != m_layout_keeper.layout() && !m_layout_keeper.replace(next))
            return;
        if (m_view.update_layout(m_layout_keeper.layout(), m_layout_keeper.version()))
            distribute_targets();
    }

    /// Registers this node and reads the entries of the others.
    void join_cell() {
        for (const auto& seed : m_options.seeds)
            send_gossip(seed);
        pb::node_entry entry;
        entry.set_peer_address(m_options.peer_address);
        entry.set_data_centre(m_options.data_centre);
        entry.set_incarnation(m_incarnation);
        entry.set_cpu_milli(m_options.cpu_milli);
        do {
            const auto written = m_ports.rows->transact(
                {{node_prefix + m_options.node, entry.SerializeAsString(), write_condition::none, 0, false}});
            constexpr int most_nodes = 500;
            const auto rows = m_ports.rows->list(node_prefix, "", most_nodes);
            if (!rows)
                continue;
            for (const auto& row : *rows)
                learn_node(row);
            m_joined = true;
            if (written.outcome == write_outcome::committed)
                return;
        } while (sleep_unless_stopping(source_retry));
    }

    /// Reads the owners from the head rows, since after a restart of all nodes no node can report them.
    void learn_heads() {
        for (int number = 0; number < m_view.partitions(); ++number) {
            if (m_view.is_owner_known(number))
                continue;
            const auto head = current_head(number);
            if (head && !head->owner().empty())
                m_view.learn_owner(number, {head->owner(), head->peer_address(), head->epoch()});
        }
    }

    std::optional<pb::partition_head> current_head(int number) {
        return partition_rows{*m_ports.rows, number, m_view.owner_name(), m_options.peer_address,
                              m_options.longest_lease}
            .current_head();
    }

    void learn_node(const table_row& row) {
        pb::node_entry entry;
        if (!entry.ParseFromString(row.value))
            return;
        pb::member member;
        member.set_id(row.key.substr(std::string_view{node_prefix}.size()));
        member.set_peer_address(entry.peer_address());
        member.set_data_centre(entry.data_centre());
        member.set_incarnation(entry.incarnation());
        member.set_cpu_milli(entry.cpu_milli());
        m_view.learn_node(now(), member);
    }

    // ---- Gossip ----

    void take_gossip(const pb::gossip& message) {
        if (m_view.handle_message(now(), message))
            distribute_targets();
    }

    void send_gossip(const std::string& address) {
        if (address != m_options.peer_address)
            exchange(address, probe_timeout, [] {});
    }

    void gossip_round() {
        for (const auto& member : m_view.next_probes(now())) {
            exchange(member.peer_address(), probe_timeout,
                     [this, id = member.id()] { m_view.node_probe_failed(now(), id); });
        }
    }

    void probe_owners() {
        for (const auto& probe : m_view.owners_to_probe(now(), own_partitions())) {
            exchange(probe.address, owner_probe_timeout,
                     [this, number = probe.partition] { m_view.owner_probe_failed(now(), number); });
        }
    }

    /// Exchanges gossip with a node. Calls `failed` if there was no response in time.
    void exchange(const std::string& address, milliseconds timeout, std::function<void()> failed) {
        m_peers.exchange(address, m_view.make_message(), timeout,
                         [self = shared_from_this(), failed = std::move(failed)](peer_delivery delivery,
                                                                                 const pb::gossip& reply) {
                             if (delivery == peer_delivery::answered)
                                 self->take_gossip(reply);
                             else
                                 failed();
                         });
    }

    // ---- Ownership ----

    void tick_loop() {
        instant next_gossip{};
        instant next_owner_probe{};
        while (sleep_unless_stopping(tick_period)) {
            const auto at = now();
            for (const auto& [number, owned] : partitions())
                owned->tick();
            m_limited_targets.tick();
            m_relay.tick(at);
            m_relayed.tick(at);
            m_router->tick(at);
            m_exchange.tick(at, m_view.partitions(), partitions());
            if (at >= next_owner_probe) {
                next_owner_probe = at + owner_probe_period;
                probe_owners();
            }
            if (at >= next_gossip) {
                next_gossip = at + gossip_period;
                gossip_round();
            }
        }
    }

    /// Runs on its own thread, since it reads the table, which blocks.
    void ownership_loop() {
        while (sleep_unless_stopping(ownership_period)) {
            if (m_leaving)
                leaving_round(now());
            else
                ownership_round(now());
        }
    }

    /// Of a node that leaves: hands its partitions over. A partition that no other node takes is kept, so
    /// that its callers are served while other nodes leave too and are replaced.
    void leaving_round(instant at) {
        remove_closed();
        if (publish_owned())
            gossip_to_all();
        request_takeovers(at);
        update_relays();
        for (const auto& [number, owned] : partitions()) {
            if (owned->status() != partition_status::active || owned->is_table_failing())
                continue;
            const auto successor = m_view.find_successor_with_table(
                at, number, recently_asked(at, number, m_offers, offer_backoff));
            const bool taken = successor && offer(successor->member, number);
            if (!taken) {
                if (m_kept.insert(number).second)
                    log_event(log_level::info, "partition_kept",
                              {{"partition", std::to_string(number)},
                               {"asked", successor ? successor->member.id() : std::string{}}});
                continue;
            }
            log_event(log_level::info, "partition_handed_over",
                      {{"partition", std::to_string(number)}, {"to", successor->member.id()}});
            owned->release(release_wait);
            ask_to_take(successor->member.peer_address(), number);
        }
    }

    /// Asks a node whether it would take the partition, since it may leave too or not reach the table;
    /// blocks.
    bool offer(const pb::member& to, int number) {
        m_offers[{number, to.id()}] = now();
        pb::take_request request;
        request.set_partition(number);
        request.set_offer(true);
        const auto answer = std::make_shared<std::promise<bool>>();
        m_peers.take(to.peer_address(), request, take_timeout,
                     [answer](peer_delivery delivery, const pb::take_reply& reply) {
                         answer->set_value(delivery == peer_delivery::answered && reply.taken());
                     });
        return answer->get_future().get();
    }

    void ownership_round(instant at) {
        remove_closed();
        if (publish_owned())
            gossip_to_all();
        layout_round(at);
        request_takeovers(at);
        update_relays();
        move_to_better_owner(at);
        if (m_view.partitions() == 0 || (!m_joined && !m_view.is_owner_known(0)))
            return;
        if (!m_heads_read) {
            learn_heads();
            m_heads_read = true;
            m_heads_read_at = now();
        }
        auto excluded = own_partitions();
        for (const auto& [number, next] : m_next_take) {
            if (at < next)
                excluded.insert(number);
        }
        const bool settled = at - m_heads_read_at >= settle_after_start;
        for (const auto number : m_view.partitions_to_take(at, excluded, settled)) {
            m_next_take[number] = at + take_retry;
            take_if_ownerless(number);
        }
        refresh_assignments(at);
    }

    /// Moves a partition to a node that is clearly a better owner.
    void move_to_better_owner(instant at) {
        const auto move = m_view.suggest_move(at, own_partitions());
        if (!move || move != m_suggested_move) {
            m_suggested_move = move;
            m_suggested_since = at;
            return;
        }
        if (at - m_suggested_since < move_after)
            return;
        m_suggested_move.reset();
        const auto to = m_view.node(move->node);
        const auto owned = local_partition(move->partition);
        if (!to || !owned || !offer(*to, move->partition))
            return;
        log_event(log_level::info, "partition_moves",
                  {{"partition", std::to_string(move->partition)}, {"to", move->node}});
        owned->release(release_wait);
        ask_to_take(to->peer_address(), move->partition);
    }

    void take_if_ownerless(int number) {
        const auto head = current_head(number);
        if (head && m_view.may_take(now(), number, {head->owner(), head->peer_address(), head->epoch()},
                                    head->sequence()))
            take(number);
    }

    /// Starts to take a partition over. Returns false if this node is leaving, already has the partition, or
    /// owns more than `most_owned` partitions, in which case another node may be a better owner.
    bool take(int number, int most_owned = std::numeric_limits<int>::max()) {
        const auto layout = m_view.layout();
        if (number < 0 || number >= layout->partitions)
            return false;
        owned_partition_options options;
        options.number = number;
        options.partitions = layout->partitions;
        options.owner = m_view.owner_name();
        options.peer_address = m_options.peer_address;
        options.longest_lease = m_options.longest_lease;
        options.max_kept_tasks = m_options.max_kept_tasks;
        options.learned_run_times = m_options.learned_run_times;
        options.fair_shares = m_options.fair_shares;
        partition_environment environment;
        environment.rows = m_ports.rows.get();
        environment.commands = &m_relayed;
        environment.counters = &m_counters;
        environment.ask = [this](const advice_request& request, auto done) { ask(request, std::move(done)); };
        environment.holds = [this](int partition, const std::string& job, auto answered) {
            holds(partition, job, std::move(answered));
        };
        environment.announce = [this](const std::vector<target_transfer>& transfers) {
            m_exchange.announce(now(), transfers);
        };
        const auto owned = std::make_shared<owned_partition>(std::move(options), std::move(environment));
        declarations declared;
        std::shared_ptr<const std::vector<target_entry>> targets;
        {
            const std::lock_guard lock{m_mutex};
            const auto owns = static_cast<int>(m_owned.size()) - static_cast<int>(m_owned.contains(number));
            if (m_leaving || m_stopping || owns > most_owned || !m_owned.emplace(number, owned).second)
                return false;
            declared = m_declared;
            if (m_targets && covers(*layout, *m_targets))
                targets = m_targets;
        }
        wake_target_reader();
        if (declared.config)
            owned->set_declarations(declared);
        if (targets)
            owned->set_targets(layout, targets);
        owned->start();
        return true;
    }

    void remove_closed() {
        owned_map closed;
        {
            const std::lock_guard lock{m_mutex};
            for (auto it = m_owned.begin(); it != m_owned.end();) {
                if (it->second->status() == partition_status::closed) {
                    closed.insert(*it);
                    it = m_owned.erase(it);
                } else {
                    ++it;
                }
            }
        }
        for (const auto& [number, owned] : closed)
            owned->join();
    }

    /// Returns true if another partition has become active on this node.
    bool publish_owned() {
        std::map<int, std::uint64_t> active;
        for (const auto& [number, owned] : partitions()) {
            if (owned->status() == partition_status::active)
                active[number] = owned->epoch();
        }
        const auto changes = m_view.update_owned(active);
        for (const auto number : changes.lost) {
            if (const auto owned = local_partition(number))
                owned->close_as_lost("an owner with a later epoch is known");
        }
        return changes.gained;
    }

    /// Sends gossip to every live node immediately. Used only after a takeover, which is rare.
    void gossip_to_all() {
        for (const auto& member : m_view.others(true))
            send_gossip(member.peer_address());
    }

    /// If this node can't reach the table, asks nodes that can to take over its partitions.
    void request_takeovers(instant at) {
        for (const auto& [number, owned] : partitions()) {
            if (!owned->is_table_failing() || at < m_next_takeover_request)
                continue;
            m_next_takeover_request = at + takeover_request_period;
            // A node that was asked and hasn't taken the partition presumably can't reach the table either.
            const auto successor = m_view.find_successor_with_table(
                at, number, recently_asked(at, number, m_takeover_requests, takeover_request_backoff));
            if (!successor)
                continue;
            const auto& member = successor->member;
            m_takeover_requests[{number, member.id()}] = at;
            log_event(log_level::info, "heir_asked",
                      {{"partition", std::to_string(number)},
                       {"heir", member.id()},
                       {"owned", std::to_string(successor->owned)}});
            ask_to_take(member.peer_address(), number, successor->owned);
        }
    }

    /// Returns the nodes that were asked to take the partition a short time ago.
    static std::set<std::string> recently_asked(instant at, int number, const requests_by_node& requests,
                                                milliseconds backoff) {
        std::set<std::string> asked;
        for (const auto& [whom, when] : requests) {
            if (whom.first == number && at - when < backoff)
                asked.insert(whom.second);
        }
        return asked;
    }

    void ask_to_take(const std::string& address, int number, std::optional<int> most_owned = {}) {
        pb::take_request request;
        request.set_partition(number);
        if (most_owned)
            request.set_most_owned(*most_owned);
        m_peers.take(address, request, take_timeout, [](peer_delivery, const pb::take_reply&) {});
    }

    void holds(int partition, const std::string& job, std::function<void(std::optional<bool>)> done) {
        pb::job_call call;
        call.set_what(pb::job_call::holds);
        call.set_partition(partition);
        call.set_id(job);
        call.set_timeout_ms(holds_timeout.count());
        m_router->call(std::move(call), [done = std::move(done)](const pb::job_answer& answer) {
            if (answer.result() == pb::job_answer::ok)
                done(true);
            else
                done(answer.result() == pb::job_answer::not_found ? std::optional{false} : std::nullopt);
        });
    }

    /// Updates the nodes that relay commands and advice requests for this one.
    void update_relays() {
        if (partitions().empty())
            return;
        std::vector<relay_node> relays;
        for (const auto& member : m_view.others(false))
            relays.push_back({member.id(), member.peer_address(), member.data_centre(), member.cpu_milli()});
        m_relayed.set_relays(relays);
        const auto live = m_view.live_nodes();
        for (const auto& [number, owned] : partitions())
            owned->set_advice_relays(relays_of_partition(number, m_view.partitions(), live));
    }

    // ---- Advice ----

    void ask(const advice_request& request, std::function<void(std::optional<advice_reply>)> done) {
        const auto relay = m_view.node(request.node);
        const auto timeout = request.cost * 2 + advice_timeout_margin;
        if (!relay || request.node == m_options.node) {
            m_ports.advice->ask(request.step, request.targets, timeout, std::move(done));
            return;
        }
        m_peers.advise(relay->peer_address(), to_wire(request, timeout), timeout,
                       [done = std::move(done)](peer_delivery delivery, const pb::advice_answer& answer) {
                           done(delivery == peer_delivery::answered ? reply_from_wire(answer) : std::nullopt);
                       });
    }

    cell_options m_options;
    cell_ports m_ports;
    cell_peers m_peers;
    std::uint64_t m_incarnation;
    cell_view m_view;
    target_command_limiter m_limited_targets;
    command_relay m_relay;
    layout_keeper m_layout_keeper; ///< used by the ownership thread only
    relayed_targets m_relayed;
    std::shared_ptr<call_router> m_router;
    target_exchange m_exchange;
    instant m_started{};

    mutable std::mutex m_mutex; ///< guards the members up to the next blank line
    owned_map m_owned;
    declarations m_declared;
    std::shared_ptr<const std::vector<target_entry>> m_targets; ///< null: not known yet
    instant m_targets_grown{};

    // Used by the ownership thread only.
    std::map<int, instant> m_next_take;
    instant m_next_takeover_request{};
    requests_by_node m_takeover_requests;
    requests_by_node m_offers;
    std::set<int> m_kept; ///< partitions that no other node took when this one left
    instant m_next_layout{};
    instant m_next_assignments_read{};
    int m_last_partition_read = 0; ///< partition whose rows were read last
    bool m_heads_read = false;
    instant m_heads_read_at{};
    std::optional<cell_view::partition_move> m_suggested_move;
    instant m_suggested_since{};

    std::atomic<bool> m_should_create_layout{false}; ///< this node should create the layout
    std::atomic<int> m_peer_calls_in_hand{0};
    std::atomic<bool> m_joined{false};
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_stopping{false};
    std::mutex m_stop_mutex;
    std::condition_variable m_stop;
    std::vector<std::thread> m_threads;
};

cell_node::cell_node(cell_options options, cell_ports ports)
    : m_impl{std::make_shared<impl>(std::move(options), std::move(ports))} {}
cell_node::~cell_node() = default;

std::optional<std::string> cell_node::start() {
    return m_impl->start();
}
void cell_node::leave() {
    m_impl->leave();
}
void cell_node::give_up_calls() {
    m_impl->give_up_calls();
}
void cell_node::release_partitions(milliseconds longest) {
    m_impl->release_partitions(longest);
}
int cell_node::peer_calls_in_hand() const {
    return m_impl->peer_calls_in_hand();
}
void cell_node::stop() {
    m_impl->stop();
}
std::shared_ptr<const cell_config> cell_node::config() const {
    return m_impl->config();
}
void cell_node::call(pb::job_call call, job_callback done) {
    m_impl->call(std::move(call), std::move(done));
}
bool cell_node::ready() const {
    return m_impl->ready();
}
metrics& cell_node::counters() {
    return m_impl->m_counters;
}

} // namespace medlarhub

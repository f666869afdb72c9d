#include "cell/cell_node.h"

#include "cell/call_router.h"
#include "cell/cell_view.h"
#include "cell/command_relay.h"
#include "cell/command_wire.h"
#include "cell/layout_keeper.h"
#include "cell/narrow_targets.h"
#include "cell/partition_rows.h"
#include "cell/relayed_targets.h"
#include "cell/succession.h"
#include "cell/target_exchange.h"
#include "log.h"
#include "peers/cell_peers.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <limits>
#include <mutex>
#include <thread>

namespace medlarhub {

namespace {

using namespace std::chrono_literals;

constexpr milliseconds gossip_period{300};
/// The node to which a partition falls next asks its owner this often whether it lives.
constexpr milliseconds owner_probe_period{200};
constexpr milliseconds owner_probe_timeout{400};
constexpr milliseconds ownership_period{100};
constexpr milliseconds probe_timeout{500};
/// Before a node takes a partition that it knows nothing of, it lets the others be heard.
constexpr milliseconds settle_after_start{700};
/// The cell is divided when the list of targets hasn't grown for this long.
constexpr milliseconds targets_settled{1000};
constexpr milliseconds layout_retry{400};
/// A better owner is to be known this long before a partition is moved to it.
constexpr milliseconds move_after{3000};
constexpr milliseconds no_layout_retry{1000};
constexpr milliseconds take_retry{200};
constexpr milliseconds declared_wait{1000};
constexpr milliseconds source_retry{200};
constexpr milliseconds targets_wait{2000};
/// Between reads of changes of the targets' entries, which come many a second.
constexpr milliseconds targets_pause{200};
/// A node without use for them is woken when it gets one, and looks this often all the same.
constexpr milliseconds targets_unused_look{1000};
/// A node whose table doesn't answer asks others this often to take its partitions.
constexpr milliseconds heir_retry{300};
/// One that was asked isn't asked again for this long.
constexpr milliseconds heir_pause{3000};
constexpr milliseconds advice_slack{1500};
constexpr milliseconds release_wait{1500};
constexpr milliseconds take_timeout{500};
constexpr milliseconds exchange_timeout{500};
/// Between reads of the rows of one partition after the other.
constexpr milliseconds tenures_period{1000};
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
          m_orders{*m_ports.orders}, m_relay{m_orders}, m_layout_keeper{*m_ports.rows},
          m_relayed{m_view.owner_name(), m_orders,
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
                          // Who hears the answer lives as long as this node.
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
        loop([this] { follow_declarations(); });
        loop([this] { join_cell(); });
        loop([this] { tick_loop(); });
        loop([this] { ownership_loop(); });
        loop([this] { follow_targets(); });
        return m_options.peer_address;
    }

    void hand_over() {
        m_leaving = true;
        m_view.leave();
        for (const auto& [number, owned] : partitions()) {
            owned->release(release_wait);
            tell_heir(number);
        }
        gossip_round();
    }

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
        // A partition whose takeover is late takes its own callers only.
        return m_view.owners_known() * 2 > static_cast<std::size_t>(partitions);
    }

    void call(pb::job_call call, job_callback done) {
        const auto layout = m_view.layout();
        const int partitions = layout->partitions;
        const auto home = home_partition_of(*layout, call.team(), call.id());
        const bool counts = call.what() == pb::job_call::count_pending;
        if (partitions == 0 || (!home && !counts))
            return done(make_job_answer(pb::job_answer::not_run, last_reason(), no_layout_retry));
        if (counts)
            return m_router->call_all(std::move(call), partitions, std::move(done));
        call.set_partition(*home);
        m_router->call(call, [this, call, partitions, done = std::move(done)](const pb::job_answer& answer) {
            // A job of a queue that is open to all, or was, may have come without its team.
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

    // ---- Peers ----

    pb::gossip on_exchange(const pb::gossip& message) override {
        take_gossip(message);
        return m_view.make_reply(now(), message);
    }

    void on_jobs(const pb::job_calls& calls, std::function<void(pb::job_answers)> done) override {
        m_router->answer_peer(calls, std::move(done));
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
        const auto most_owned =
            request.has_most_owned() ? request.most_owned() : std::numeric_limits<int>::max();
        reply.set_taken(take(request.partition(), most_owned));
        return reply;
    }

    pb::target_promise on_request_targets(const pb::target_request& request) override {
        return m_exchange.answer(request);
    }

    pb::target_notice_reply on_announce_targets(const pb::target_notice& notice) override {
        auto reply = m_exchange.take(notice);
        if (reply.taken())
            relay_own_targets();
        return reply;
    }

    metrics m_counters;

private:
    using owned_map = std::map<int, std::shared_ptr<owned_partition>>;

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

    /// False once the node stops.
    bool pause(milliseconds time) {
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

    void follow_declarations() {
        bool reached = true;
        while (!m_stopping) {
            const auto seen = m_ports.declared->next(declared_wait);
            if (!seen) {
                if (reached)
                    log_event(log_level::warning, "declarations_lost", {{"reason", last_reason()}});
                reached = false;
                pause(source_retry);
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

    /// Only owners read the targets' entries, and the node that divides the cell.
    void follow_targets() {
        bool reached = true;
        while (!m_stopping) {
            if (!reads_targets()) {
                wait_for_use_of_targets();
                continue;
            }
            auto seen = m_ports.targets->next(targets_wait);
            if (!seen) {
                if (reached)
                    log_event(log_level::warning, "targets_lost", {{"reason", last_reason()}});
                reached = false;
                pause(source_retry);
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
            pass_targets_on();
            pause(targets_pause);
        }
    }

    bool reads_targets() const { return m_divides || !partitions().empty(); }

    void wait_for_use_of_targets() {
        std::unique_lock lock{m_stop_mutex};
        m_stop.wait_for(lock, targets_unused_look, [&] { return m_stopping || reads_targets(); });
    }

    /// To be called when this node may have got a use for the targets' entries.
    void wake_follower_of_targets() {
        {
            const std::lock_guard lock{m_stop_mutex}; // it is either before its look or waits
        }
        m_stop.notify_all();
    }

    /// Gives each owned partition its targets.
    void pass_targets_on() {
        const auto layout = m_view.layout();
        const auto targets = known_targets();
        if (!targets)
            return;
        for (const auto& [number, owned] : partitions())
            owned->set_targets(layout, targets);
        relay_own_targets();
    }

    void relay_own_targets() {
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

    /// Of a target that was passed on by an owner that died before it told so, only the row is left.
    void read_tenures_again(instant at) {
        const auto owned = partitions();
        if (at < m_next_tenures || owned.empty() || m_view.partitions() < 2)
            return;
        m_next_tenures = at + tenures_period;
        m_tenures_read = (m_tenures_read + 1) % m_view.partitions();
        const auto tenures = read_tenures(*m_ports.rows, m_tenures_read);
        if (!tenures)
            return;
        for (const auto& [number, partition] : owned)
            partition->learn_tenures(*tenures);
        relay_own_targets();
    }

    // ---- The layout ----

    /// Learns how the cell is divided. One node divides it when it is new; owners add racks.
    void layout_round(instant at) {
        if (at < m_next_layout)
            return;
        m_next_layout = at + layout_retry;
        m_divides = m_joined && m_view.divides(at);
        if (m_divides)
            wake_follower_of_targets();
        const auto known = *m_view.layout();
        std::vector<target_entry> targets;
        std::shared_ptr<const cell_config> config;
        instant grown;
        {
            const std::lock_guard lock{m_mutex};
            if (m_targets)
                targets = *m_targets;
            config = m_declared.config;
            grown = m_targets_grown;
        }
        if (!config)
            return;
        const bool owner = !partitions().empty() && !targets.empty();
        const bool lacks = !covers(known, *config) || (owner && !covers(known, targets));
        if ((known.partitions > 0 && !lacks) || !m_layout_keeper.refresh())
            return;
        auto next = m_layout_keeper.layout();
        const bool divide = m_divides && next.partitions == 0 && !targets.empty() &&
                            at - grown >= targets_settled && at - m_started >= targets_settled;
        if (divide)
            next = layout_for(targets, m_options.partitions);
        if (next.partitions > 0 && (divide || owner)) {
            next = with_racks_of(std::move(next), targets);
            next = with_teams_of(std::move(next), *config);
        }
        if (next != m_layout_keeper.layout() && !m_layout_keeper.replace(next))
            return;
        if (m_view.use_layout(m_layout_keeper.layout(), m_layout_keeper.version()))
            pass_targets_on();
    }

    /// Registers this node and learns of the others.
    void join_cell() {
        for (const auto& seed : m_options.seeds)
            greet(seed);
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
        } while (pause(source_retry));
    }

    /// After a restart of all nodes none could tell this one who the owners were.
    void learn_heads() {
        for (int number = 0; number < m_view.partitions(); ++number) {
            if (m_view.owner_known(number))
                continue;
            const auto head = look(number);
            if (head && !head->owner().empty())
                m_view.learn_owner(number, {head->owner(), head->peer_address(), head->epoch()});
        }
    }

    std::optional<pb::partition_head> look(int number) {
        return partition_rows{*m_ports.rows, number, m_view.owner_name(), m_options.peer_address,
                              m_options.longest_lease}
            .look();
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
        if (m_view.take_message(now(), message))
            pass_targets_on();
    }

    void greet(const std::string& address) {
        if (address != m_options.peer_address)
            exchange(address, probe_timeout, [] {});
    }

    void gossip_round() {
        for (const auto& member : m_view.next_probes(now())) {
            exchange(member.peer_address(), probe_timeout,
                     [this, id = member.id()] { m_view.probe_lost(now(), id); });
        }
    }

    void probe_owners() {
        for (const auto& probe : m_view.owners_to_probe(now(), own_partitions())) {
            exchange(probe.address, owner_probe_timeout,
                     [this, number = probe.partition] { m_view.owner_probe_lost(now(), number); });
        }
    }

    /// `lost` is called when there was no answer in time, while the node lives.
    void exchange(const std::string& address, milliseconds timeout, std::function<void()> lost) {
        m_peers.exchange(address, m_view.make_message(now()), timeout,
                         [self = shared_from_this(), lost = std::move(lost)](peer_delivery delivery,
                                                                             const pb::gossip& reply) {
                             if (delivery == peer_delivery::answered)
                                 self->take_gossip(reply);
                             else
                                 lost();
                         });
    }

    // ---- Ownership ----

    void tick_loop() {
        instant next_gossip{};
        instant next_owner_probe{};
        while (pause(tick_period)) {
            const auto at = now();
            for (const auto& [number, owned] : partitions())
                owned->tick();
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

    /// On a thread of its own, since it reads the table.
    void ownership_loop() {
        while (pause(ownership_period)) {
            if (!m_leaving)
                ownership_round(now());
        }
    }

    void ownership_round(instant at) {
        drop_closed();
        if (publish_owned())
            tell_all();
        layout_round(at);
        seek_heirs(at);
        set_helpers();
        move_to_better(at);
        if (m_view.partitions() == 0 || (!m_joined && !m_view.owner_known(0)))
            return;
        if (!m_heads_read) {
            learn_heads();
            m_heads_read = true;
            m_heads_read_at = now();
        }
        auto passed_over = own_partitions();
        for (const auto& [number, next] : m_next_take) {
            if (at < next)
                passed_over.insert(number);
        }
        const bool settled = at - m_heads_read_at >= settle_after_start;
        for (const auto number : m_view.due_partitions(at, passed_over, settled)) {
            m_next_take[number] = at + take_retry;
            look_and_take(number);
        }
        read_tenures_again(at);
    }

    /// Hands a partition to a node that is clearly better for it.
    void move_to_better(instant at) {
        const auto move = m_view.better_owner(at, own_partitions());
        if (!move || move != m_better_owner) {
            m_better_owner = move;
            m_better_since = at;
            return;
        }
        if (at - m_better_since < move_after)
            return;
        m_better_owner.reset();
        log_event(log_level::info, "partition_moves",
                  {{"partition", std::to_string(move->partition)}, {"to", move->node}});
        if (const auto owned = local_partition(move->partition))
            owned->release(release_wait);
        tell_heir(move->partition);
    }

    void look_and_take(int number) {
        const auto head = look(number);
        if (head && m_view.may_take(now(), number, {head->owner(), head->peer_address(), head->epoch()},
                                    head->sequence()))
            take(number);
    }

    /// False when nothing changes: this node leaves, has the partition, or owns more than that, while others
    /// may be free.
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
        partition_environment environment;
        environment.rows = m_ports.rows.get();
        environment.orders = &m_relayed;
        environment.counters = &m_counters;
        environment.ask = [this](const advice_request& question, auto done) {
            ask(question, std::move(done));
        };
        environment.shared_outage = [this] { return m_view.shared_outage(now()); };
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
        wake_follower_of_targets();
        if (declared.config)
            owned->set_declarations(declared);
        if (targets)
            owned->set_targets(layout, targets);
        owned->start();
        return true;
    }

    void drop_closed() {
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

    /// True when another partition has become active here.
    bool publish_owned() {
        std::map<int, std::uint64_t> active;
        for (const auto& [number, owned] : partitions()) {
            if (owned->status() == partition_status::active)
                active[number] = owned->epoch();
        }
        const auto news = m_view.set_own(active);
        for (const auto number : news.deposed) {
            if (const auto owned = local_partition(number))
                owned->depose("a later owner is known");
        }
        return news.any;
    }

    /// Tells every live node at once who owns what; only on a takeover, which is rare.
    void tell_all() {
        for (const auto& member : m_view.others(true))
            greet(member.peer_address());
    }

    /// Asks nodes that hear from the table to take partitions whose owner, this node, doesn't.
    void seek_heirs(instant at) {
        for (const auto& [number, owned] : partitions()) {
            if (!owned->troubled() || at < m_next_heir)
                continue;
            m_next_heir = at + heir_retry;
            // One that was asked and didn't take it is turned away as well.
            std::set<std::string> asked;
            for (const auto& [whom, when] : m_asked_heirs) {
                if (whom.first == number && at - when < heir_pause)
                    asked.insert(whom.second);
            }
            const auto heir = m_view.heir_with_table(at, number, asked);
            if (!heir)
                continue;
            const auto& member = heir->member;
            m_asked_heirs[{number, member.id()}] = at;
            log_event(log_level::info, "heir_asked",
                      {{"partition", std::to_string(number)},
                       {"heir", member.id()},
                       {"owned", std::to_string(heir->owned)}});
            ask_to_take(member.peer_address(), number, heir->owned);
        }
    }

    void tell_heir(int number) {
        if (const auto heir = m_view.heir_of(now(), number))
            ask_to_take(heir->peer_address(), number);
    }

    void ask_to_take(const std::string& address, int number, std::optional<int> most_owned = {}) {
        pb::take_request request;
        request.set_partition(number);
        if (most_owned)
            request.set_most_owned(*most_owned);
        m_peers.take(address, request, take_timeout, [](peer_delivery, const pb::take_reply&) {});
    }

    /// The nodes that ask for advice and carry out commands for this one.
    void set_helpers() {
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

    void ask(const advice_request& question, std::function<void(std::optional<advice_reply>)> done) {
        const auto adviser = m_view.node(question.node);
        const auto timeout = question.cost * 2 + advice_slack;
        if (!adviser || question.node == m_options.node) {
            m_ports.advice->ask(question.step, question.targets, timeout, std::move(done));
            return;
        }
        m_peers.advise(adviser->peer_address(), to_wire(question, timeout), timeout,
                       [done = std::move(done)](peer_delivery delivery, const pb::advice_answer& answer) {
                           done(delivery == peer_delivery::answered ? reply_from_wire(answer) : std::nullopt);
                       });
    }

    cell_options m_options;
    cell_ports m_ports;
    cell_peers m_peers;
    std::uint64_t m_incarnation;
    cell_view m_view;
    narrow_targets m_orders;
    command_relay m_relay;
    layout_keeper m_layout_keeper; ///< used by the ownership thread only
    relayed_targets m_relayed;
    std::shared_ptr<call_router> m_router;
    target_exchange m_exchange;
    instant m_started{};

    mutable std::mutex m_mutex; ///< guards all that follows up to the next blank line
    owned_map m_owned;
    declarations m_declared;
    std::shared_ptr<const std::vector<target_entry>> m_targets; ///< null: not known yet
    instant m_targets_grown{};

    // Used by the ownership thread only.
    std::map<int, instant> m_next_take;
    instant m_next_heir{};
    std::map<std::pair<int, std::string>, instant> m_asked_heirs; ///< by partition and node
    instant m_next_layout{};
    instant m_next_tenures{};
    int m_tenures_read = 0; ///< the partition whose rows were read last
    bool m_heads_read = false;
    instant m_heads_read_at{};
    std::optional<cell_view::partition_move> m_better_owner;
    instant m_better_since{};

    std::atomic<bool> m_divides{false}; ///< this node is to divide the cell
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
void cell_node::hand_over() {
    m_impl->hand_over();
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

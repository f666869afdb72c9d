#include "cell/cell_node.h"

#include "cell/call_router.h"
#include "cell/cap_sync.h"
#include "cell/command_relay.h"
#include "cell/command_wire.h"
#include "cell/layout_keeper.h"
#include "cell/narrow_targets.h"
#include "cell/partition_rows.h"
#include "cell/relayed_targets.h"
#include "cell/succession.h"
#include "log.h"
#include "peers/cell_peers.h"

#include "medlarhub/hash.h"
#include "medlarhub/membership.h"
#include "medlarhub/reason.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace medlarhub {

namespace {

using namespace std::chrono_literals;

constexpr milliseconds gossip_period{300};
/// The node to which a partition falls next asks its owner this often whether it lives.
constexpr milliseconds owner_probe_period{200};
constexpr milliseconds owner_probe_timeout{400};
/// How long a lost probe of an owner is a reason to look whether it still writes.
constexpr milliseconds owner_doubt{1500};
constexpr milliseconds ownership_period{100};
constexpr milliseconds probe_timeout{500};
constexpr milliseconds suspect_after{600};
/// Nodes that one node probes a round, in a cell of a few and in a larger one.
constexpr std::size_t probes_in_small = 2;
constexpr std::size_t probes_in_large = 1;
constexpr std::size_t large_cell = 24;
/// Before a node takes a partition that it knows nothing of, it lets the others be heard.
constexpr milliseconds settle_after_start{700};
/// The cell is divided when the list of targets hasn't grown for this long.
constexpr milliseconds targets_settled{1000};
constexpr milliseconds layout_retry{400};
/// A better owner is to be known this long before a partition is moved to it.
constexpr milliseconds move_after{3000};
constexpr milliseconds no_layout_retry{1000};
/// Between looks at how teams' limits are divided.
constexpr milliseconds cap_period{120};
/// ... while each team has one partition, and others only ask for jobs of queues that are open to all.
constexpr milliseconds idle_cap_period{400};
constexpr milliseconds take_retry{200};
constexpr milliseconds declared_wait{1000};
constexpr milliseconds source_retry{200};
constexpr milliseconds targets_wait{2000};
/// Between reads of changes of the targets' entries, which come many a second.
constexpr milliseconds targets_pause{200};
/// An owner that is said to be dead has its partition taken only if its head row stood still this long.
constexpr milliseconds head_still{350};
/// A node whose table doesn't answer asks others this often to take its partitions.
constexpr milliseconds heir_retry{300};
/// One that was asked isn't asked again for this long.
constexpr milliseconds heir_pause{3000};
constexpr milliseconds advice_slack{1500};
constexpr milliseconds release_wait{1500};
constexpr milliseconds take_timeout{500};
/// Another node heard from the table this lately: it isn't out for all.
constexpr milliseconds table_heard{2000};
/// What other nodes said of the table counts this long.
constexpr milliseconds report_fresh{1500};
/// So many of them without an answer, and none with one, show that the table is out for all.
constexpr std::size_t outage_witnesses = 4;
constexpr milliseconds candidates_kept{200};
constexpr auto node_prefix = "/node/";

struct owner_view {
    std::string owner;
    std::string address;
    std::uint64_t epoch = 0;
};

} // namespace

class cell_node::impl final : public cell_handler,
                              public owner_lookup,
                              public std::enable_shared_from_this<impl> {
public:
    impl(cell_options options, cell_ports ports)
        : m_options{std::move(options)}, m_ports{std::move(ports)}, m_peers{*this},
          m_incarnation{static_cast<std::uint64_t>(to_ms(now()))}, m_orders{*m_ports.orders},
          m_relay{m_orders}, m_layout_keeper{*m_ports.rows},
          m_relayed{self_owner(), m_orders,
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
          m_members{make_self(), {.suspect_after = suspect_after}, random_bits()} {}

    std::optional<std::string> start() {
        m_started = now();
        if (!m_peers.start(m_options.peer_address))
            return {};
        loop([this] { follow_declarations(); });
        loop([this] { join_cell(); });
        loop([this] { tick_loop(); });
        loop([this] { ownership_loop(); });
        loop([this] { follow_targets(); });
        loop([this] { divide_caps(); });
        return m_options.peer_address;
    }

    void hand_over() {
        m_leaving = true;
        {
            const std::lock_guard lock{m_mutex};
            m_members.leave();
        }
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
        const std::lock_guard lock{m_mutex};
        if (m_leaving || !m_declared.config || m_layout.partitions == 0)
            return false;
        // A partition whose takeover is late takes its own callers only.
        return m_owners.size() * 2 > static_cast<std::size_t>(m_layout.partitions);
    }

    void call(pb::job_call call, job_callback done) {
        std::optional<int> home;
        int partitions = 0;
        {
            const std::lock_guard lock{m_mutex};
            partitions = m_layout.partitions;
            home = home_partition_of(m_layout, call.team(), call.id(), widest_gang_cpu_milli(call.spec()));
        }
        const bool counts = call.what() == pb::job_call::count_pending;
        if (partitions == 0 || (!home && !counts))
            return done(make_job_answer(pb::job_answer::not_run, last_reason(), no_layout_retry));
        if (counts)
            return m_router->call_all(std::move(call), partitions, std::move(done));
        call.set_partition(*home);
        if (partitions == 1 || call.what() == pb::job_call::submit)
            return m_router->call(std::move(call), std::move(done));
        // Wide gangs are kept elsewhere than their team's other jobs, and a job of a queue that is open to
        // all, or was, may have come without its team.
        m_router->call(call, [this, call, partitions, done = std::move(done)](const pb::job_answer& answer) {
            if (answer.result() != pb::job_answer::not_found)
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
        const std::lock_guard lock{m_mutex};
        const auto found = m_owners.find(number);
        const bool elsewhere = found != m_owners.end() && found->second.address != m_options.peer_address;
        return elsewhere ? found->second.address : std::string{};
    }

    // ---- Peers ----

    pb::gossip on_exchange(const pb::gossip& message) override {
        take_gossip(message);
        auto reply = make_gossip();
        const std::lock_guard lock{m_mutex};
        if (message.layout_version() < m_layout_version)
            reply.set_layout(to_text(m_layout));
        return reply;
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
        if (!m_leaving) {
            take(request.partition());
            reply.set_taken(true);
        }
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

    int partition_count() const {
        const std::lock_guard lock{m_mutex};
        return m_layout.partitions;
    }

    std::string self_owner() const { return m_options.node + "/" + std::to_string(m_incarnation); }

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
            m_table_heard = now();
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
            if (partitions().empty() && !m_divides) {
                pause(tick_period);
                continue;
            }
            const auto seen = m_ports.targets->next(targets_wait);
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
                if (seen->size() != m_targets.size())
                    m_targets_grown = now();
                m_targets = *seen;
                m_targets_known = true;
            }
            pass_targets_on();
            pause(targets_pause);
        }
    }

    /// Gives each owned partition its targets.
    void pass_targets_on() {
        cell_layout layout;
        std::vector<target_entry> targets;
        {
            const std::lock_guard lock{m_mutex};
            if (!m_targets_known)
                return;
            layout = m_layout;
            targets = m_targets;
        }
        std::vector<target_entry> all_owned;
        for (const auto& [number, owned] : partitions()) {
            const auto slice = slice_of(layout, targets, number);
            owned->set_targets(slice);
            all_owned.insert(all_owned.end(), slice.begin(), slice.end());
        }
        m_relayed.set_targets(all_owned);
    }

    // ---- The layout ----

    /// Learns how the cell is divided. One node divides it when it is new; owners add racks.
    void layout_round(instant at) {
        if (at < m_next_layout)
            return;
        m_next_layout = at + layout_retry;
        cell_layout known;
        std::vector<target_entry> targets;
        std::shared_ptr<const cell_config> config;
        instant grown;
        {
            const std::lock_guard lock{m_mutex};
            known = m_layout;
            targets = m_targets;
            config = m_declared.config;
            grown = m_targets_grown;
            m_divides =
                known.partitions == 0 && m_joined && successor_of(0, candidates(at), {}) == m_options.node;
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
            next = with_teams_of(std::move(next), *config, capacity_of(targets));
        }
        if (next != m_layout_keeper.layout() && !m_layout_keeper.replace(next))
            return;
        use_layout(m_layout_keeper.layout(), m_layout_keeper.version());
    }

    void use_layout(const cell_layout& layout, std::int64_t version) {
        {
            const std::lock_guard lock{m_mutex};
            if (version <= m_layout_version)
                return;
            m_layout = layout;
            m_layout_version = version;
        }
        log_event(log_level::info, "layout_known",
                  {{"partitions", std::to_string(layout.partitions)},
                   {"racks", std::to_string(layout.racks.size())},
                   {"teams", std::to_string(layout.teams.size())}});
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
        for (int number = 0; number < partition_count(); ++number) {
            if (owner_known(number))
                continue;
            partition_rows rows{*m_ports.rows, number, self_owner(), m_options.peer_address};
            const auto head = rows.look();
            if (!head || head->owner().empty())
                continue;
            const std::lock_guard lock{m_mutex};
            learn_owner(number, {head->owner(), head->peer_address(), head->epoch()});
        }
    }

    bool owner_known(int number) const {
        const std::lock_guard lock{m_mutex};
        return m_owners.contains(number);
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
        const std::lock_guard lock{m_mutex};
        m_members.merge(now(), member);
    }

    // ---- Gossip ----

    pb::gossip make_gossip() {
        pb::gossip message;
        message.set_from(m_options.node);
        message.set_incarnation(m_incarnation);
        message.set_store_age_ms((now() - m_table_heard.load()).count());
        const std::lock_guard lock{m_mutex};
        message.set_layout_version(m_layout_version);
        for (const auto& update : m_members.updates())
            *message.add_members() = update;
        for (const auto& [number, view] : m_owners) {
            auto& summary = *message.add_partitions();
            summary.set_partition(number);
            summary.set_owner(view.owner);
            summary.set_epoch(view.epoch);
            summary.set_owner_address(view.address);
        }
        return message;
    }

    void take_gossip(const pb::gossip& message) {
        const auto at = now();
        if (!message.layout().empty())
            take_layout(message);
        const std::lock_guard lock{m_mutex};
        for (const auto& update : message.members())
            m_members.merge(at, update);
        for (const auto& summary : message.partitions()) {
            if (summary.partition() < 0 || summary.partition() >= m_layout.partitions)
                continue;
            learn_owner(summary.partition(), {summary.owner(), summary.owner_address(), summary.epoch()});
        }
        m_reports[message.from()] = {at, at - milliseconds{message.store_age_ms()}};
    }

    void take_layout(const pb::gossip& message) {
        const auto layout = parse_layout(message.layout());
        if (layout)
            return use_layout(*layout, message.layout_version());
        log_event(log_level::warning, "layout_unreadable",
                  {{"from", message.from()}, {"reason", last_reason()}});
    }

    void learn_owner(int number, const owner_view& view) {
        auto& known = m_owners[number];
        if (view.epoch <= known.epoch)
            return;
        known = view;
        m_router->owner_changed(number);
    }

    void greet(const std::string& address) {
        if (address == m_options.peer_address)
            return;
        m_peers.exchange(address, make_gossip(), probe_timeout,
                         [self = shared_from_this()](peer_delivery delivery, const pb::gossip& reply) {
                             if (delivery == peer_delivery::answered)
                                 self->take_gossip(reply);
                         });
    }

    void gossip_round() {
        std::vector<pb::member> probes;
        {
            const std::lock_guard lock{m_mutex};
            const auto at = now();
            m_members.set_without_table(!hears_table(at));
            m_members.tick(at);
            probes = m_members.next_probes(m_members.size() > large_cell ? probes_in_large : probes_in_small);
        }
        for (const auto& member : probes) {
            m_peers.exchange(
                member.peer_address(), make_gossip(), probe_timeout,
                [self = shared_from_this(), member](peer_delivery delivery, const pb::gossip& reply) {
                    if (delivery == peer_delivery::answered)
                        return self->take_gossip(reply);
                    const std::lock_guard lock{self->m_mutex};
                    self->m_members.probe_failed(now(), member.id());
                });
        }
    }

    /// How the table was for another node when it last sent a message.
    struct peer_report {
        instant received{};
        instant table_heard{};
    };

    /// Each partition's heir watches its owner, so that a death is noticed fast without all probing all.
    void probe_owners() {
        std::vector<std::pair<int, std::string>> probes;
        {
            const std::lock_guard lock{m_mutex};
            const auto live = candidates(now());
            for (const auto& [number, view] : m_owners) {
                if (view.owner.empty() || m_owned.contains(number) ||
                    successor_of(number, live, node_of(view.owner)) != m_options.node)
                    continue;
                probes.emplace_back(number, view.address);
            }
        }
        for (const auto& [number, address] : probes) {
            m_peers.exchange(address, make_gossip(), owner_probe_timeout,
                             [self = shared_from_this(), number = number](peer_delivery delivery,
                                                                          const pb::gossip& reply) {
                                 if (delivery == peer_delivery::answered)
                                     return self->take_gossip(reply);
                                 const std::lock_guard lock{self->m_mutex};
                                 self->m_owner_doubts[number] = now();
                             });
        }
    }

    bool shared_outage() const {
        const auto at = now();
        const std::lock_guard lock{m_mutex};
        const auto others = m_members.live().size() - 1;
        std::size_t without = 0;
        for (const auto& [node, report] : m_reports) {
            if (at - report.received >= report_fresh)
                continue;
            if (at - report.table_heard < table_heard)
                return false;
            ++without;
        }
        return without >= std::min(others, outage_witnesses);
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
        const int count = partition_count();
        if (count == 0 || (!m_joined && !owner_known(0)))
            return;
        if (!m_heads_read) {
            learn_heads();
            m_heads_read = true;
            m_heads_read_at = now();
        }
        std::vector<int> wanted;
        {
            const std::lock_guard lock{m_mutex};
            auto live = candidates(at);
            for (int number = 0; number < count; ++number) {
                if (m_owned.contains(number) || at < m_next_take[number])
                    continue;
                const auto known = m_owners.find(number);
                const bool owned = known != m_owners.end() && owner_lives(known->second.owner) &&
                                   !doubted(at, number, known->second.owner);
                const auto before = known == m_owners.end() ? "" : node_of(known->second.owner);
                const bool own_again = before == m_options.node;
                if (owned)
                    continue;
                const auto heir = successor_of(number, live, before);
                count_owned(live, heir);
                if (heir != m_options.node && !own_again)
                    continue;
                if (known == m_owners.end() && at - m_heads_read_at < settle_after_start)
                    continue;
                m_next_take[number] = at + take_retry;
                wanted.push_back(number);
            }
        }
        for (const auto number : wanted)
            look_and_take(number);
    }

    std::vector<candidate_owner> candidates(instant at) {
        if (at - m_candidates_at < candidates_kept)
            return m_candidates;
        std::vector<candidate_owner> live;
        for (const auto& member : m_members.all()) {
            const bool self = member.id() == m_options.node;
            if (member.state() == pb::member::dead || member.state() == pb::member::left)
                continue;
            const bool hears = self ? hears_table(at) : !member.without_table();
            live.push_back({member.id(), hears, member.cpu_milli(), 0});
        }
        for (const auto& [number, view] : m_owners) {
            if (owner_lives(view.owner))
                count_owned(live, node_of(view.owner));
        }
        m_candidates = live;
        m_candidates_at = at;
        return live;
    }

    bool hears_table(instant at) const {
        const auto heard = m_table_heard.load();
        return heard != instant{} && at - heard < table_heard;
    }

    static void count_owned(std::vector<candidate_owner>& live, const std::string& node) {
        const auto found = std::ranges::find(live, node, &candidate_owner::node);
        if (found != live.end())
            ++found->owned;
    }

    /// Hands a partition to a node that is clearly better for it.
    void move_to_better(instant at) {
        std::optional<std::pair<int, std::string>> move;
        {
            const std::lock_guard lock{m_mutex};
            const auto live = candidates(at);
            const auto self = std::ranges::find(live, m_options.node, &candidate_owner::node);
            for (const auto& [number, owned] : m_owned) {
                const auto heir = std::ranges::find(live, successor_of(number, live, m_options.node),
                                                    &candidate_owner::node);
                if (self != live.end() && heir != live.end() && worth_moving(*self, *heir))
                    move = {number, heir->node};
            }
        }
        if (!move || move != m_better_owner) {
            m_better_owner = move;
            m_better_since = at;
            return;
        }
        if (at - m_better_since < move_after)
            return;
        m_better_owner.reset();
        log_event(log_level::info, "partition_moves",
                  {{"partition", std::to_string(move->first)}, {"to", move->second}});
        if (const auto owned = local_partition(move->first))
            owned->release(release_wait);
        tell_heir(move->first);
    }

    bool doubted(instant at, int number, const std::string& owner) const {
        const auto doubt = m_owner_doubts.find(number);
        return m_members.suspected(node_of(owner)) ||
               (doubt != m_owner_doubts.end() && at - doubt->second < owner_doubt);
    }

    /// Whether the owner, a node in one incarnation, is alive as far as is known here.
    bool owner_lives(const std::string& owner) const {
        if (owner.empty())
            return false;
        if (owner == m_options.node + "/" + std::to_string(m_incarnation))
            return m_owned_names.contains(owner);
        const auto member = m_members.find(node_of(owner));
        if (!member || !m_members.alive(node_of(owner)))
            return false;
        // Refuting a suspicion raises the incarnation by little, a restart by the time between.
        constexpr std::uint64_t restarted = 200;
        const auto incarnation = std::stoull(owner.substr(owner.rfind('/') + 1));
        return member->incarnation() < incarnation + restarted;
    }

    void look_and_take(int number) {
        partition_rows rows{*m_ports.rows, number, self_owner(), m_options.peer_address};
        const auto head = rows.look();
        if (!head)
            return;
        {
            const std::lock_guard lock{m_mutex};
            learn_owner(number, {head->owner(), head->peer_address(), head->epoch()});
            if (owner_lives(head->owner()) && !doubted(now(), number, head->owner()))
                return;
            // Whoever writes lives, even if it was too busy to answer probes; but for this node's life
            // before.
            const bool over = head->owner().empty() || node_of(head->owner()) == m_options.node;
            auto& seen = m_heads[number];
            const auto at = now();
            if (!over && seen.sequence != head->sequence()) {
                seen = {head->sequence(), at};
                return;
            }
            if (!over && at - seen.at < head_still)
                return;
        }
        take(number);
    }

    void take(int number) {
        owned_partition_options options;
        options.number = number;
        options.owner = self_owner();
        options.peer_address = m_options.peer_address;
        options.lease = m_options.lease;
        options.partitions = partition_count();
        partition_environment environment;
        environment.rows = m_ports.rows.get();
        environment.orders = &m_relayed;
        environment.counters = &m_counters;
        environment.ask = [this](const advice_question& question, auto done) {
            ask(question, std::move(done));
        };
        environment.shared_outage = [this] { return shared_outage(); };
        const auto owned = std::make_shared<owned_partition>(std::move(options), std::move(environment));
        declarations declared;
        std::optional<std::vector<target_entry>> targets;
        {
            const std::lock_guard lock{m_mutex};
            if (m_leaving || m_stopping || number < 0 || number >= m_layout.partitions ||
                !m_owned.emplace(number, owned).second)
                return;
            declared = m_declared;
            if (m_targets_known && covers(m_layout, m_targets))
                targets = slice_of(m_layout, m_targets, number);
        }
        if (declared.config)
            owned->set_declarations(declared);
        if (targets)
            owned->set_targets(*targets);
        owned->start();
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
        bool news = false;
        std::vector<std::shared_ptr<owned_partition>> deposed;
        {
            const std::lock_guard lock{m_mutex};
            m_owned_names.clear();
            for (const auto& [number, epoch] : active) {
                news = news || m_owners[number].epoch < epoch;
                if (m_owners[number].epoch > epoch)
                    deposed.push_back(m_owned.at(number));
                learn_owner(number, {self_owner(), m_options.peer_address, epoch});
                m_owned_names.insert(self_owner());
            }
        }
        for (const auto& owned : deposed)
            owned->depose("a later owner is known");
        return news;
    }

    /// Tells every live node at once who owns what; only on a takeover, which is rare.
    void tell_all() {
        std::vector<std::string> addresses;
        {
            const std::lock_guard lock{m_mutex};
            for (const auto& node : m_members.live()) {
                if (node != m_options.node)
                    addresses.push_back(m_members.find(node)->peer_address());
            }
        }
        for (const auto& address : addresses)
            greet(address);
    }

    /// Asks nodes that hear from the table to take partitions whose owner, this node, doesn't.
    void seek_heirs(instant at) {
        for (const auto& [number, owned] : partitions()) {
            if (!owned->troubled() || at < m_next_heir)
                continue;
            m_next_heir = at + heir_retry;
            std::string heir;
            std::string address;
            {
                const std::lock_guard lock{m_mutex};
                auto live = candidates(at);
                // One that was asked and didn't take it is turned away as well.
                std::erase_if(live, [&, number = number](const candidate_owner& each) {
                    const auto asked = m_asked_heirs.find({number, each.node});
                    return asked != m_asked_heirs.end() && at - asked->second < heir_pause;
                });
                heir = successor_of(number, live, m_options.node);
                const auto found = std::ranges::find(live, heir, &candidate_owner::node);
                if (found == live.end() || !found->hears_table || heir == m_options.node)
                    continue;
                m_asked_heirs[{number, heir}] = at;
                address = m_members.find(heir)->peer_address();
            }
            if (heir.empty())
                continue;
            log_event(log_level::info, "heir_asked", {{"partition", std::to_string(number)}, {"heir", heir}});
            pb::take_request request;
            request.set_partition(number);
            m_peers.take(address, request, take_timeout, [](peer_delivery, const pb::take_reply&) {});
        }
    }

    /// The nodes that ask for advice and carry out commands for this one.
    void set_helpers() {
        if (partitions().empty())
            return;
        std::vector<std::string> live;
        std::vector<relay_node> relays;
        {
            const std::lock_guard lock{m_mutex};
            live = m_members.live();
            for (const auto& node : live) {
                const auto member = m_members.find(node);
                if (member && node != m_options.node && !m_members.suspected(node))
                    relays.push_back(
                        {node, member->peer_address(), member->data_centre(), member->cpu_milli()});
            }
        }
        m_relayed.set_relays(relays);
        const int count = partition_count();
        for (const auto& [number, owned] : partitions())
            owned->set_advisers(lanes_of(number, count, live));
    }

    void tell_heir(int number) {
        std::string address;
        {
            const std::lock_guard lock{m_mutex};
            const auto heir = successor_of(number, candidates(now()), m_options.node);
            const auto member = m_members.find(heir);
            if (!member || heir == m_options.node)
                return;
            address = member->peer_address();
        }
        pb::take_request request;
        request.set_partition(number);
        m_peers.take(address, request, take_timeout, [](peer_delivery, const pb::take_reply&) {});
    }

    // ---- Upper limits ----

    void divide_caps() {
        cap_sync sync{*m_ports.rows};
        auto period = idle_cap_period;
        while (pause(period)) {
            cell_layout layout;
            {
                const std::lock_guard lock{m_mutex};
                layout = m_layout;
            }
            if (layout.partitions < 2)
                continue; // the only partition has all of each limit
            const bool divided =
                layout.wide_from_cpu_milli > 0 ||
                std::ranges::any_of(layout.teams, [](const auto& team) { return team.second.size() > 1; });
            period = divided ? cap_period : idle_cap_period;
            std::vector<cap_member> members;
            for (const auto& [number, owned] : partitions()) {
                if (owned->status() == partition_status::active)
                    members.push_back({number, owned->epoch(), owned->cap_wants(),
                                       [owned = owned](std::map<std::string, team_part> parts) {
                                           owned->set_team_parts(std::move(parts));
                                       }});
            }
            sync.round(layout, members);
        }
    }

    // ---- Advice ----

    void ask(const advice_question& question, std::function<void(std::optional<advice_reply>)> done) {
        std::string address;
        {
            const std::lock_guard lock{m_mutex};
            if (const auto member = m_members.find(question.node))
                address = member->peer_address();
        }
        const auto timeout = question.cost * 2 + advice_slack;
        if (address.empty() || question.node == m_options.node) {
            m_ports.advice->ask(question.step, question.targets, timeout, std::move(done));
            return;
        }
        m_peers.advise(address, to_wire(question, timeout), timeout,
                       [done = std::move(done)](peer_delivery delivery, const pb::advice_answer& answer) {
                           done(delivery == peer_delivery::answered ? reply_from_wire(answer) : std::nullopt);
                       });
    }

    cell_options m_options;
    cell_ports m_ports;
    cell_peers m_peers;
    std::uint64_t m_incarnation;
    narrow_targets m_orders;
    command_relay m_relay;
    layout_keeper m_layout_keeper; ///< used by the ownership thread only
    relayed_targets m_relayed;
    std::shared_ptr<call_router> m_router;
    instant m_started{};

    mutable std::mutex m_mutex; ///< guards all that follows up to the next blank line
    membership m_members;
    std::map<int, owner_view> m_owners;
    std::map<int, instant> m_next_take;
    struct head_view {
        std::uint64_t sequence = 0;
        instant at{};
    };
    std::map<int, instant> m_owner_doubts;        ///< when a probe of the owner was lost last
    std::map<int, head_view> m_heads;             ///< of partitions whose owner may be dead
    std::map<std::string, peer_report> m_reports; ///< by node
    std::vector<candidate_owner> m_candidates;
    instant m_candidates_at{};
    std::set<std::string> m_owned_names;
    owned_map m_owned;
    declarations m_declared;
    std::vector<target_entry> m_targets;
    bool m_targets_known = false;
    instant m_targets_grown{};
    cell_layout m_layout;
    std::int64_t m_layout_version = 0;

    // Used by the ownership thread only.
    instant m_next_heir{};
    std::map<std::pair<int, std::string>, instant> m_asked_heirs; ///< by partition and node
    instant m_next_layout{};
    bool m_heads_read = false;
    instant m_heads_read_at{};
    std::optional<std::pair<int, std::string>> m_better_owner;
    instant m_better_since{};

    std::atomic<bool> m_divides{false}; ///< this node is to divide the cell
    std::atomic<instant> m_table_heard{instant{}};
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

#include "cell/cell_view.h"

#include "cell/partition_rows.h"
#include "log.h"

#include "medlarhub/reason.h"

#include <algorithm>

namespace medlarhub {

namespace {

constexpr milliseconds suspect_after{600};
/// Number of nodes that a node probes per round, in a small and in a large cell.
constexpr std::size_t probes_in_small = 2;
constexpr std::size_t probes_in_large = 1;
constexpr std::size_t large_cell_size = 24;
/// How long a failed probe of an owner is a reason to check whether it still writes.
constexpr milliseconds owner_suspicion_period{1500};
/// The partition of an owner that seems dead is taken over only after its head row was unchanged this long.
constexpr milliseconds head_unchanged_period{350};
/// A node can reach the table if the table answered it within this time.
constexpr milliseconds max_table_answer_age{2000};
constexpr milliseconds max_candidates_age{200};
/// Refuting a suspicion raises the incarnation only slightly; a restart raises it by the elapsed
/// milliseconds.
constexpr std::uint64_t min_restart_gap = 200;

void count_owned(std::vector<candidate_owner>& live, const std::string& node) {
    const auto found = std::ranges::find(live, node, &candidate_owner::node);
    if (found != live.end())
        ++found->owned;
}

} // namespace

cell_view::cell_view(pb::member self, std::uint64_t seed, std::function<void(int)> owner_changed)
    : m_node{self.id()}, m_incarnation{self.incarnation()}, m_owner_name{m_node + "/" +
                                                                         std::to_string(m_incarnation)},
      m_owner_changed{std::move(owner_changed)}, m_members{std::move(self),
                                                           {.suspect_after = suspect_after},
                                                           seed} {}

// ---- The table ----

void cell_view::table_answered(instant at) {
    const std::lock_guard lock{m_mutex};
    m_last_table_answer = at;
}

bool cell_view::can_reach_table(instant at) const {
    const std::lock_guard lock{m_mutex};
    return has_recent_table_answer(at);
}

bool cell_view::has_recent_table_answer(instant at) const {
    return m_last_table_answer != instant{} && at - m_last_table_answer < max_table_answer_age;
}

// ---- Nodes ----

void cell_view::learn_node(instant at, const pb::member& node) {
    const std::lock_guard lock{m_mutex};
    m_members.merge(at, node);
}

void cell_view::leave() {
    const std::lock_guard lock{m_mutex};
    m_members.leave();
}

std::optional<pb::member> cell_view::node(const std::string& id) const {
    const std::lock_guard lock{m_mutex};
    return m_members.find(id);
}

std::vector<std::string> cell_view::live_nodes() const {
    const std::lock_guard lock{m_mutex};
    return m_members.live();
}

std::vector<pb::member> cell_view::others(bool suspects) const {
    std::vector<pb::member> found;
    const std::lock_guard lock{m_mutex};
    for (const auto& id : m_members.live()) {
        const auto member = m_members.find(id);
        if (member && id != m_node && (suspects || !m_members.suspected(id)))
            found.push_back(*member);
    }
    return found;
}

pb::gossip cell_view::make_message() {
    pb::gossip message;
    message.set_from(m_node);
    message.set_incarnation(m_incarnation);
    const std::lock_guard lock{m_mutex};
    message.set_layout_version(m_layout_version);
    for (const auto& update : m_members.updates())
        *message.add_members() = update;
    for (const auto& [number, owner] : m_owners) {
        auto& summary = *message.add_partitions();
        summary.set_partition(number);
        summary.set_owner(owner.owner);
        summary.set_epoch(owner.epoch);
        summary.set_owner_address(owner.address);
    }
    return message;
}

pb::gossip cell_view::make_reply(const pb::gossip& message) {
    auto reply = make_message();
    const std::lock_guard lock{m_mutex};
    if (message.layout_version() < m_layout_version)
        reply.set_layout(to_text(*m_layout));
    return reply;
}

bool cell_view::handle_message(instant at, const pb::gossip& message) {
    std::optional<cell_layout> layout;
    if (!message.layout().empty()) {
        layout = parse_layout(message.layout());
        if (!layout)
            log_event(log_level::warning, "layout_unreadable",
                      {{"from", message.from()}, {"reason", last_reason()}});
    }
    const std::lock_guard lock{m_mutex};
    const bool newer = layout && replace_layout(*layout, message.layout_version());
    for (const auto& update : message.members())
        m_members.merge(at, update);
    for (const auto& summary : message.partitions()) {
        if (summary.partition() < 0 || summary.partition() >= m_layout->partitions)
            continue;
        if (!summary.owner().empty() && !incarnation_of(summary.owner())) {
            log_event(log_level::warning, "owner_unreadable",
                      {{"from", message.from()}, {"owner", summary.owner()}});
            continue;
        }
        replace_owner(summary.partition(), {summary.owner(), summary.owner_address(), summary.epoch()});
    }
    return newer;
}

std::vector<pb::member> cell_view::next_probes(instant at) {
    const std::lock_guard lock{m_mutex};
    m_members.set_without_table(!has_recent_table_answer(at));
    m_members.tick(at);
    return m_members.next_probes(m_members.size() > large_cell_size ? probes_in_large : probes_in_small);
}

void cell_view::node_probe_failed(instant at, const std::string& id) {
    const std::lock_guard lock{m_mutex};
    m_members.probe_failed(at, id);
}

// ---- Owners ----

std::vector<cell_view::owner_probe> cell_view::owners_to_probe(instant at, const std::set<int>& own) {
    std::vector<owner_probe> probes;
    const std::lock_guard lock{m_mutex};
    refresh_candidates(at);
    for (const auto& [number, owner] : m_owners) {
        if (!owner.owner.empty() && !own.contains(number) && cached_successor(number, owner.owner) == m_node)
            probes.push_back({number, owner.address});
    }
    return probes;
}

const std::string& cell_view::cached_successor(int partition, const std::string& owner) {
    auto& known = m_successors[partition];
    if (known.owner != owner)
        known = {owner, successor_of(partition, m_candidates, node_of(owner))};
    return known.successor;
}

void cell_view::owner_probe_failed(instant at, int partition) {
    const std::lock_guard lock{m_mutex};
    m_owner_probe_failures[partition] = at;
}

void cell_view::learn_owner(int partition, const owner_view& owner) {
    const std::lock_guard lock{m_mutex};
    replace_owner(partition, owner);
}

void cell_view::replace_owner(int partition, const owner_view& owner) {
    auto& known = m_owners[partition];
    if (owner.epoch <= known.epoch)
        return;
    known = owner;
    m_owner_changed(partition);
}

bool cell_view::is_owner_known(int partition) const {
    const std::lock_guard lock{m_mutex};
    return m_owners.contains(partition);
}

std::size_t cell_view::known_owner_count() const {
    const std::lock_guard lock{m_mutex};
    return m_owners.size();
}

std::string cell_view::owner_address(int partition) const {
    const std::lock_guard lock{m_mutex};
    const auto found = m_owners.find(partition);
    return found == m_owners.end() ? std::string{} : found->second.address;
}

cell_view::ownership_changes cell_view::update_owned(const std::map<int, std::uint64_t>& own) {
    ownership_changes changes;
    const std::lock_guard lock{m_mutex};
    m_owns_any = !own.empty();
    for (const auto& [number, epoch] : own) {
        const auto& known = m_owners[number];
        changes.gained = changes.gained || known.epoch < epoch;
        // A later epoch of this node is one that others read in the head row first.
        if (known.epoch > epoch && known.owner != m_owner_name)
            changes.lost.push_back(number);
        replace_owner(number, {m_owner_name, m_members.self().peer_address(), epoch});
    }
    return changes;
}

std::vector<int> cell_view::partitions_to_take(instant at, const std::set<int>& excluded,
                                               bool include_unknown) {
    std::vector<int> due;
    const std::lock_guard lock{m_mutex};
    std::vector<candidate_owner> live; // filled only when a partition has no live owner
    for (int number = 0; number < m_layout->partitions; ++number) {
        if (excluded.contains(number))
            continue;
        const auto known = m_owners.find(number);
        const auto owner = known == m_owners.end() ? std::string{} : known->second.owner;
        if (is_owner_alive(owner) && !is_suspected(at, number, owner))
            continue;
        if (live.empty())
            live = candidates(at);
        const auto before = node_of(owner);
        const auto successor = successor_of(number, live, before);
        count_owned(live, successor);
        const bool own_again = before == m_node;
        if ((successor == m_node || own_again) && (include_unknown || known != m_owners.end()))
            due.push_back(number);
    }
    return due;
}

bool cell_view::may_take(instant at, int partition, const owner_view& owner, std::uint64_t sequence) {
    const std::lock_guard lock{m_mutex};
    replace_owner(partition, owner);
    if (is_owner_alive(owner.owner) && !is_suspected(at, partition, owner.owner))
        return false;
    if (owner.owner.empty() || node_of(owner.owner) == m_node)
        return true;
    auto& seen = m_heads[partition];
    if (seen.sequence != sequence) {
        seen = {sequence, at};
        return false;
    }
    return at - seen.at >= head_unchanged_period;
}

std::optional<cell_view::successor_load>
cell_view::find_successor_with_table(instant at, int partition, const std::set<std::string>& asked) {
    const std::lock_guard lock{m_mutex};
    auto live = candidates(at);
    std::erase_if(live, [&](const candidate_owner& each) { return asked.contains(each.node); });
    const auto successor = successor_of(partition, live, m_node);
    const auto found = std::ranges::find(live, successor, &candidate_owner::node);
    if (found == live.end() || !found->can_reach_table || successor == m_node)
        return {};
    const auto member = m_members.find(successor);
    return member ? std::optional{successor_load{*member, found->owned}} : std::nullopt;
}

std::optional<cell_view::partition_move> cell_view::suggest_move(instant at, const std::set<int>& own) {
    if (own.empty())
        return {};
    const std::lock_guard lock{m_mutex};
    const auto& live = candidates(at);
    const auto self = std::ranges::find(live, m_node, &candidate_owner::node);
    std::optional<partition_move> move;
    for (const auto number : own) {
        const auto successor =
            std::ranges::find(live, successor_of(number, live, m_node), &candidate_owner::node);
        if (self != live.end() && successor != live.end() && is_better_owner(*self, *successor))
            move = {number, successor->node};
    }
    return move;
}

const std::vector<candidate_owner>& cell_view::candidates(instant at) {
    refresh_candidates(at);
    return m_candidates;
}

void cell_view::refresh_candidates(instant at) {
    if (at - m_candidates_at < max_candidates_age)
        return;
    std::vector<candidate_owner> live;
    live.reserve(m_candidates.size());
    m_members.for_each([&](const pb::member& member) {
        if (member.state() == pb::member::dead || member.state() == pb::member::left)
            return;
        const bool reachable = member.id() == m_node ? has_recent_table_answer(at) : !member.without_table();
        live.push_back({member.id(), reachable, member.cpu_milli(), 0});
    });
    for (const auto& [number, owner] : m_owners) {
        if (is_owner_alive(owner.owner))
            count_owned(live, node_of(owner.owner));
    }
    m_candidates_at = at;
    if (live == m_candidates)
        return;
    m_candidates = std::move(live);
    m_successors.clear();
}

bool cell_view::is_suspected(instant at, int partition, const std::string& owner) const {
    const auto failure = m_owner_probe_failures.find(partition);
    return m_members.suspected(node_of(owner)) ||
           (failure != m_owner_probe_failures.end() && at - failure->second < owner_suspicion_period);
}

bool cell_view::is_owner_alive(const std::string& owner) const {
    if (owner.empty())
        return false;
    if (owner == m_owner_name)
        return m_owns_any;
    const auto member = m_members.find(node_of(owner));
    if (!member || !m_members.alive(node_of(owner)))
        return false;
    const auto incarnation = incarnation_of(owner);
    return incarnation && member->incarnation() < *incarnation + min_restart_gap;
}

// ---- The layout ----

std::shared_ptr<const cell_layout> cell_view::layout() const {
    const std::lock_guard lock{m_mutex};
    return m_layout;
}

int cell_view::partitions() const {
    const std::lock_guard lock{m_mutex};
    return m_layout->partitions;
}

bool cell_view::update_layout(const cell_layout& layout, std::int64_t version) {
    const std::lock_guard lock{m_mutex};
    return replace_layout(layout, version);
}

bool cell_view::replace_layout(const cell_layout& layout, std::int64_t version) {
    if (version <= m_layout_version)
        return false;
    m_layout = std::make_shared<cell_layout>(layout);
    m_layout_version = version;
    log_event(log_level::info, "layout_known",
              {{"partitions", std::to_string(layout.partitions)},
               {"racks", std::to_string(layout.racks.size())},
               {"teams", std::to_string(layout.teams.size())}});
    return true;
}

bool cell_view::should_create_layout(instant at) {
    const std::lock_guard lock{m_mutex};
    return m_layout->partitions == 0 && successor_of(0, candidates(at), {}) == m_node;
}

} // namespace medlarhub

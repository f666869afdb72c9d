#include "node/config_sync.h"

#include "log.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <thread>

namespace medlarhub {

namespace {

constexpr int rows_per_read = 200;
constexpr std::size_t max_recent_changes = 2000;
constexpr std::int64_t changes_per_snapshot = 200;
constexpr std::size_t revision_digits = 12;
constexpr int max_propose_attempts = 20;
const std::string chain_prefix = "config/";
const std::string node_prefix = "node/";
const std::string snapshot_name = "config-snapshot";

std::string chain_key(std::int64_t revision) {
    const auto text = std::to_string(revision);
    return chain_prefix + std::string(revision_digits - std::min(revision_digits, text.size()), '0') + text;
}

std::optional<std::vector<pb::config_change>> parse_changes(const std::vector<table_row>& rows) {
    std::vector<pb::config_change> changes;
    for (const auto& row : rows) {
        pb::config_change change;
        if (!change.ParseFromString(row.value))
            return fail("the configuration row " + row.key + " can't be parsed");
        changes.push_back(std::move(change));
    }
    return changes;
}

} // namespace

config_sync::config_sync(table& rows, object_store& objects, shared_write_limiter& write_limiter,
                         config_options options)
    : m_rows{rows}, m_objects{objects}, m_write_limiter{write_limiter}, m_options{std::move(options)},
      m_state{std::make_shared<const config_state>()}, m_guard{m_options.stale_after} {}

std::shared_ptr<const config_state> config_sync::state() const {
    const std::lock_guard lock{m_mutex};
    return m_state;
}

bool config_sync::current(instant at) const {
    const std::lock_guard lock{m_mutex};
    return m_loaded && m_guard.current(at, m_options.node, m_state->revision());
}

bool config_sync::is_loaded() const {
    const std::lock_guard lock{m_mutex};
    return m_loaded;
}

milliseconds config_sync::store_age(instant at) const {
    const std::lock_guard lock{m_mutex};
    return m_guard.store_age(at);
}

bool config_sync::needs_majority(instant at) const {
    const std::lock_guard lock{m_mutex};
    return m_guard.needs_majority(at);
}

std::size_t config_sync::majority() const {
    const std::lock_guard lock{m_mutex};
    return m_guard.majority();
}

bool config_sync::load_snapshot() {
    const auto object = m_objects.get(snapshot_name);
    if (!object)
        return false;
    if (!object->found)
        return true;
    pb::config_snapshot snapshot;
    if (!snapshot.ParseFromString(object->bytes)) {
        set_reason("the configuration snapshot can't be parsed");
        return false;
    }
    auto state = config_state::from_snapshot(snapshot);
    if (!state)
        return false;
    const std::lock_guard lock{m_mutex};
    if (state->revision() > m_state->revision())
        m_state = std::make_shared<const config_state>(std::move(*state));
    return true;
}

bool config_sync::poll() {
    if (!is_loaded() && !load_snapshot())
        return false;
    for (;;) {
        const auto began = now();
        const auto rows = m_rows.list(chain_prefix, chain_key(state()->revision()), rows_per_read);
        if (!rows)
            return false;
        const auto changes = parse_changes(*rows);
        if (!changes)
            return false;
        if (!changes->empty())
            apply(*changes);
        if (rows->size() < static_cast<std::size_t>(rows_per_read)) {
            const std::lock_guard lock{m_mutex};
            m_guard.store_confirmed(began);
            m_loaded = true;
            return true;
        }
    }
}

bool config_sync::apply(const std::vector<pb::config_change>& changes) {
    bool changed = false;
    {
        const std::lock_guard lock{m_mutex};
        auto next = *m_state;
        for (const auto& change : changes) {
            if (change.revision() <= next.revision())
                continue;
            if (change.revision() != next.revision() + 1)
                break; // a gap; the next poll reads the missing changes
            if (!next.apply(change)) {
                log_event(log_level::error, "config_change_unreadable",
                          {{"revision", std::to_string(change.revision())}, {"reason", last_reason()}});
                break;
            }
            m_recent_changes.push_back(change);
            if (m_recent_changes.size() > max_recent_changes)
                m_recent_changes.pop_front();
            changed = true;
        }
        if (changed)
            m_state = std::make_shared<const config_state>(std::move(next));
    }
    if (changed && m_changed)
        m_changed();
    return changed;
}

std::int64_t config_sync::merge(const std::vector<pb::config_change>& changes) {
    apply(changes);
    return state()->revision();
}

bool config_sync::poll_registry(const std::string& incarnation) {
    const auto rows = m_rows.list(node_prefix, "", rows_per_read);
    if (!rows)
        return false;
    std::vector<pb::member> members;
    std::set<std::string> ids;
    bool registered = false;
    for (const auto& row : *rows) {
        pb::member member;
        if (!member.ParseFromString(row.value))
            continue;
        registered = registered ||
                     (member.id() == m_options.node && std::to_string(member.incarnation()) == incarnation);
        ids.insert(member.id());
        members.push_back(std::move(member));
    }
    if (!registered) {
        pb::member self;
        self.set_id(m_options.node);
        self.set_peer_address(m_options.peer_address);
        self.set_data_centre(m_options.data_centre);
        self.set_incarnation(std::stoull(incarnation));
        const auto outcome = m_rows
                                 .transact({{node_prefix + m_options.node, self.SerializeAsString(),
                                             write_condition::none, 0, false}})
                                 .outcome;
        if (outcome != write_outcome::committed)
            return false;
        ids.insert(m_options.node);
    }
    const std::lock_guard lock{m_mutex};
    m_registered = std::move(members);
    m_guard.set_registered(std::move(ids));
    return true;
}

std::vector<pb::member> config_sync::registered() const {
    const std::lock_guard lock{m_mutex};
    return m_registered;
}

void config_sync::unregister(const std::string& node) {
    (void)m_rows.transact({{node_prefix + node, {}, write_condition::none, 0, true}});
}

std::optional<propose_result> config_sync::record(pb::config_change& change) {
    const auto key = chain_key(change.revision());
    auto outcome =
        m_rows.transact({{key, change.SerializeAsString(), write_condition::absent, 0, false}}).outcome;
    if (outcome == write_outcome::committed) {
        m_write_limiter.succeeded();
        return propose_result{propose_outcome::applied, {}, change};
    }
    // The row in conflict may be this change itself, when an earlier write got no response but was carried
    // out.
    const auto row = m_rows.read(key);
    if (!row || (row->empty() && outcome == write_outcome::unavailable)) {
        m_write_limiter.failed(now());
        return propose_result{propose_outcome::unavailable, last_reason(), change};
    }
    pb::config_change present;
    if (!row->empty() && present.ParseFromString(row->front().value) && present.nonce() == change.nonce())
        return propose_result{propose_outcome::applied, {}, change};
    return {};
}

propose_result config_sync::propose(pb::config_change change, const std::string& who,
                                    std::optional<std::int64_t> expected) {
    change.set_who(who);
    change.set_nonce(random_bits());
    for (int attempt = 0; attempt < max_propose_attempts; ++attempt) {
        if (!poll())
            return {propose_outcome::unavailable, last_reason(), change};
        const auto present = state();
        const auto from = present->check(change, expected);
        if (!from)
            return {propose_outcome::refused, last_reason(), change};
        change.set_revision(present->revision() + 1);
        change.set_at_ms(to_ms(now()));
        if (change.has_put())
            change.mutable_put()->set_revision(*from);
        auto recorded = record(change);
        if (!recorded)
            continue; // another change took the revision; check again against the new configuration
        if (recorded->outcome == propose_outcome::applied) {
            apply({change});
            if (change.revision() % changes_per_snapshot == 0)
                (void)m_objects.put(snapshot_name, state()->to_snapshot().SerializeAsString());
        }
        return *recorded;
    }
    return {propose_outcome::unavailable, "gave up after too many conflicts with concurrent changes", change};
}

void config_sync::peer_reported(instant at, const std::string& peer, std::int64_t revision,
                                milliseconds store_age) {
    const std::lock_guard lock{m_mutex};
    m_guard.peer_reported(at, peer, revision, store_age);
}

std::optional<std::vector<pb::config_change>> config_sync::changes_after(std::int64_t revision) const {
    const std::lock_guard lock{m_mutex};
    std::vector<pb::config_change> changes;
    for (const auto& change : m_recent_changes) {
        if (change.revision() > revision)
            changes.push_back(change);
    }
    if (changes.empty() || changes.front().revision() != revision + 1)
        return fail("not all changes after the revision are in memory");
    return changes;
}

std::optional<std::vector<pb::config_change>> config_sync::audit(std::int64_t after, int limit) {
    const auto rows = m_rows.list(chain_prefix, chain_key(after), limit);
    if (!rows)
        return {};
    return parse_changes(*rows);
}

} // namespace medlarhub

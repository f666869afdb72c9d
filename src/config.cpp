#include "medlarhub/config.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <algorithm>

namespace medlarhub {

namespace {

std::string drain_name(const pb::drain& drain) {
    return drain.scope() + "/" + drain.name();
}

template <typename Document>
std::shared_ptr<const stored_document<Document>> store(std::optional<Document> parsed,
                                                       const std::string& text, std::int64_t revision) {
    return std::make_shared<const stored_document<Document>>(
        stored_document<Document>{std::move(*parsed), text, revision});
}

std::nullopt_t fail_first(const std::vector<ini_error>& errors) {
    return fail(errors.empty() ? "invalid document" : errors.front().to_string());
}

} // namespace

const service_document* config_state::service(std::string_view name) const {
    const auto found = m_services.find(std::string{name});
    return found == m_services.end() ? nullptr : &found->second->parsed;
}

const team_document* config_state::team(std::string_view name) const {
    const auto found = m_teams.find(std::string{name});
    return found == m_teams.end() ? nullptr : &found->second->parsed;
}

const cell_document* config_state::cell() const {
    return m_cell ? &m_cell->parsed : nullptr;
}

std::optional<std::string> config_state::team_of(std::string_view key_digest) const {
    const auto found = m_keys.find(std::string{key_digest});
    if (found == m_keys.end() || !same_digest(found->first, key_digest))
        return fail("the key is unknown or has been withdrawn");
    return found->second.team;
}

bool config_state::is_drained(std::string_view vm, std::string_view data_centre) const {
    if (m_drains.empty())
        return false;
    return m_drains.contains("vm/" + std::string{vm}) ||
           m_drains.contains("data_centre/" + std::string{data_centre});
}

std::optional<pb::document> config_state::find(std::string_view kind, std::string_view name) const {
    pb::document result;
    const auto fill = [&](const auto& stored) {
        result.set_kind(std::string{kind});
        result.set_name(std::string{name});
        result.set_text(stored.text);
        result.set_revision(stored.revision);
        return result;
    };
    if (kind == "service") {
        const auto found = m_services.find(std::string{name});
        if (found != m_services.end())
            return fill(*found->second);
    }
    if (kind == "team") {
        const auto found = m_teams.find(std::string{name});
        if (found != m_teams.end())
            return fill(*found->second);
    }
    if (kind == "cell" && m_cell && m_cell->parsed.name == name)
        return fill(*m_cell);
    return fail("no such document");
}

std::optional<int> config_state::partition_of(std::string_view data_centre, std::string_view rack) const {
    const auto found = m_rack_partition.find(std::string{data_centre} + "/" + std::string{rack});
    if (found == m_rack_partition.end())
        return {};
    return found->second;
}

std::vector<int> config_state::partitions() const {
    std::vector<int> numbers;
    if (m_cell) {
        for (const auto& [number, racks] : m_cell->parsed.racks)
            numbers.push_back(number);
    }
    return numbers;
}

std::optional<std::int64_t> config_state::put(const pb::document& document, std::int64_t revision) {
    std::vector<ini_error> errors;
    const auto& text = document.text();
    if (document.kind() == "service") {
        auto parsed = parse_service(document.name(), text, errors);
        if (!parsed)
            return fail_first(errors);
        m_services[document.name()] = store(std::move(parsed), text, revision);
    } else if (document.kind() == "team") {
        auto parsed = parse_team(document.name(), text, errors);
        if (!parsed)
            return fail_first(errors);
        m_teams[document.name()] = store(std::move(parsed), text, revision);
    } else {
        auto parsed = parse_cell(document.name(), text, errors);
        if (!parsed)
            return fail_first(errors);
        m_rack_partition.clear();
        for (const auto& [number, racks] : parsed->racks) {
            for (const auto& rack : racks)
                m_rack_partition[rack] = number;
        }
        m_cell = store(std::move(parsed), text, revision);
    }
    return revision;
}

std::optional<std::int64_t> config_state::remove(const pb::document& document) {
    if (document.kind() == "service")
        m_services.erase(document.name());
    if (document.kind() == "team")
        m_teams.erase(document.name());
    return document.revision();
}

bool config_state::team_in_use(std::string_view name) const {
    const bool has_service =
        std::ranges::any_of(m_services, [&](const auto& entry) { return entry.second->parsed.team == name; });
    const bool has_key =
        std::ranges::any_of(m_keys, [&](const auto& entry) { return entry.second.team == name; });
    return has_service || has_key;
}

/// Rejects changes that move a rack between partitions in one step, because owners fence a target by the
/// epochs of a single partition, and changes to the set of partitions, because it determines where records
/// are found.
bool config_state::check_cell(const cell_document& next) const {
    const auto refuse = [](const std::string& reason) {
        set_reason(reason);
        return false;
    };
    if (m_cell->parsed.name != next.name)
        return refuse("the cell document must be named " + m_cell->parsed.name);
    const auto same_number = [](const auto& left, const auto& right) { return left.first == right.first; };
    if (!std::ranges::equal(m_cell->parsed.racks, next.racks, same_number))
        return refuse("the set of partitions can't change while they hold records");
    for (const auto& [number, racks] : next.racks) {
        for (const auto& rack : racks) {
            const auto present = m_rack_partition.find(rack);
            if (present != m_rack_partition.end() && present->second != number)
                return refuse("rack " + rack + " belongs to partition " + std::to_string(present->second) +
                              "; remove it there first, and add it here once its targets are idle");
        }
    }
    return true;
}

std::optional<std::int64_t> config_state::check(const pb::config_change& change,
                                                std::optional<std::int64_t> expected) const {
    using change_case = pb::config_change::ChangeCase;
    if (change.change_case() == change_case::kPut) {
        std::vector<ini_error> errors;
        const auto identity = check_document(change.put().name(), change.put().text(), errors);
        if (!identity)
            return fail_first(errors);
        const auto present = find(identity->kind, identity->name);
        const auto at = present ? present->revision() : 0;
        if (expected && *expected != at)
            return fail("conflict: the document is at revision " + std::to_string(at) + ", expected " +
                        std::to_string(*expected));
        if (identity->kind == "service") {
            const auto parsed = parse_service(identity->name, change.put().text(), errors);
            if (!m_teams.contains(parsed->team))
                return fail("team " + parsed->team + " has no document");
            const auto* old = service(identity->name);
            if (old != nullptr && old->team != parsed->team)
                return fail("the service belongs to team " + old->team);
        }
        if (identity->kind == "cell" && m_cell &&
            !check_cell(*parse_cell(identity->name, change.put().text(), errors)))
            return {};
        return at;
    }
    if (change.change_case() == change_case::kRemove) {
        const auto present = find(change.remove().kind(), change.remove().name());
        if (!present)
            return fail("no such document");
        if (expected && *expected != present->revision())
            return fail("conflict: the document is at revision " + std::to_string(present->revision()) +
                        ", expected " + std::to_string(*expected));
        if (present->kind() == "cell")
            return fail("the cell document can't be removed");
        if (present->kind() == "team" && team_in_use(present->name()))
            return fail("the team still has services or keys");
        return present->revision();
    }
    if (change.change_case() == change_case::kGrant && !m_teams.contains(change.grant().team()))
        return fail("team " + change.grant().team() + " has no document");
    if (change.change_case() == change_case::kWithdraw && !m_keys.contains(change.withdraw().digest()))
        return fail("no such key");
    if (change.change_case() == change_case::kSetDrain && change.set_drain().scope() != "vm" &&
        change.set_drain().scope() != "data_centre")
        return fail("the scope of a drain must be vm or data_centre");
    if (change.change_case() == change_case::CHANGE_NOT_SET)
        return fail("the change is empty");
    return 0;
}

std::optional<std::int64_t> config_state::apply(const pb::config_change& change) {
    using change_case = pb::config_change::ChangeCase;
    if (change.revision() != m_revision + 1)
        return fail("revision " + std::to_string(change.revision()) + " doesn't follow " +
                    std::to_string(m_revision));
    switch (change.change_case()) {
    case change_case::kPut:
        if (!put(change.put(), change.revision()))
            return {};
        break;
    case change_case::kRemove:
        remove(change.remove());
        break;
    case change_case::kGrant:
        m_keys[change.grant().digest()] = {change.grant().team(), change.grant().label()};
        break;
    case change_case::kWithdraw:
        m_keys.erase(change.withdraw().digest());
        break;
    case change_case::kSetDrain:
        if (change.set_drain().drained())
            m_drains.insert(drain_name(change.set_drain()));
        else
            m_drains.erase(drain_name(change.set_drain()));
        break;
    case change_case::CHANGE_NOT_SET:
        return fail("the change is empty");
    }
    m_revision = change.revision();
    return m_revision;
}

pb::config_snapshot config_state::to_snapshot() const {
    pb::config_snapshot snapshot;
    snapshot.set_revision(m_revision);
    const auto add = [&](std::string_view kind, const std::string& name, const auto& stored) {
        auto& document = *snapshot.add_documents();
        document.set_kind(std::string{kind});
        document.set_name(name);
        document.set_text(stored.text);
        document.set_revision(stored.revision);
    };
    for (const auto& [name, stored] : m_teams)
        add("team", name, *stored);
    for (const auto& [name, stored] : m_services)
        add("service", name, *stored);
    if (m_cell)
        add("cell", m_cell->parsed.name, *m_cell);
    for (const auto& [key_digest, info] : m_keys) {
        auto& key = *snapshot.add_keys();
        key.set_digest(key_digest);
        key.set_team(info.team);
        key.set_label(info.label);
    }
    for (const auto& name : m_drains) {
        auto& drain = *snapshot.add_drains();
        drain.set_scope(name.substr(0, name.find('/')));
        drain.set_name(name.substr(name.find('/') + 1));
        drain.set_drained(true);
    }
    return snapshot;
}

std::optional<config_state> config_state::from_snapshot(const pb::config_snapshot& snapshot) {
    config_state state;
    for (const auto& document : snapshot.documents()) {
        if (!state.put(document, document.revision()))
            return {};
    }
    for (const auto& key : snapshot.keys())
        state.m_keys[key.digest()] = {key.team(), key.label()};
    for (const auto& drain : snapshot.drains())
        state.m_drains.insert(drain_name(drain));
    state.m_revision = snapshot.revision();
    return state;
}

std::string describe(const pb::config_change& change) {
    using change_case = pb::config_change::ChangeCase;
    switch (change.change_case()) {
    case change_case::kPut:
        return "put " + change.put().kind() + " " + change.put().name();
    case change_case::kRemove:
        return "remove " + change.remove().kind() + " " + change.remove().name();
    case change_case::kGrant:
        return "grant key " + change.grant().label() + " to team " + change.grant().team();
    case change_case::kWithdraw:
        return "withdraw key " + change.withdraw().digest().substr(0, 12);
    case change_case::kSetDrain:
        return std::string{change.set_drain().drained() ? "drain " : "restore "} +
               change.set_drain().scope() + " " + change.set_drain().name();
    case change_case::CHANGE_NOT_SET:
        break;
    }
    return "empty";
}

} // namespace medlarhub

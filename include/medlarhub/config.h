#pragma once

#include "medlarhub/document.h"
#include "medlarhub/time.h"

#include "medlarhub.pb.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace medlarhub {

struct key_info {
    std::string team;
    std::string label;
};

template <typename Document> struct stored_document {
    Document parsed;
    std::string text;
    std::int64_t revision = 0;
};

/// The configuration at one revision: documents, API keys and drains. A value type; shared read-only within
/// a node.
class config_state {
public:
    [[nodiscard]] std::int64_t revision() const { return m_revision; }

    /// Applies the change that follows this revision and returns the new revision. Returns empty and sets the
    /// reason, leaving the state unchanged, when the change has another revision or is invalid in this state.
    [[nodiscard]] std::optional<std::int64_t> apply(const pb::config_change& change);

    /// Validates a change requested by an operator. `expected` is the revision at which the operator last
    /// read the document, 0 for a new one; without it the latest version is replaced unconditionally.
    [[nodiscard]] std::optional<std::int64_t> check(const pb::config_change& change,
                                                    std::optional<std::int64_t> expected) const;

    [[nodiscard]] const service_document* service(std::string_view name) const;
    [[nodiscard]] const team_document* team(std::string_view name) const;
    [[nodiscard]] const cell_document* cell() const;
    [[nodiscard]] const std::map<std::string, std::shared_ptr<const stored_document<service_document>>>&
    services() const {
        return m_services;
    }
    [[nodiscard]] const std::map<std::string, std::shared_ptr<const stored_document<team_document>>>&
    teams() const {
        return m_teams;
    }
    /// The active API keys by digest.
    [[nodiscard]] const std::map<std::string, key_info>& keys() const { return m_keys; }
    /// Returns the team that the key with this digest authenticates. Compares in constant time.
    [[nodiscard]] std::optional<std::string> team_of(std::string_view key_digest) const;
    /// Drained VMs and data centres, as `vm/NAME` or `data_centre/NAME`.
    [[nodiscard]] const std::set<std::string>& drains() const { return m_drains; }
    [[nodiscard]] bool is_drained(std::string_view vm, std::string_view data_centre) const;

    /// Returns the text and revision of a document; empty when there is none.
    [[nodiscard]] std::optional<pb::document> find(std::string_view kind, std::string_view name) const;
    /// Returns the partition of a rack; empty when the cell document doesn't list the rack.
    [[nodiscard]] std::optional<int> partition_of(std::string_view data_centre, std::string_view rack) const;
    [[nodiscard]] std::vector<int> partitions() const;

    [[nodiscard]] pb::config_snapshot to_snapshot() const;
    [[nodiscard]] static std::optional<config_state> from_snapshot(const pb::config_snapshot& snapshot);

private:
    std::optional<std::int64_t> put(const pb::document& document, std::int64_t revision);
    std::optional<std::int64_t> remove(const pb::document& document);
    [[nodiscard]] bool check_cell(const cell_document& next) const;
    [[nodiscard]] bool team_in_use(std::string_view name) const;

    std::int64_t m_revision = 0;
    std::map<std::string, std::shared_ptr<const stored_document<service_document>>> m_services;
    std::map<std::string, std::shared_ptr<const stored_document<team_document>>> m_teams;
    std::shared_ptr<const stored_document<cell_document>> m_cell;
    std::map<std::string, key_info> m_keys;
    std::map<std::string, int> m_rack_partition;
    std::set<std::string> m_drains;
};

/// Describes a change in one line for an operator.
std::string describe(const pb::config_change& change);

} // namespace medlarhub

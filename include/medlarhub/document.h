#pragma once

#include "medlarhub/ini.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarhub {

/// Resources that a task needs or holds on a VM.
struct resources {
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    friend bool operator==(const resources&, const resources&) = default;
    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);
    /// True when this need fits into `free`.
    [[nodiscard]] bool fits(const resources& free) const;
};

enum class work_kind { request, batch, gang, service };
enum class priority_class { urgent, normal, bulk };
enum class full_policy { wait, refuse };

/// The document of one service: its resource needs, limits, and behaviour when the fleet is full.
struct service_document {
    std::string name;
    std::string team;
    work_kind kind = work_kind::request;
    bool idempotent = false;
    bool open = false; ///< callers of any team may use it; the work is charged to the owning team
    resources need;
    milliseconds run_time{1000}; ///< expected; replaced by the observed average
    milliseconds deadline{2000}; ///< the longest time that a caller waits for an answer
    milliseconds lease{30000};   ///< how long a target runs a task without a renewal by the owner
    int max_attempts = 3;
    int replicas = 1;
    priority_class priority = priority_class::normal;
    bool preemptible = false;
    full_policy when_full = full_policy::wait;
};

/// A team's weight in fair sharing when the fleet is full, and its limit across the fleet.
struct team_document {
    std::string name;
    std::int64_t share = 1;
    std::optional<std::int64_t> limit_cpu_milli;
};

/// The assignment of the cell's racks to partitions.
struct cell_document {
    std::string name;
    std::map<int, std::vector<std::string>> racks; ///< by partition, each `data_centre/rack`
};

/// The parse functions append to `errors` and return empty when the text is invalid. `file` is used in errors
/// only.
std::optional<service_document> parse_service(const std::string& file, std::string_view text,
                                              std::vector<ini_error>& errors);
std::optional<team_document> parse_team(const std::string& file, std::string_view text,
                                        std::vector<ini_error>& errors);
std::optional<cell_document> parse_cell(const std::string& file, std::string_view text,
                                        std::vector<ini_error>& errors);

/// The kind and name of a valid document.
struct document_identity {
    std::string kind; ///< `service`, `team` or `cell`
    std::string name;
};

/// Validates a document of any kind.
std::optional<document_identity> check_document(const std::string& file, std::string_view text,
                                                std::vector<ini_error>& errors);

} // namespace medlarhub

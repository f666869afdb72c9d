#include "medlarhub/document.h"

#include <charconv>
#include <set>
#include <sstream>

namespace medlarhub {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t max_cpu_milli = 1'024'000;
constexpr std::int64_t max_memory_mb = 16'777'216;
constexpr std::int64_t max_accelerators = 64;
constexpr std::int64_t max_share = 1'000'000;
constexpr std::int64_t max_limit_cpu_milli = 10'000'000'000;
constexpr int max_partitions = 4096;

work_kind kind_of(std::string_view text) {
    if (text == "batch")
        return work_kind::batch;
    if (text == "gang")
        return work_kind::gang;
    return text == "service" ? work_kind::service : work_kind::request;
}

priority_class priority_of(std::string_view text) {
    if (text == "urgent")
        return priority_class::urgent;
    return text == "bulk" ? priority_class::bulk : priority_class::normal;
}

/// Appends the reader's errors to `errors`; true when there were none.
bool finish_without_errors(ini_reader& reader, std::vector<ini_error>& errors) {
    auto found = reader.finish();
    errors.insert(errors.end(), found.begin(), found.end());
    return found.empty();
}

std::optional<int> partition_number(std::string_view section) {
    constexpr std::string_view prefix = "partition.";
    if (!section.starts_with(prefix))
        return {};
    section.remove_prefix(prefix.size());
    int number = 0;
    const auto [end, error] = std::from_chars(section.data(), section.data() + section.size(), number);
    if (error != std::errc{} || end != section.data() + section.size() || number < 0 ||
        number >= max_partitions)
        return {};
    return number;
}

} // namespace

resources& resources::operator+=(const resources& other) {
    cpu_milli += other.cpu_milli;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other) {
    cpu_milli -= other.cpu_milli;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
}

bool resources::fits(const resources& free) const {
    return cpu_milli <= free.cpu_milli && memory_mb <= free.memory_mb && accelerators <= free.accelerators;
}

std::optional<service_document> parse_service(const std::string& file, std::string_view text,
                                              std::vector<ini_error>& errors) {
    ini_reader reader{file, text};
    service_document doc;
    doc.name = reader.name("service", "name");
    doc.team = reader.name("service", "team");
    doc.kind = kind_of(reader.one_of("service", "kind", {"request", "batch", "gang", "service"}));
    doc.idempotent = reader.boolean("service", "idempotent", false);
    doc.open = reader.boolean("service", "open", false);
    doc.replicas = static_cast<int>(reader.integer("service", "replicas", 0, 10'000, 1));
    doc.need.cpu_milli = reader.cpus("needs", "cpus", 1, max_cpu_milli);
    doc.need.memory_mb = reader.megabytes("needs", "memory", 1, max_memory_mb);
    doc.need.accelerators = reader.integer("needs", "accelerators", 0, max_accelerators, 0);
    doc.run_time = reader.duration("limits", "run_time", 1ms, 720h, 1s);
    doc.deadline = reader.duration("limits", "deadline", 1ms, 1h, 2s);
    doc.lease = reader.duration("limits", "lease", 1s, 24h, 30s);
    doc.max_attempts = static_cast<int>(reader.integer("limits", "max_attempts", 1, 100, 3));
    doc.priority = priority_of(reader.one_of("policy", "priority", {"urgent", "normal", "bulk"}, "normal"));
    doc.preemptible = reader.boolean("policy", "preemptible", false);
    const auto when_full = reader.one_of("policy", "when_full", {"wait", "refuse"}, "wait");
    doc.when_full = when_full == "refuse" ? full_policy::refuse : full_policy::wait;
    if (doc.preemptible && doc.kind == work_kind::request)
        reader.add_error("policy", "preemptible", "false for requests, which are never preempted");
    if (!doc.idempotent && doc.kind != work_kind::request && doc.max_attempts > 1 && doc.preemptible)
        reader.add_error("policy", "preemptible", "false for work that is not idempotent");
    if (doc.kind != work_kind::service && reader.integer("service", "replicas", 0, 10'000, 1) != 1)
        reader.add_error("service", "replicas", "no value unless kind = service");
    if (!finish_without_errors(reader, errors))
        return {};
    return doc;
}

std::optional<team_document> parse_team(const std::string& file, std::string_view text,
                                        std::vector<ini_error>& errors) {
    ini_reader reader{file, text};
    team_document doc;
    doc.name = reader.name("team", "name");
    doc.share = reader.integer("team", "share", 1, max_share, 1);
    const auto limit = reader.cpus("team", "limit_cpus", 0, max_limit_cpu_milli, -1);
    if (limit >= 0)
        doc.limit_cpu_milli = limit;
    if (!finish_without_errors(reader, errors))
        return {};
    return doc;
}

std::optional<cell_document> parse_cell(const std::string& file, std::string_view text,
                                        std::vector<ini_error>& errors) {
    ini_reader reader{file, text};
    cell_document doc;
    doc.name = reader.name("cell", "name");
    std::set<std::string> seen;
    for (const auto& section : reader.sections()) {
        const auto number = partition_number(section);
        if (!number)
            continue;
        std::istringstream words{reader.text(section, "racks")};
        for (std::string rack; words >> rack;) {
            if (rack.find('/') == std::string::npos)
                reader.add_error(section, "racks", "racks as data_centre/rack");
            if (!seen.insert(rack).second)
                reader.add_error(section, "racks",
                                 "each rack in only one partition; " + rack + " is listed in two");
            doc.racks[*number].push_back(rack);
        }
    }
    if (doc.racks.empty())
        reader.add_error("cell", "name", "at least one [partition.N] section with racks");
    if (!finish_without_errors(reader, errors))
        return {};
    return doc;
}

std::optional<document_identity> check_document(const std::string& file, std::string_view text,
                                                std::vector<ini_error>& errors) {
    const ini_reader probe{file, text};
    if (probe.has_section("service")) {
        const auto doc = parse_service(file, text, errors);
        return doc ? std::optional{document_identity{"service", doc->name}} : std::nullopt;
    }
    if (probe.has_section("team")) {
        const auto doc = parse_team(file, text, errors);
        return doc ? std::optional{document_identity{"team", doc->name}} : std::nullopt;
    }
    if (probe.has_section("cell")) {
        const auto doc = parse_cell(file, text, errors);
        return doc ? std::optional{document_identity{"cell", doc->name}} : std::nullopt;
    }
    errors.push_back({file, 1, "(file)", "a [service], [team] or [cell] section"});
    return {};
}

} // namespace medlarhub

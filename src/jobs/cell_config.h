#pragma once

#include "medlarhub/document.h"
#include "medlarhub/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarhub {

/// A queue whose steps may run only on targets that an advice service names.
struct advice_policy {
    std::chrono::duration<double, std::milli> decide{0};
    std::chrono::duration<double, std::milli> per_target{0};
    milliseconds ticket_valid{0};
};

struct queue_policy {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string service; ///< whose targets run the queue's tasks
    int priority = 0;    ///< 0 goes first
    int max_attempts = 1;
    double stretch = 1;           ///< a job is in time within its chain of work times this ...
    milliseconds latency_goal{0}; ///< ... and this much more
    milliseconds timeout{3000};
    std::optional<advice_policy> advice;
    bool open_to_all = false;
};

struct team_policy {
    std::string name;
    std::vector<std::string> key_digests;
    double jobs_per_second = 0; ///< share when the fleet is full; 0 is none stated
    resources resource_limit;   ///< most that may run at a time; 0 is no limit
};

/// What operators declared, as one version.
struct cell_config {
    std::int64_t version = 0;
    std::map<std::string, queue_policy> queues;
    std::map<std::string, team_policy> teams;
    std::set<std::string> guarded_services; ///< whose targets refuse what doesn't fit
    std::int64_t max_body_bytes = 1 << 18;
    std::int64_t max_header_bytes = 1 << 14;
};

/// The partition to which a target is assigned, and how often it has been transferred. Of two assignments the
/// one with more transfers is the later.
struct target_tenure {
    int partition = 0;
    std::uint64_t transfers = 0;

    friend bool operator==(const target_tenure&, const target_tenure&) = default;
};

/// One live target as it describes itself.
struct target_entry {
    std::string id;
    std::string service;
    std::string address;
    std::string data_centre;
    std::vector<std::string> labels;
    std::string rack;
    resources capacity;
    bool draining = false;
    std::int64_t born_ms = 0; ///< wall time of its start; tells two lives under one id apart
    // Not told by itself:
    int home = 0;                ///< the partition of its rack
    std::uint64_t transfers = 0; ///< of its tenure

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

} // namespace medlarhub

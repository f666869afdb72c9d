#pragma once

#include "medlarhub/document.h"
#include "medlarhub/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarhub {

/// The policy of a queue whose steps may run only on targets that the advice service permits. `decide` and
/// `per_target` estimate how long the service takes: a fixed part and a part for each target.
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
    int priority = 0;    ///< 0 is the most urgent
    int max_attempts = 1;
    /// A job is in time if it takes at most `stretch` times its critical path plus `latency_goal`.
    double stretch = 1;
    milliseconds latency_goal{0};
    milliseconds timeout{3000};
    std::optional<advice_policy> advice;
    bool open_to_all = false;
};

struct team_policy {
    std::string name;
    std::vector<std::string> key_digests;
    /// Jobs within this rate go before those beyond it when the fleet is full; 0: no job is beyond it.
    double jobs_per_second = 0;
    resources resource_limit; ///< most that may run at a time; 0: no limit
};

/// One version of the configuration that operators declared.
struct cell_config {
    std::int64_t version = 0;
    std::map<std::string, queue_policy> queues;
    std::map<std::string, team_policy> teams;
    std::set<std::string> guarded_services; ///< their targets refuse work that exceeds their capacity
    std::int64_t max_body_bytes = 1 << 18;
    std::int64_t max_header_bytes = 1 << 14;
};

/// The partition to which a target is assigned, and how often it has been transferred. Of two assignments the
/// one with more transfers is the later.
struct target_assignment {
    int partition = 0;
    std::uint64_t transfers = 0;

    friend bool operator==(const target_assignment&, const target_assignment&) = default;
};

/// A live target as it describes itself.
struct target_entry {
    std::string id;
    std::string service;
    std::string address;
    std::string data_centre;
    std::vector<std::string> labels;
    std::string rack;
    resources capacity;
    bool draining = false;
    std::int64_t born_ms = 0; ///< wall time of its start; distinguishes incarnations under one id
    // Not reported by the target:
    int home = 0;                ///< the home partition of its rack
    std::uint64_t transfers = 0; ///< of its current assignment

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

} // namespace medlarhub

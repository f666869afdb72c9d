#pragma once

#include "medlarhub/ini.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarhub {

/// The settings of one node, read once at startup from its INI file.
struct settings {
    std::string node;
    std::string data_centre;
    std::string http_address; ///< `ip:port` for callers, operators and the load balancer
    std::string peer_address; ///< `ip:port` for other nodes
    std::vector<std::string> seeds;
    std::string table_url;
    std::string object_url;
    std::string vm_list_url;
    std::map<std::string, std::string> operators; ///< digest of each operator's key, by name
    int http_threads = 4;
    std::int64_t max_body_bytes = 1 << 20;
    std::int64_t max_connections = 1024;        ///< of clients, at a time
    std::int64_t max_buffered_bytes = 32 << 20; ///< of all requests beyond 16 KiB of each
    std::int64_t max_waiting = 10'000;          ///< limit of concurrent requests at one node
    std::int64_t max_connections_per_target = 8;
    std::int64_t table_writes_per_second = 40;
    milliseconds gossip_period{500};
    milliseconds suspect_after{1500};
    milliseconds config_poll{1000};
    milliseconds config_stale_after{3000};
    milliseconds target_poll{2000};
    milliseconds store_timeout{3000};
    milliseconds retention{3'600'000}; ///< how long a finished request can be queried
    int snapshot_rows = 200;
    std::string log_level = "info";
};

/// Returns empty and appends to `errors` when the text is invalid.
std::optional<settings> parse_settings(const std::string& file, std::string_view text,
                                       std::vector<ini_error>& errors);

/// The parts of an `ip:port` address.
struct host_port {
    std::string host;
    int port = 0;
};
/// Returns empty when the text isn't a valid `ip:port`.
std::optional<host_port> parse_address(std::string_view text);

} // namespace medlarhub

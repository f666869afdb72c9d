#include "medlarhub/settings.h"

#include "medlarhub/reason.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <sstream>

namespace medlarhub {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t digest_hex_size = 64;

std::string address(ini_reader& reader, std::string_view section, std::string_view key) {
    auto text = reader.text(section, key);
    if (!text.empty() && !parse_address(text))
        reader.add_error(section, key, "an address as ip:port");
    return text;
}

std::string url(ini_reader& reader, std::string_view key) {
    auto text = reader.text("platform", key);
    if (!text.empty() && !text.starts_with("http://") && !text.starts_with("https://"))
        reader.add_error("platform", key, "a URL that begins with http:// or https://");
    return text;
}

void read_operators(ini_reader& reader, settings& to) {
    for (const auto& name : reader.keys("operators")) {
        const auto value = reader.text("operators", name);
        const auto is_hex = [](unsigned char c) { return std::isxdigit(c) != 0; };
        if (value.size() != digest_hex_size || !std::ranges::all_of(value, is_hex))
            reader.add_error("operators", name, "the SHA-256 digest of the operator's key, 64 hex digits");
        to.operators[name] = value;
    }
}

void read_limits(ini_reader& reader, settings& to) {
    to.http_threads = static_cast<int>(reader.integer("limits", "http_threads", 2, 64, to.http_threads));
    to.max_body_bytes = reader.integer("limits", "max_body_bytes", 1024, 16 << 20, to.max_body_bytes);
    to.max_connections = reader.integer("limits", "max_connections", 16, 1'000'000, to.max_connections);
    to.max_buffered_bytes =
        reader.integer("limits", "max_buffered_bytes", 1 << 20, std::int64_t{1} << 40, to.max_buffered_bytes);
    to.max_waiting = reader.integer("limits", "max_waiting", 1, 1'000'000, to.max_waiting);
    to.max_connections_per_target =
        reader.integer("limits", "connections_per_target", 1, 60, to.max_connections_per_target);
    to.table_writes_per_second =
        reader.integer("limits", "table_writes_per_second", 1, 1000, to.table_writes_per_second);
    to.snapshot_rows =
        static_cast<int>(reader.integer("limits", "snapshot_rows", 10, 100'000, to.snapshot_rows));
}

void read_timing(ini_reader& reader, settings& to) {
    to.gossip_period = reader.duration("timing", "gossip_period", 50ms, 10s, to.gossip_period);
    to.suspect_after = reader.duration("timing", "suspect_after", 200ms, 60s, to.suspect_after);
    to.config_poll = reader.duration("timing", "config_poll", 100ms, 60s, to.config_poll);
    to.config_stale_after =
        reader.duration("timing", "config_stale_after", 500ms, 60s, to.config_stale_after);
    to.target_poll = reader.duration("timing", "target_poll", 100ms, 60s, to.target_poll);
    to.store_timeout = reader.duration("timing", "store_timeout", 100ms, 60s, to.store_timeout);
    to.retention = reader.duration("timing", "retention", 1s, 720h, to.retention);
    if (to.config_stale_after < 2 * to.config_poll)
        reader.add_error("timing", "config_stale_after", "at least twice config_poll");
    if (to.suspect_after < 2 * to.gossip_period)
        reader.add_error("timing", "suspect_after", "at least twice gossip_period");
}

} // namespace

std::optional<host_port> parse_address(std::string_view text) {
    constexpr int max_port = 65535;
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return fail("the address is not of the form ip:port");
    host_port parsed{std::string{text.substr(0, colon)}, 0};
    const auto port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), parsed.port);
    if (error != std::errc{} || end != port.data() + port.size() || parsed.port < 1 || parsed.port > max_port)
        return fail("the port is not a number from 1 to 65535");
    return parsed;
}

std::optional<settings> parse_settings(const std::string& file, std::string_view text,
                                       std::vector<ini_error>& errors) {
    ini_reader reader{file, text};
    settings parsed;
    parsed.node = reader.name("node", "name");
    parsed.data_centre = reader.name("node", "data_centre");
    parsed.http_address = address(reader, "node", "http");
    parsed.peer_address = address(reader, "node", "peer");
    parsed.log_level =
        reader.one_of("node", "log_level", {"debug", "info", "warning", "error"}, parsed.log_level);
    std::istringstream words{reader.text("node", "seeds", "")};
    for (std::string seed; words >> seed;) {
        if (!parse_address(seed))
            reader.add_error("node", "seeds", "addresses as ip:port, separated by spaces");
        parsed.seeds.push_back(seed);
    }
    parsed.table_url = url(reader, "table");
    parsed.object_url = url(reader, "objects");
    parsed.vm_list_url = url(reader, "vm_list");
    read_operators(reader, parsed);
    read_limits(reader, parsed);
    read_timing(reader, parsed);
    auto found = reader.finish();
    errors.insert(errors.end(), found.begin(), found.end());
    if (!found.empty())
        return {};
    return parsed;
}

} // namespace medlarhub

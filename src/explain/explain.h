#pragma once

#include "medlarhub/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarhub {

/// One line of a node's log.
struct log_line {
    std::string time; ///< as logged, UTC
    milliseconds at{0};
    std::string node;
    std::string event;
    std::map<std::string, std::string> fields;
};

struct explained_line {
    std::string time;
    milliseconds since_first{0}; ///< since the first log line about the request
    std::string node;
    std::string text;
};

/// What happened to one request, compiled from the logs of all nodes.
struct explanation {
    std::vector<explained_line> lines;
    std::string summary;
};

/// Parses one line. Skips any prefix that a log collector added before the JSON. Returns nothing, with the
/// reason, when it is no log line.
std::optional<log_line> parse_log_line(std::string_view text);

/// Lines may be in any order. Returns nothing, with the reason, when none is about the request.
std::optional<explanation> explain_request(std::vector<log_line> lines, const std::string& id);

} // namespace medlarhub

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
    std::string time; ///< as it stands there, UTC
    milliseconds at{0};
    std::string node;
    std::string event;
    std::map<std::string, std::string> fields;
};

struct explained_line {
    std::string time;
    milliseconds since_first{0}; ///< since the first one
    std::string node;
    std::string text;
};

/// What the logs of all nodes say of one request.
struct explanation {
    std::vector<explained_line> lines;
    std::string summary;
};

/// What a collector puts before the line is passed over. Empty, with the reason, when it is no such line.
std::optional<log_line> parse_log_line(std::string_view text);

/// Lines may come in any order. Empty, with the reason, when none is about the request.
std::optional<explanation> explain_request(std::vector<log_line> lines, const std::string& id);

} // namespace medlarhub

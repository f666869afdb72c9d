#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace medlarhub {

enum class log_level { debug, info, warning, error };

using log_fields = std::initializer_list<std::pair<std::string_view, std::string>>;

/// Sets up logging to standard output, one JSON object per line.
void start_log(const std::string& node, const std::string& data_centre, const std::string& level);

/// Logs one event. Values may hold any bytes; invalid UTF-8 is replaced. Thread-safe, and never blocks on the
/// output: a separate thread writes the lines; when too many are queued, further lines are dropped and
/// counted.
void log_event(log_level level, std::string_view event, log_fields fields = {});

/// Writes all queued lines; called before the process exits without unwinding.
void flush_log();

} // namespace medlarhub

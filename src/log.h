#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace medlarhub {

enum class log_level { debug, info, warning, error };

using log_fields = std::initializer_list<std::pair<std::string_view, std::string>>;

/// Sets up logging to standard output, one JSON object a line.
void start_log(const std::string& node, const std::string& data_centre, const std::string& level);

/// Logs one event. Values may hold any bytes; what is not UTF-8 is replaced. Safe from any thread, and never
/// waits for the output: lines are written from a thread of their own, and dropped and counted when that
/// falls behind by too many.
void log_event(log_level level, std::string_view event, log_fields fields = {});

/// Writes what waits; before the process ends without unwinding.
void flush_log();

} // namespace medlarhub

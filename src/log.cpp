#include "log.h"

#include "log_queue.h"

#include <chrono>
#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace medlarhub {

namespace {

line_queue& queue() {
    static line_queue lines{[](const std::string& text) { LOG(INFO) << text; }};
    return lines;
}

std::string log_node;
std::string log_data_centre;
log_level min_level = log_level::info;

std::string_view level_name(log_level level) {
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        break;
    }
    return "error";
}

std::string utc_time() {
    using namespace std::chrono;
    const auto at = system_clock::now();
    const auto seconds = system_clock::to_time_t(at);
    const auto ms = duration_cast<milliseconds>(at.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const auto size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto fraction = std::to_string(1000 + ms).substr(1);
    return std::string{text.data(), size} + "." + fraction + "Z";
}

} // namespace

void start_log(const std::string& node, const std::string& data_centre, const std::string& level) {
    log_node = node;
    log_data_centre = data_centre;
    for (const auto candidate : {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
        if (level_name(candidate) == level)
            min_level = candidate;
    }
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
    queue().start();
}

void log_event(log_level level, std::string_view event, log_fields fields) {
    if (level < min_level)
        return;
    nlohmann::ordered_json line{{"time", utc_time()},
                                {"level", std::string{level_name(level)}},
                                {"node", log_node},
                                {"data_centre", log_data_centre},
                                {"event", std::string{event}}};
    for (const auto& [name, value] : fields)
        line[std::string{name}] = value;
    queue().add(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void flush_log() {
    queue().flush();
}

} // namespace medlarhub

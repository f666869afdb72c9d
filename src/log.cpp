#include "log.h"

#include <chrono>
#include <condition_variable>
#include <easylogging++.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <vector>

INITIALIZE_EASYLOGGINGPP

namespace medlarhub {

namespace {

constexpr std::size_t most_waiting_lines = 8192;
constexpr std::chrono::milliseconds write_period{50};

/// Lines on their way to the output, bounded.
class line_queue {
public:
    ~line_queue() { stop(); }

    void start() {
        const std::lock_guard lock{m_mutex};
        if (!m_thread.joinable())
            m_thread = std::thread{[this] { work(); }};
    }

    void add(std::string line) {
        const std::lock_guard lock{m_mutex};
        if (m_lines.size() < most_waiting_lines)
            m_lines.push_back(std::move(line));
        else
            ++m_dropped;
    }

    void flush() {
        const std::lock_guard writing{m_write_mutex};
        std::vector<std::string> lines;
        std::size_t dropped = 0;
        {
            const std::lock_guard lock{m_mutex};
            lines.swap(m_lines);
            dropped = std::exchange(m_dropped, 0);
        }
        std::string text;
        for (const auto& line : lines)
            text += (text.empty() ? "" : "\n") + line;
        if (dropped > 0 && !text.empty())
            text += "\n";
        if (dropped > 0)
            text += nlohmann::json{{"level", "warning"}, {"event", "log_dropped"}, {"lines", dropped}}.dump();
        if (!text.empty())
            LOG(INFO) << text;
    }

    void stop() {
        {
            const std::lock_guard lock{m_mutex};
            m_stopping = true;
        }
        m_wake.notify_all();
        if (m_thread.joinable())
            m_thread.join();
        flush();
    }

private:
    void work() {
        std::unique_lock lock{m_mutex};
        while (!m_stopping) {
            m_wake.wait_for(lock, write_period, [this] { return m_stopping; });
            if (m_lines.empty())
                continue;
            lock.unlock();
            flush();
            lock.lock();
        }
    }

    std::mutex m_write_mutex; ///< one writer at a time, so that lines keep their order
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<std::string> m_lines;
    std::size_t m_dropped = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

line_queue& queue() {
    static line_queue lines;
    return lines;
}

std::string log_node;
std::string log_data_centre;
log_level lowest = log_level::info;

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
            lowest = candidate;
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
    if (level < lowest)
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

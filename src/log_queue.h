#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace medlarhub {

/// A bounded queue of log lines that a separate thread writes; adding a line never blocks on the output.
class line_queue {
public:
    /// `write` receives whole lines and is called by one thread at a time.
    explicit line_queue(std::function<void(const std::string&)> write) : m_write{std::move(write)} {}
    line_queue(const line_queue&) = delete;
    line_queue& operator=(const line_queue&) = delete;
    ~line_queue() { stop(); }

    void start() {
        const std::lock_guard lock{m_mutex};
        if (!m_thread.joinable())
            m_thread = std::thread{[this] { write_lines(); }};
    }

    void add(std::string line) {
        bool first = false;
        {
            const std::lock_guard lock{m_mutex};
            first = m_lines.empty();
            if (m_lines.size() < max_queued_lines)
                m_lines.push_back(std::move(line));
            else
                ++m_dropped;
        }
        if (first)
            m_wake.notify_all();
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
            m_write(text);
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
    void write_lines() {
        std::unique_lock lock{m_mutex};
        while (!m_stopping) {
            m_wake.wait(lock, [this] { return m_stopping || !m_lines.empty(); });
            m_wake.wait_for(lock, write_period, [this] { return m_stopping; }); // batches further lines
            lock.unlock();
            flush();
            lock.lock();
        }
    }

    static constexpr std::size_t max_queued_lines = 8192;
    static constexpr std::chrono::milliseconds write_period{50};

    std::function<void(const std::string&)> m_write;
    std::mutex m_write_mutex; ///< serialises writers, so that lines keep their order
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<std::string> m_lines;
    std::size_t m_dropped = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace medlarhub

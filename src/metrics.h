#pragma once

#include <map>
#include <memory>
#include <string>

namespace medlarhub {

using metric_labels = std::map<std::string, std::string>;

/// The node's metrics, implemented with prometheus-cpp. Thread-safe.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void count(const std::string& name, const metric_labels& labels = {}, double by = 1);
    void set(const std::string& name, double value, const metric_labels& labels = {});
    /// Adds an observation to a histogram of seconds.
    void observe(const std::string& name, double seconds, const metric_labels& labels = {});

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarhub

#include "metrics.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace medlarhub {

namespace {

const prometheus::Histogram::BucketBoundaries seconds_buckets{0.001, 0.002, 0.004, 0.008, 0.016, 0.032,
                                                              0.064, 0.128, 0.256, 0.512, 1.024, 4.096};

std::string help(const std::string& name) {
    return "see docs/OPERATIONS.md: " + name;
}

} // namespace

class metrics::impl {
public:
    template <typename Metric, typename Builder, typename... Arguments>
    Metric& find(std::map<std::string, prometheus::Family<Metric>*>& families, Builder builder,
                 const std::string& name, const metric_labels& labels, const Arguments&... arguments) {
        const std::lock_guard lock{m_mutex};
        auto*& family = families[name];
        if (family == nullptr)
            family = &builder().Name("medlarhub_" + name).Help(help(name)).Register(m_registry);
        return family->Add(labels, arguments...);
    }

    std::mutex m_mutex;
    prometheus::Registry m_registry;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> m_counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> m_gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> m_histograms;
};

metrics::metrics() : m_impl{std::make_unique<impl>()} {}
metrics::~metrics() = default;

void metrics::count(const std::string& name, const metric_labels& labels, double by) {
    m_impl->find(m_impl->m_counters, prometheus::BuildCounter, name, labels).Increment(by);
}

void metrics::set(const std::string& name, double value, const metric_labels& labels) {
    m_impl->find(m_impl->m_gauges, prometheus::BuildGauge, name, labels).Set(value);
}

void metrics::observe(const std::string& name, double seconds, const metric_labels& labels) {
    m_impl->find(m_impl->m_histograms, prometheus::BuildHistogram, name, labels, seconds_buckets)
        .Observe(seconds);
}

std::string metrics::text() const {
    std::ostringstream out;
    prometheus::TextSerializer{}.Serialize(out, m_impl->m_registry.Collect());
    return out.str();
}

} // namespace medlarhub

// Counters, gauges and histograms by name and labels, and their Prometheus text.
#pragma once

#include "framework/metrics/durationhistogram.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace magnolia::metrics
{

/** Thread-safe. Labels are in Prometheus form without braces, such as `class="counter"`. */
class MetricsRegistry
{
public:
    void increment(const std::string &name, const std::string &labels = {}, std::uint64_t by = 1);
    void observe(const std::string &name, const std::string &labels, MonoTime::duration duration);
    void merge(const std::string &name, const std::string &labels, const DurationHistogram &histogram);
    /** Registers a gauge; `read` is called whenever the metrics are exported. */
    void setGauge(const std::string &name, std::function<double()> read);

    [[nodiscard]] std::uint64_t counter(const std::string &name, const std::string &labels = {}) const;

    /** Returns all metrics in the Prometheus text format. */
    [[nodiscard]] std::string toPrometheusText() const;

private:
    using Key = std::pair<std::string, std::string>;

    mutable std::mutex m_mutex;
    std::map<Key, std::uint64_t> m_counters;
    std::map<Key, DurationHistogram> m_histograms;
    std::map<std::string, std::function<double()>> m_gauges;
};

/** Returns `value` escaped for a label value; line breaks become spaces. */
[[nodiscard]] std::string escapeLabel(const std::string &value);

} // namespace magnolia::metrics

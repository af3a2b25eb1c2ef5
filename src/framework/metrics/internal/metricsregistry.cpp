// Counters, gauges and histograms by name and labels, and their Prometheus text.
#include "framework/metrics/metricsregistry.h"

#include <sstream>

namespace magnolia::metrics
{

namespace
{

// Writes the type line once per name. The maps are ordered, so entries with the same name are adjacent.
void writeType(std::ostream &text, const std::string &name, const char *type, std::string &lastName)
{
    if (name != lastName) {
        text << "# TYPE " << name << ' ' << type << '\n';
        lastName = name;
    }
}

} // namespace

void MetricsRegistry::increment(const std::string &name, const std::string &labels, std::uint64_t by)
{
    const std::scoped_lock lock(m_mutex);
    m_counters[{name, labels}] += by;
}

void MetricsRegistry::observe(const std::string &name, const std::string &labels, MonoTime::duration duration)
{
    const std::scoped_lock lock(m_mutex);
    m_histograms[{name, labels}].add(duration);
}

void MetricsRegistry::merge(const std::string &name, const std::string &labels, const DurationHistogram &histogram)
{
    const std::scoped_lock lock(m_mutex);
    m_histograms[{name, labels}].merge(histogram);
}

void MetricsRegistry::setGauge(const std::string &name, std::function<double()> read)
{
    const std::scoped_lock lock(m_mutex);
    m_gauges[name] = std::move(read);
}

std::uint64_t MetricsRegistry::counter(const std::string &name, const std::string &labels) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_counters.find({name, labels});
    return it == m_counters.end() ? 0 : it->second;
}

std::string MetricsRegistry::toPrometheusText() const
{
    const std::scoped_lock lock(m_mutex);
    std::ostringstream text;
    std::string lastName;
    for (const auto &[key, value] : m_counters) {
        writeType(text, key.first, "counter", lastName);
        text << key.first << (key.second.empty() ? "" : '{' + key.second + '}') << ' ' << value << '\n';
    }
    for (const auto &[key, histogram] : m_histograms) {
        writeType(text, key.first, "histogram", lastName);
        text << histogram.toPrometheusText(key.first, key.second);
    }
    for (const auto &[name, read] : m_gauges) {
        writeType(text, name, "gauge", lastName);
        text << name << ' ' << read() << '\n';
    }
    return text.str();
}

std::string escapeLabel(const std::string &value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            escaped += '\\';
        }
        escaped += c == '\n' ? ' ' : c;
    }
    return escaped;
}

} // namespace magnolia::metrics

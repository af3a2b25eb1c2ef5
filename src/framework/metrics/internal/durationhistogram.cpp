// A histogram of durations on a logarithmic axis.
#include "framework/metrics/durationhistogram.h"

#include <sstream>

namespace magnolia::metrics
{

DurationHistogram::DurationHistogram()
    : m_counts(std::tuple(Axis(binCount, minSeconds, maxSeconds)))
{
}

void DurationHistogram::add(MonoTime::duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    m_counts(std::max(seconds, 0.0));
    ++m_count;
    m_sumSeconds += std::max(seconds, 0.0);
}

void DurationHistogram::merge(const DurationHistogram &other)
{
    m_counts += other.m_counts;
    m_count += other.m_count;
    m_sumSeconds += other.m_sumSeconds;
}

std::uint64_t DurationHistogram::count() const
{
    return m_count;
}

double DurationHistogram::sumSeconds() const
{
    return m_sumSeconds;
}

double DurationHistogram::quantileSeconds(double q) const
{
    if (m_count == 0) {
        return 0;
    }
    const double targetCount = q * static_cast<double>(m_count);
    std::uint64_t cumulativeCount = 0;
    // Bin -1 is the underflow bin.
    for (int i = -1; i < static_cast<int>(binCount); ++i) {
        cumulativeCount += m_counts.at(i);
        if (static_cast<double>(cumulativeCount) >= targetCount && cumulativeCount > 0) {
            return m_counts.axis(0).bin(i).upper();
        }
    }
    return maxSeconds;
}

std::string DurationHistogram::toPrometheusText(const std::string &name, const std::string &labels) const
{
    std::ostringstream text;
    const std::string separator = labels.empty() ? "" : ",";
    std::uint64_t cumulativeCount = m_counts.at(-1);
    for (int i = 0; i < static_cast<int>(binCount); ++i) {
        cumulativeCount += m_counts.at(i);
        // Exports only every fourth edge; the bins in between are used for the quantiles computed here.
        if (i % 4 == 3) {
            text << name << "_bucket{" << labels << separator << "le=\"" << m_counts.axis(0).bin(i).upper() << "\"} "
                 << cumulativeCount << '\n';
        }
    }
    text << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << m_count << '\n';
    const std::string braces = labels.empty() ? "" : '{' + labels + '}';
    text << name << "_sum" << braces << ' ' << m_sumSeconds << '\n';
    text << name << "_count" << braces << ' ' << m_count << '\n';
    return text.str();
}

} // namespace magnolia::metrics

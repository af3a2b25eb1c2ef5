// A histogram of durations on a logarithmic axis, based on Boost.Histogram.
#pragma once

#include "framework/global/types/time.h"

#include <boost/histogram.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace magnolia::metrics
{

/** Covers 100 microseconds to 1,000 seconds in 56 bins, eight per decade: a quantile is at most a third too high. */
class DurationHistogram
{
public:
    static constexpr unsigned binCount = 56;
    static constexpr double minSeconds = 1e-4;
    static constexpr double maxSeconds = 1e3;

    DurationHistogram();

    void add(MonoTime::duration duration);
    void merge(const DurationHistogram &other);

    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sumSeconds() const;
    /** Returns the upper edge in seconds of the bin with quantile `q` in [0, 1]; 0 if the histogram is empty. */
    [[nodiscard]] double quantileSeconds(double q) const;

    /** Returns cumulative buckets, sum and count as Prometheus text; `labels` has no braces and may be empty. */
    [[nodiscard]] std::string toPrometheusText(const std::string &name, const std::string &labels) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Counts = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

    Counts m_counts;
    // Invariant: m_count is the sum of all bins, including underflow and overflow.
    std::uint64_t m_count = 0;
    double m_sumSeconds = 0;
};

} // namespace magnolia::metrics

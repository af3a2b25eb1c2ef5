// A histogram of durations on a logarithmic axis, by Boost.Histogram.
#pragma once

#include "framework/global/types/time.h"

#include <boost/histogram.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace magnolia::metrics
{

/** 100 microseconds to 1,000 seconds in 56 bins: eight a decade, so that a quantile is off by at most a third. */
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
    /** Upper edge in seconds of the bin that holds quantile `q` in [0, 1]; 0 where nothing was added. */
    [[nodiscard]] double quantileSeconds(double q) const;

    /** Prometheus text: cumulative buckets, sum and count; `labels` without braces, may be empty. */
    [[nodiscard]] std::string toPrometheusText(const std::string &name, const std::string &labels) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Counts = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

    Counts m_counts;
    // Invariant: m_count is the sum over all bins, under- and overflow included.
    std::uint64_t m_count = 0;
    double m_sumSeconds = 0;
};

} // namespace magnolia::metrics

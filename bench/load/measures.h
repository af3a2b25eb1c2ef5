// Latencies and outcomes of the requests to one target, as histograms and as JSON.
#pragma once

#include <boost/histogram.hpp>
#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace magnolia::load
{

/** Histogram of latencies in milliseconds with logarithmic bins; a bin is 0.5% wide. */
class LatencyHistogram
{
public:
    LatencyHistogram();

    void add(double milliseconds);
    /** Returns the geometric centre of the bin that contains the quantile, in milliseconds; 0 for an empty histogram.
     */
    [[nodiscard]] double quantile(double probability) const;
    [[nodiscard]] nlohmann::json toJson() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Counts = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::unlimited_storage<>>;

    Counts m_counts;
    std::uint64_t m_total = 0;
};

/** Result of one request; times are measured from its intended start. */
struct CallResult
{
    /**
     * "whole": complete and in order; "refused": an error status with Retry-After; "failed": another error status or a
     * connection error; "broken": truncated, out of order or with events of another request; "unsent": no free thread.
     */
    std::string outcome = "failed";
    int status = 0;
    double firstTokenMs = 0;
    double finishMs = 0;
    std::uint64_t tokens = 0;
    /** Times between successive tokens. */
    std::vector<float> gapsMs;
};

/** Collects the results of all requests to one target; thread-safe. */
class Measures
{
public:
    void add(std::uint64_t promptTokens, const CallResult &result);
    [[nodiscard]] nlohmann::json toJson() const;

private:
    struct Bucket
    {
        LatencyHistogram firstToken;
        LatencyHistogram gap;
        LatencyHistogram finish;
        std::map<std::string, std::uint64_t> outcomes;
    };

    static constexpr std::array<const char *, 4> bucketNames{"to_4k", "to_32k", "to_100k", "over_100k"};

    mutable std::mutex m_mutex;
    Bucket m_all;
    std::array<Bucket, bucketNames.size()> m_byLength;
    std::map<int, std::uint64_t> m_statuses;
    std::uint64_t m_tokens = 0;

    static void addTo(Bucket &bucket, const CallResult &result);
    static nlohmann::json bucketToJson(const Bucket &bucket);
};

} // namespace magnolia::load

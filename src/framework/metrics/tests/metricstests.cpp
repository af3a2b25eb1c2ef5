// Quantiles, merging and the Prometheus text.
#include "framework/metrics/metricsregistry.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::metrics;

TEST_CASE("a quantile is at most a third above the true value")
{
    DurationHistogram histogram;
    for (int i = 1; i <= 1000; ++i) {
        histogram.add(Milliseconds(i));
    }
    CHECK(histogram.quantileSeconds(0.5) >= 0.5);
    CHECK(histogram.quantileSeconds(0.5) <= 0.5 * 1.34);
    CHECK(histogram.quantileSeconds(0.99) >= 0.99);
    CHECK(histogram.quantileSeconds(0.99) <= 0.99 * 1.34);
    CHECK(DurationHistogram().quantileSeconds(0.5) == 0);
}

TEST_CASE("durations outside the axis are counted, also after a merge")
{
    DurationHistogram histogram;
    histogram.add(Microseconds(1));
    histogram.add(std::chrono::hours(2));
    DurationHistogram other;
    other.add(Milliseconds(5));
    histogram.merge(other);
    CHECK(histogram.count() == 3);
    CHECK(histogram.toPrometheusText("t", "").find("t_bucket{le=\"+Inf\"} 3") != std::string::npos);
}

TEST_CASE("the Prometheus text has one type line per metric and escaped labels")
{
    MetricsRegistry registry;
    registry.increment("requests_total", "class=\"a\"");
    registry.increment("requests_total", "class=\"" + escapeLabel("b\"\n") + "\"", 2);
    registry.setGauge("open_streams", [] {
        return 3.0;
    });
    CHECK(registry.toPrometheusText()
        == "# TYPE requests_total counter\nrequests_total{class=\"a\"} 1\nrequests_total{class=\"b\\\" \"} 2\n"
           "# TYPE open_streams gauge\nopen_streams 3\n");
}

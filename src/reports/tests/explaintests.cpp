// Traces of a request from several logs, and formatting of a status.
#include "reports/explain.h"
#include "reports/statusscreen.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace magnolia;
using namespace magnolia::reports;

TEST_CASE("events of several instances are listed in order of time, without those of other requests")
{
    std::istringstream first(
        R"({"time_ms":1005,"instance":"entry-1","level":"info","module":"routing","event":"chosen","request":"r-1","upstream":"e1","ranking":["e1:0.1","e2:0.2"]}
{"time_ms":1001,"instance":"entry-1","level":"info","module":"entry","event":"arrived","request":"r-1","class":"counter"}
{"time_ms":1002,"instance":"entry-1","level":"info","module":"entry","event":"arrived","request":"r-11"}
not json about r-1
)");
    std::istringstream second(
        R"({"time_ms":1003,"instance":"entry-2","level":"info","module":"entry","event":"arrived","request":"r-1"}
)");
    RequestTrace trace;
    collectEvents(trace, RequestId("r-1"), first);
    collectEvents(trace, RequestId("r-1"), second);
    CHECK(formatTrace(trace, RequestId("r-1"), false)
        == "request r-1\n"
           "  +0 ms  entry-1  the request was received\n      class=counter\n"
           "  +2 ms  entry-2  the request was received\n"
           "  +4 ms  entry-1  routing selected an upstream\n      upstream=e1\n      ranking=e1:0.1,e2:0.2\n"
           "(1 lines could not be parsed)\n");
}

TEST_CASE("the gateway's events show whether a request ran, even if lines have a prefix or are truncated")
{
    std::istringstream log(
        R"(3.21 front-1 {"time_ms":1009,"instance":"g-1","module":"gateway","event":"ended","request":"r-1","outcome":"refused","may_have_run":false}
{"time_ms":1001,"instance":"g-1","module":"gateway","event":"placed","request":"r-1","verdict":"crowded"}
{"time_ms":1010,"instance":"g-1","module":"gateway","event":"ended","request":"r-1","out)");
    RequestTrace trace;
    collectEvents(trace, RequestId("r-1"), log);
    const std::string text = formatTrace(trace, RequestId("r-1"), false);
    CHECK(text.find("+0 ms  g-1  placement selected an upstream") != std::string::npos);
    CHECK(text.find("execution: not run\n(1 lines could not be parsed)\n") != std::string::npos);
}

TEST_CASE("whether a relayed request ran is told by the instance that its caller asked")
{
    std::istringstream relaying(
        R"({"time_ms":1002,"instance":"g-1","module":"gateway","event":"relayed","request":"r-1","peer":"g-2"}
{"time_ms":1009,"instance":"g-1","module":"gateway","event":"ended","request":"r-1","outcome":"failed","may_have_run":true,"relayed_to":"g-2"}
)");
    std::istringstream peer(
        R"({"time_ms":1003,"instance":"g-2","module":"gateway","event":"relay_received","request":"r-1","peer":"g-1"}
{"time_ms":1008,"instance":"g-2","module":"gateway","event":"ended","request":"r-1","outcome":"served","may_have_run":true,"relayed_from":"g-1"}
)");
    RequestTrace trace;
    collectEvents(trace, RequestId("r-1"), relaying);
    collectEvents(trace, RequestId("r-1"), peer);
    const std::string text = formatTrace(trace, RequestId("r-1"), false);
    CHECK(text.find("+1 ms  g-2  a peer that can reach no upstream sent the request") != std::string::npos);
    CHECK(text.find("execution: unknown: it may have run\n") != std::string::npos);
}

TEST_CASE("a request without entries in the logs is reported as such")
{
    CHECK(formatTrace({}, RequestId("r-9"), true) == "no entries for request r-9 in these logs\n");
}

TEST_CASE("a status is formatted as tables, and other JSON is rejected")
{
    const auto screen = statusScreen(R"({"instance":"entry-1","peers":[{"id":"entry-2","state":"alive"}]})", false);
    REQUIRE(screen.has_value());
    CHECK(*screen == "instance                entry-1\npeers (1)\n  id       state\n  entry-2  alive\n");
    CHECK(statusScreen("[]", false).error().code == ResultCode::PlatformMalformed);
}

// Engine faults during a stream: the caller gets the complete answer to its own request, and no KV memory stays in use.
#include "fleet.h"
#include "waiting.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace magnolia::sessions;

namespace
{

const std::vector<std::string> slowTokens{"--token-interval-ms", "20"};

/** Waits until one of the engines holds a stream and returns its number. */
std::size_t findHoldingEngine(Fleet &fleet, std::size_t engines)
{
    std::size_t found = 0;
    const bool isHeld = waitUntil([&] {
        for (std::size_t i = 0; i < engines; ++i) {
            if (!fetchJson(fleet.engine(i).address(), "/v1/streams").at("streams").empty()) {
                found = i;
                return true;
            }
        }
        return false;
    });
    REQUIRE(isHeld);
    return found;
}

/** Returns the answer of `engine`, on which no fault is on, to the same request under the assigned id. */
std::string completeAnswer(const HttpResponse &response, const StandinProcess &engine, const HttpRequest &request)
{
    return call(engine.address(), withAssignedId(response, request)).body;
}

/** Returns the event stream without its comment lines, which only keep the connection open. */
std::string withoutComments(const std::string &body)
{
    std::istringstream lines(body);
    std::string kept;
    bool isAfterComment = false;
    for (std::string line; std::getline(lines, line);) {
        const bool isComment = line.starts_with(":");
        if (!isComment && !(isAfterComment && line.empty())) {
            kept += line + "\n";
        }
        isAfterComment = isComment;
    }
    return kept;
}

} // namespace

TEST_CASE("session: another engine continues a stream after its engine crashes")
{
    Fleet fleet({1, 2, slowTokens});
    const HttpRequest request = counterRequest("dies-1", 60, true);
    StreamingCall caller(fleet.entry().callerAddress(), request);
    const HttpResponse response = caller.readHead();
    CHECK(response.status == 200);
    std::string body = caller.readEvent() + "\n";
    const std::size_t killedEngine = findHoldingEngine(fleet, 2);
    fleet.engine(killedEngine).process().kill();
    body += caller.readRest();
    const StandinProcess &other = fleet.engine(1 - killedEngine);
    CHECK(withoutComments(body) == completeAnswer(response, other, request));
    CHECK(Fleet::waitUntilNoStreams(other));
}

TEST_CASE("session: a truncated answer is continued or ends with an error event")
{
    Fleet fleet({1, 2, {"--token-interval-ms", "5"}});
    const HttpRequest request = counterRequest("cut-1", 30, true);
    fleet.engine(0).control({{"truncate_after_tokens", 7}});
    fleet.engine(1).control({{"truncate_after_tokens", 11}});
    const HttpResponse response = call(fleet.entry().callerAddress(), request);
    const std::string &body = response.body;
    fleet.engine(0).control({{"truncate_after_tokens", -1}});
    fleet.engine(1).control({{"truncate_after_tokens", -1}});
    CHECK(Fleet::waitUntilNoStreams(fleet.engine(0)));
    CHECK(Fleet::waitUntilNoStreams(fleet.engine(1)));
    // Either the complete answer or an error event; never a partial answer that looks complete.
    if (body.find("[DONE]") != std::string::npos) {
        CHECK(withoutComments(body) == completeAnswer(response, fleet.engine(0), request));
    } else {
        CHECK(body.find("event: error") != std::string::npos);
    }
}

TEST_CASE("session: the answer to another request never reaches the caller")
{
    Fleet fleet({1, 2, {"--token-interval-ms", "5"}});
    const HttpRequest request = counterRequest("crossed-1", 8, true);
    fleet.engine(0).control({{"cross_answers", true}});
    const HttpResponse response = call(fleet.entry().callerAddress(), request);
    const std::string expected = completeAnswer(response, fleet.engine(1), request);
    INFO(response.body);
    CHECK(response.body.find("-other") == std::string::npos);
    if (response.status == 200 && response.body.find("event: error") == std::string::npos) {
        CHECK(withoutComments(response.body) == expected);
    }
    CHECK(Fleet::waitUntilNoStreams(fleet.engine(0)));
    CHECK(Fleet::waitUntilNoStreams(fleet.engine(1)));
}

TEST_CASE("session: repeated events reach the caller once")
{
    Fleet fleet;
    fleet.engine().control({{"repeat_events", true}});
    const HttpRequest request = counterRequest("twice-1", 8, true);
    const HttpResponse response = call(fleet.entry().callerAddress(), request);
    const std::string &body = response.body;
    fleet.engine().control({{"repeat_events", false}});
    CHECK(withoutComments(body) == completeAnswer(response, fleet.engine(), request));
}

TEST_CASE("session: a stream is continued on a new connection after its connection goes silent")
{
    Fleet fleet({1, 1, slowTokens});
    const HttpRequest request = counterRequest("silent-1", 40, true);
    StreamingCall caller(fleet.entry().callerAddress(), request);
    const HttpResponse response = caller.readHead();
    CHECK(response.status == 200);
    std::string body = caller.readEvent() + "\n";
    fleet.engine().control({{"silence_open_connections", true}});
    body += caller.readRest();
    CHECK(withoutComments(body) == completeAnswer(response, fleet.engine(), request));
    CHECK(Fleet::waitUntilNoStreams(fleet.engine()));
}

TEST_CASE("session: an engine that reports that it is leaving gets no new requests")
{
    Fleet fleet({1, 2, {"--token-interval-ms", "2"}});
    fleet.engine(0).control({{"leaving", true}});
    for (int i = 0; i < 10; ++i) {
        const std::string id = "leaving-" + std::to_string(i);
        CHECK(call(fleet.entry().callerAddress(), counterRequest(id, 2, true)).body.ends_with("[DONE]\n\n"));
    }
    CHECK(fleet.engine(0).executedRequests().empty());
}

// End-to-end sessions through an entry, compared with golden files.
#include "fleet.h"
#include "waiting.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace magnolia::sessions;

namespace
{

/** Sends the request to the first entry and records the request, the response and the decision log lines. */
HttpResponse recordCall(SessionRecord &record, Fleet &fleet, const HttpRequest &request, const std::string &requestId)
{
    record.add(request);
    HttpResponse response = call(fleet.entry().callerAddress(), request);
    record.add(response);
    waitUntil([&] {
        return SessionRecord::hasFinalLogLine(fleet.entry().log(), requestId);
    });
    record.addLogLines(fleet.entry().log(), requestId);
    return response;
}

HttpRequest withHeader(HttpRequest request, const std::string &name, const std::string &value)
{
    request.headers.emplace_back(name, value);
    return request;
}

} // namespace

TEST_CASE("session: short completion, streamed and not")
{
    Fleet fleet;
    SessionRecord record("short-completion");
    fleet.replaceAddresses(record);
    const HttpResponse streamed = recordCall(record, fleet, counterRequest("short-1", 4, true), "short-1");
    const HttpResponse whole = recordCall(record, fleet, counterRequest("short-2", 4, false), "short-2");
    CHECK(streamed.body.ends_with("data: [DONE]\n\n"));
    CHECK(whole.status == 200);
    CHECK(record.text() == record.golden());
}

TEST_CASE("session: long prompt, streamed and not")
{
    Fleet fleet({1, 1, {"--token-interval-ms", "5", "--prefill-tokens-per-s", "20000000"}});
    SessionRecord record("long-prompt");
    fleet.replaceAddresses(record);
    HttpRequest request = counterRequest("long-1", 3, true);
    request.headers.at(0).second = "archive";
    request.body = R"({"model":"m-large","prompt":")" + std::string(5'000'000, 'a') + "\"}";
    const HttpResponse streamed = recordCall(record, fleet, request, "long-1");
    request.headers.pop_back();
    request.headers.at(3).second = "long-2";
    const HttpResponse whole = recordCall(record, fleet, request, "long-2");
    CHECK(streamed.body.ends_with("data: [DONE]\n\n"));
    CHECK(whole.status == 200);
    CHECK(record.text() == record.golden());
}

TEST_CASE("session: plain service")
{
    Fleet fleet;
    SessionRecord record("plain-service");
    fleet.replaceAddresses(record);
    const std::vector<std::pair<std::string, std::string>> headers{
        {"X-Class", "lookup"}, {"X-Organisation", "tambor-verde"}, {"X-Request-Id", "price-1"}};
    recordCall(
        record, fleet, {"POST", "/v1/services/bookings/prices?head=4711", headers, R"({"head":4711})"}, "price-1");
    HttpRequest read{"GET", "/v1/services/bookings/stock", headers, ""};
    read.headers.at(2).second = "stock-1";
    recordCall(record, fleet, read, "stock-1");
    CHECK(fleet.service().executedRequests().size() == 2);
    CHECK(record.text() == record.golden());
}

TEST_CASE("session: a prompt that cannot meet the targets of its class is refused")
{
    Fleet fleet;
    SessionRecord record("refused-for-its-class");
    fleet.replaceAddresses(record);
    // The entry occasionally admits a request regardless of its prediction, so the test records the first refused one.
    std::size_t sent = 0;
    HttpRequest request = counterRequest("", 4, true);
    request.headers.at(0).second = "impatient";
    HttpResponse response;
    CHECK(waitUntil([&] {
        request.headers.at(3).second = "impatient-" + std::to_string(++sent);
        response = call(fleet.entry().callerAddress(), request);
        return response.status == 503;
    }));
    const std::string id = request.headers.at(3).second;
    waitUntil([&] {
        return SessionRecord::hasFinalLogLine(fleet.entry().log(), id);
    });
    record.replace(id, "<id>");
    record.addComment("no prompt can be answered in the time of this class");
    record.add(request);
    record.add(response);
    record.addLogLines(fleet.entry().log(), id);
    CHECK(response.body.find("\"outcome\":\"not_run\"") != std::string::npos);
    for (const auto &row : fleet.engine().executedRequests()) {
        CHECK_FALSE(row.at("request_id").get<std::string>().starts_with(id + "."));
    }
    CHECK(record.text() == record.golden());
}

TEST_CASE("session: malformed requests")
{
    Fleet fleet;
    SessionRecord record("malformed");
    fleet.replaceAddresses(record);
    const auto recordRefusal = [&](const std::string &comment, HttpRequest request) {
        std::erase_if(request.headers, [](const auto &header) {
            return header.first == "X-Request-Id";
        });
        record.addComment(comment);
        record.add(request);
        const HttpResponse response = call(fleet.entry().callerAddress(), request);
        CHECK(response.status >= 400);
        record.add(response);
    };
    HttpRequest noClass = counterRequest("malformed-1", 4, false);
    noClass.headers.erase(noClass.headers.begin());
    recordRefusal("no class", noClass);
    HttpRequest unknownClass = counterRequest("malformed-2", 4, false);
    unknownClass.headers.at(0).second = "counters";
    recordRefusal("a class that is not published", unknownClass);
    HttpRequest unknownOrganisation = counterRequest("malformed-3", 4, false);
    unknownOrganisation.headers.at(1).second = "tambor-rojo";
    recordRefusal("an organisation that is not published", unknownOrganisation);
    HttpRequest unknownModel = counterRequest("malformed-4", 4, false);
    unknownModel.headers.at(2).second = "m-huge";
    recordRefusal("a model that is not published", unknownModel);
    HttpRequest wrongNumber = counterRequest("malformed-5", 4, false);
    wrongNumber.headers.at(4).second = "four";
    recordRefusal("a number that is none", wrongNumber);
    recordRefusal("a path that is none", {"GET", "/v2/completions", {}, ""});
    recordRefusal("a class for services",
        withHeader({"POST", "/v1/completions", {{"X-Class", "lookup"}}, "{}"}, "X-Organisation", "tambor-verde"));
    recordRefusal("a call that must not be repeated, without a key",
        {"POST", "/v1/services/bookings/pickups", {{"X-Class", "booking"}, {"X-Organisation", "tambor-verde"}}, "{}"});

    record.addComment("a body above the limit, announced");
    record.add(callRaw(fleet.entry().callerAddress(),
        "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nX-Class: counter\r\nX-Organisation: tambor-verde\r\n"
        "Content-Length: 90000000\r\n\r\n"));
    record.addComment("more header fields than the limit");
    std::string flood = "POST /v1/completions HTTP/1.1\r\nHost: entry\r\n";
    for (int i = 0; i < 150; ++i) {
        flood += "X-Field-" + std::to_string(i) + ": 1\r\n";
    }
    record.add(callRaw(fleet.entry().callerAddress(), flood + "\r\n"));

    CHECK(fleet.engine().executedRequests().empty());
    CHECK(fleet.service().executedRequests().empty());
    CHECK(record.text() == record.golden());
}

TEST_CASE("session: a refusal of a malformed request carries the caller's request id")
{
    Fleet fleet;
    HttpRequest request = counterRequest("named-1", 4, false);
    request.headers.erase(request.headers.begin());
    CHECK(call(fleet.entry().callerAddress(), request).headers.at("X-Request-Id").starts_with("named-1."));
}

TEST_CASE("session: input that is not HTTP is refused with status 400 or the connection is closed")
{
    Fleet fleet;
    const std::string response = callRaw(fleet.entry().callerAddress(), "drum head 4711?\r\n\r\n");
    INFO(response);
    CHECK((response.empty() || response.starts_with("HTTP/1.1 400 ")));
}

TEST_CASE("session: caller disconnects during a stream")
{
    Fleet fleet({1, 1, {"--token-interval-ms", "20"}});
    SessionRecord record("caller-gone");
    fleet.replaceAddresses(record);
    const HttpRequest request = counterRequest("gone-1", 300, true);
    record.add(request);
    StreamingCall caller(fleet.entry().callerAddress(), request);
    const HttpResponse head = caller.readHead();
    REQUIRE(head.status == 200);
    record.add(head);
    for (int i = 0; i < 3; ++i) {
        record.add(caller.readEvent() + "\n");
    }
    caller.disconnect();
    record.addComment("the caller closes its connection; the engine's memory comes back");
    CHECK(Fleet::waitUntilNoStreams(fleet.engine()));
    CHECK(record.text() == record.golden());
}

TEST_CASE("session: graceful stop during a stream")
{
    Fleet fleet;
    SessionRecord record("graceful-stop");
    fleet.replaceAddresses(record);
    const HttpRequest request = counterRequest("stop-1", 200, true);
    StreamingCall caller(fleet.entry().callerAddress(), request);
    const HttpResponse head = caller.readHead();
    CHECK(head.status == 200);
    std::string body = caller.readEvent();
    fleet.entry().process().sendSignal(SIGTERM);
    body += "\n" + caller.readRest();

    const HttpResponse direct = call(fleet.engine().address(), withAssignedId(head, request));
    CHECK(body == direct.body);
    CHECK(fleet.entry().process().waitForExit() == 0);
    record.add(request);
    record.addComment("SIGTERM to the entry after the first token; the answer's last events:");
    record.add(body.substr(body.find("id: 198\n")));
    CHECK(record.text() == record.golden());
}

TEST_CASE("session: at the end of its drain an entry answers open requests and takes none that may outlast it")
{
    // Guards against requests that end with the process, without a word on whether they have run.
    Fleet fleet({1, 1, {"--token-interval-ms", "20"}, 3000});
    StreamingCall open(fleet.entry().callerAddress(), counterRequest("open-1", 900, true));
    REQUIRE(open.readHead().status == 200);
    REQUIRE_FALSE(open.readEvent().empty());
    fleet.entry().process().sendSignal(SIGTERM);
    const bool isDraining = waitUntil([&] {
        return fleet.entry().log().find("\"draining\"") != std::string::npos;
    });
    REQUIRE(isDraining);

    const HttpResponse refused = call(fleet.entry().callerAddress(), counterRequest("late-1", 5, true));
    CHECK(refused.status == 503);
    const nlohmann::json error = nlohmann::json::parse(refused.body).at("error");
    CHECK(error.at("name") == "AdmissionStopping");
    CHECK(error.at("this_attempt") == "not_run");

    const std::string rest = open.readRest();
    CHECK(rest.find("event: error") != std::string::npos);
    CHECK(rest.find("AdmissionStopping") != std::string::npos);
    // A drain that had to cut a request is told apart from a whole one.
    CHECK(fleet.entry().process().waitForExit() == 1);
    CHECK(fleet.entry().log().find("\"whole\":false") != std::string::npos);
}

// Tests the HTTP adapters against a local server: parsing, replicas, and limits on size and time.
#include "ports/ports.h"
#include "ports/tests/fakeplatformserver.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace magnolia;
using namespace magnolia::ports;
using magnolia::testing::FakePlatformServer;
using Poco::Net::HTTPServerResponse;

namespace
{

constexpr CallTimeouts shortTimeouts{Milliseconds(200), Milliseconds(300)};
constexpr const char *snapshotText = R"({"revision":7,"values":{"classes":"[]","models":"[\"m\"]"}})";

/** An address without a listener: the port of a stopped server. */
std::string closedAddress()
{
    const FakePlatformServer server([](const std::string &, HTTPServerResponse &) {});
    return server.address();
}

Milliseconds measureTime(const std::function<void()> &call)
{
    const auto begin = std::chrono::steady_clock::now();
    call();
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin);
}

} // namespace

TEST_CASE("a snapshot is read, and a watch sends its revision and wait")
{
    std::string lastUri;
    FakePlatformServer server([&](const std::string &uri, HTTPServerResponse &response) {
        lastUri = uri;
        FakePlatformServer::sendText(response, 200, snapshotText);
    });
    const auto service = makeConfigurationService({server.address()});
    const auto snapshot = service->read(0);
    REQUIRE(snapshot);
    CHECK(snapshot->revision == Revision(7));
    CHECK(snapshot->values.at("models") == "[\"m\"]");
    CHECK(lastUri == "/v1/config");
    const auto watched = service->watch(Revision(6), Milliseconds(1500), 0);
    REQUIRE(watched);
    REQUIRE(watched->has_value());
    CHECK((*watched)->revision == Revision(7));
    CHECK(lastUri == "/v1/config?after=6&wait_ms=1500");
    CHECK(server.callCount() == 2);
}

TEST_CASE("a watch without a newer revision returns an empty value, not an error")
{
    FakePlatformServer server([](const std::string &, HTTPServerResponse &response) {
        response.setStatusAndReason(HTTPServerResponse::HTTP_NO_CONTENT);
        response.send();
    });
    const auto watched
        = makeConfigurationService({server.address()}, shortTimeouts)->watch(Revision(7), Milliseconds(10), 0);
    REQUIRE(watched);
    CHECK_FALSE(watched->has_value());
}

TEST_CASE("replicas are tried in turn, beginning with the requested one")
{
    FakePlatformServer one([](const std::string &, HTTPServerResponse &response) {
        FakePlatformServer::sendText(response, 503, "");
    });
    FakePlatformServer two([](const std::string &, HTTPServerResponse &response) {
        FakePlatformServer::sendText(response, 200, snapshotText);
    });
    const auto service = makeConfigurationService({closedAddress(), one.address(), two.address()}, shortTimeouts);
    CHECK(service->replicaCount() == 3);
    CHECK(service->read(0));
    CHECK(one.callCount() == 1);
    CHECK(two.callCount() == 1);
    CHECK(service->read(2));
    CHECK(one.callCount() == 1);
    CHECK(two.callCount() == 2);
}

TEST_CASE("PlatformUnavailable is returned if no replica answers")
{
    const auto answer = makeConfigurationService({closedAddress()}, shortTimeouts)->read(0);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == ResultCode::PlatformUnavailable);
}

TEST_CASE("malformed answers give PlatformMalformed with a detail text")
{
    std::string body;
    FakePlatformServer server([&](const std::string &, HTTPServerResponse &response) {
        FakePlatformServer::sendText(response, 200, body);
    });
    const auto service = makeConfigurationService({server.address()}, shortTimeouts);
    for (const char *text : {"", "no json", "[]", R"({"revision":-1,"values":{}})", R"({"revision":0,"values":{}})",
             R"({"revision":1,"values":{"a":1}})", R"({"revision":1})", R"({"revision":1,"revision":2,"values":{}})"}) {
        INFO(text);
        body = text;
        const auto answer = service->read(0);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == ResultCode::PlatformMalformed);
        CHECK_FALSE(answer.error().detail.empty());
    }
}

TEST_CASE("an answer above the size limit is rejected")
{
    FakePlatformServer server([](const std::string &, HTTPServerResponse &response) {
        FakePlatformServer::sendText(response, 200, std::string(17 * 1024 * 1024, ' '));
    });
    const auto answer = makeConfigurationService({server.address()})->read(0);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == ResultCode::PlatformMalformed);
}

TEST_CASE("a call to a server that does not answer or sends too slowly ends at the deadline")
{
    std::atomic<bool> isSlow{false};
    FakePlatformServer server([&](const std::string &, HTTPServerResponse &response) {
        if (!isSlow) {
            std::this_thread::sleep_for(Milliseconds(1500));
            return;
        }
        response.setContentLength(1000);
        std::ostream &stream = response.send();
        for (int i = 0; i < 15 && stream.good(); ++i) {
            stream << ' ' << std::flush;
            std::this_thread::sleep_for(Milliseconds(100));
        }
    });
    const auto service = makeConfigurationService({server.address()}, shortTimeouts);
    for (const bool slow : {false, true}) {
        INFO(slow);
        isSlow = slow;
        Result<ConfigurationSnapshot> answer;
        const Milliseconds time = measureTime([&] {
            answer = service->read(0);
        });
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == ResultCode::PlatformUnavailable);
        CHECK(time < Milliseconds(1200));
    }
}

TEST_CASE("a truncated answer gives PlatformUnavailable")
{
    FakePlatformServer server([](const std::string &, HTTPServerResponse &response) {
        const std::string text = snapshotText;
        response.setContentLength64(static_cast<Poco::Int64>(text.size() + 20));
        response.setKeepAlive(false);
        response.send() << text << std::flush;
    });
    const auto answer = makeConfigurationService({server.address()}, shortTimeouts)->read(0);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == ResultCode::PlatformUnavailable);
}

TEST_CASE("the list of instances is sorted, and a malformed row does not hide the others")
{
    FakePlatformServer server([](const std::string &, HTTPServerResponse &response) {
        FakePlatformServer::sendText(response, 200, R"({"revision":3,"generated_at_ms":1700000000123,"instances":[
            {"id":"worker-1","role":"engine","state":"leaving","data_centre":"dc","address":"127.0.0.1:5001",
             "serves":["m-large"],"memory_tokens":500000,"checks_fencing":true,"colour":"red"},
            {"id":"broken","role":"engine","state":"live","data_centre":"dc","address":"nowhere"},
            {"id":"worker-1","role":"engine","state":"live","data_centre":"dc","address":"127.0.0.1:5002"},
            {"id":"entry-1","role":"entry","state":"live","data_centre":"dc","address":"127.0.0.1:8001",
             "peer_address":"127.0.0.1:7001"}]})");
    });
    const auto list = makeInstanceList({server.address()}, shortTimeouts)->read(0);
    REQUIRE(list);
    CHECK(list->revision == 3);
    CHECK(list->generatedAt == WallTime(Milliseconds(1700000000123)));
    REQUIRE(list->instances.size() == 2);
    CHECK(list->instances[0].id == "entry-1");
    CHECK(list->instances[0].peerAddress == "127.0.0.1:7001");
    const PublishedInstance &worker = list->instances[1];
    CHECK(worker.role == InstanceRole::Engine);
    CHECK(worker.isLeaving);
    CHECK(worker.memory == Tokens(500000));
    CHECK(worker.checksFencing);
    CHECK(worker.serves == std::vector<std::string>{"m-large"});
}

TEST_CASE("the weight store's rate limit error contains the retry time, and other failures have their own codes")
{
    int status = 200;
    std::string lastUri;
    FakePlatformServer server([&](const std::string &uri, HTTPServerResponse &response) {
        lastUri = uri;
        response.set("Retry-After", "3");
        FakePlatformServer::sendText(response, status, "weights");
    });
    const auto store = makeWeightStore(server.address(), shortTimeouts);
    CHECK(store->read(ModelId("m/large"), "v1").value() == "weights");
    CHECK(lastUri == "/v1/weights/m%2Flarge/v1");
    status = 429;
    const auto limited = store->read(ModelId("m"), "v1");
    REQUIRE_FALSE(limited);
    CHECK(limited.error().code == ResultCode::OrderRateLimited);
    CHECK(limited.error().retryAfter == Milliseconds(3000));
    status = 404;
    CHECK(store->read(ModelId("m"), "v1").error().code == ResultCode::OrderFailed);
    status = 500;
    CHECK(store->read(ModelId("m"), "v1").error().code == ResultCode::PlatformUnavailable);
}

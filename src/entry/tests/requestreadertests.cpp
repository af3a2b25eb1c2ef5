// Tests of the parsing of callers' requests: error codes, key checks, paths and members of the body.
#include "entry/internal/arrival/bearerkeys.h"
#include "entry/internal/arrival/bodyfields.h"
#include "entry/internal/arrival/requestreader.h"
#include "framework/testing/schedule.h"

#include <catch2/catch.hpp>
#include <Poco/Net/HTTPRequest.h>

using namespace magnolia;
using namespace magnolia::entry;

namespace
{

Configuration configuration()
{
    Configuration made;
    made.revision = Revision(3);
    made.classes[ClassId("counter")]
        = {ClassId("counter"), RequestKind::Model, Milliseconds(500), Milliseconds(5000), true};
    made.classes[ClassId("booking")]
        = {ClassId("booking"), RequestKind::Service, Milliseconds(500), Milliseconds(5000), false};
    made.organisations[OrganisationId("open")] = {OrganisationId("open"), std::nullopt};
    made.organisations[OrganisationId("closed")]
        = {OrganisationId("closed"), std::vector<std::string>{sha256Hex("right")}};
    made.organisations[OrganisationId("revoked")] = {OrganisationId("revoked"), std::vector<std::string>{}};
    made.models.insert(ModelId("m"));
    return made;
}

Poco::Net::HTTPRequest head(const std::string &path, const std::string &className, const std::string &organisation)
{
    Poco::Net::HTTPRequest request("POST", path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("X-Class", className);
    request.set("X-Organisation", organisation);
    return request;
}

Result<CallerRequest> read(const Poco::Net::HTTPRequest &request)
{
    return readHead(request, configuration(), RequestId("r-1"), MonoTime(Seconds(1)));
}

} // namespace

TEST_CASE("each error in the request head is reported with its result code")
{
    CHECK(read(head("/v1/completions", "counter", "open")).has_value());
    CHECK(read(head("/v2/completions", "counter", "open")).error().code == ResultCode::RequestUnknownPath);
    CHECK(read(head("/v1/completions", "nothing", "open")).error().code == ResultCode::RequestUnknownClass);
    CHECK(read(head("/v1/completions", "counter", "nobody")).error().code == ResultCode::RequestUnknownOrganisation);
    CHECK(read(head("/v1/completions", "booking", "open")).error().code == ResultCode::RequestMalformed);
    CHECK(read(head("/v1/services//x", "booking", "open")).error().code == ResultCode::RequestMalformed);
    auto request = head("/v1/completions", "counter", "open");
    request.set("X-Prompt-Tokens", "many");
    CHECK(read(request).error().code == ResultCode::RequestMalformed);
    CHECK(readHead(request, Configuration(), RequestId("r"), MonoTime()).error().code
        == ResultCode::ConfigurationUnavailable);
}

TEST_CASE("an organisation with key hashes is accepted only with one of its bearer keys")
{
    auto request = head("/v1/completions", "counter", "closed");
    CHECK(read(request).error().code == ResultCode::RequestUnauthorised);
    request.set("Authorization", "Bearer wrong");
    CHECK(read(request).error().code == ResultCode::RequestUnauthorised);
    request.set("Authorization", "Basic right");
    CHECK(read(request).error().code == ResultCode::RequestUnauthorised);
    request.set("Authorization", "Bearer right");
    CHECK(read(request).has_value());
}

TEST_CASE("an organisation whose list of key hashes is empty is accepted with no bearer key")
{
    auto request = head("/v1/completions", "counter", "revoked");
    CHECK(read(request).error().code == ResultCode::RequestUnauthorised);
    for (const char *key : {"Bearer right", "Bearer ", "Bearer", ""}) {
        INFO(key);
        request.set("Authorization", key);
        const auto result = read(request);
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error().code == ResultCode::RequestUnauthorised);
    }
}

TEST_CASE("the path of a service request is split into the service name and the upstream path")
{
    const auto request = read(head("/v1/services/bookings/pickups?day=2", "booking", "open"));
    REQUIRE(request.has_value());
    CHECK(request->service == "bookings");
    CHECK(request->upstreamPath == "/pickups?day=2");
    CHECK(read(head("/v1/services/bookings", "booking", "open"))->upstreamPath == "/");
    CHECK(read(head("/v1/services/bookings?x=1", "booking", "open"))->upstreamPath == "/?x=1");
}

TEST_CASE("members of a body are extracted, and text inside a prompt is not mistaken for a member")
{
    const std::string body = R"({"prompt":"say \"stream\": true and \"model\":\"x\"", "model" : "m", "max_tokens":12})";
    CHECK_FALSE(isMemberTrue(body, "stream"));
    CHECK(stringMember(body, "model") == "m");
    CHECK(numberMember(body, "max_tokens") == 12);
    CHECK(isMemberTrue(R"({"a":"stream","stream":true})", "stream"));
    CHECK_FALSE(stringMember(R"({"model":7})", "model").has_value());
    CHECK_FALSE(numberMember(R"({"max_tokens":"x"})", "max_tokens").has_value());
}

TEST_CASE("the search for members does not read past the end of truncated or corrupted bodies")
{
    magnolia::testing::forEachSeed(5000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        std::string body = R"({"model":"m","max_tokens":12,"stream":true,"prompt":"\"model\""})";
        body.resize(random.below(body.size() + 1));
        for (std::uint64_t i = random.below(4); i > 0 && !body.empty(); --i) {
            body[random.below(body.size())] = static_cast<char>(random.below(256));
        }
        static_cast<void>(isMemberTrue(body, "stream"));
        static_cast<void>(stringMember(body, "model"));
        static_cast<void>(numberMember(body, "max_tokens"));
    });
}

TEST_CASE("X-Deadline-Ms can only shorten the finish time, and only for relayed requests")
{
    auto request = head("/v1/completions", "counter", "open");
    request.set("X-Deadline-Ms", "1200");
    CHECK(read(request)->finishDue() == MonoTime(Seconds(1)) + Milliseconds(5000));
    request.set("X-Relayed", "entry-2/1");
    CHECK(read(request)->finishDue() == MonoTime(Seconds(1)) + Milliseconds(1200));
    request.set("X-Deadline-Ms", "99999999");
    CHECK(read(request)->finishDue() == MonoTime(Seconds(1)) + Milliseconds(5000));
}

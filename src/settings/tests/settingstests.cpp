// Tests that the check of the settings reports every problem with its path and that secrets are never printed.
#include "settings/jsondocument.h"
#include "settings/settings.h"
#include "settings/socketaddress.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace magnolia;
using namespace magnolia::settings;

namespace
{

using Json = nlohmann::json;

constexpr const char *secret = "0123456789abcdef0123456789abcdef";

Json validSettings()
{
    return Json{{"instance", "entry-1"}, {"dataCentre", "dc-1"}, {"caller", {{"address", "127.0.0.1:8001"}}},
        {"operator", {{"address", "127.0.0.1:9001"}}},
        {"peer",
            {{"address", "127.0.0.1:7001"}, {"keys", Json::array({{{"id", 1}, {"secret", secret}}})}, {"sendKey", 1}}},
        {"platform",
            {{"configuration", Json::array({"127.0.0.1:6001"})}, {"instances", Json::array({"127.0.0.1:6002"})}}}};
}

std::vector<Problem> findProblems(const Json &json)
{
    const auto result = parseSettings(json.dump());
    return result ? std::vector<Problem>{} : result.error().problems;
}

bool hasProblem(const std::vector<Problem> &problems, const std::string &path, const std::string &part)
{
    return std::any_of(problems.begin(), problems.end(), [&](const Problem &problem) {
        return problem.path == path && problem.text.find(part) != std::string::npos;
    });
}

} // namespace

TEST_CASE("the example settings are valid")
{
    const auto result = readSettings(EXAMPLE_SETTINGS);
    if (!result) {
        FAIL(toString(result.error()));
    }
    CHECK(result->instance == InstanceId("entry-a1"));
    CHECK(result->caller.advertisedAddress == "127.0.0.1:8001");
    CHECK(result->platform.weightStore == "127.0.0.1:6003");
}

TEST_CASE("missing limits have default values")
{
    const auto result = parseSettings(validSettings().dump());
    REQUIRE(result);
    CHECK(result->limits.maxOpenRequests == 4000);
    CHECK(result->limits.maxBodySize == Bytes(16 * 1024 * 1024));
    CHECK(result->limits.upstreamSilenceTimeout == Milliseconds(5000));
    CHECK(result->limits.locateTtl == Milliseconds(5000));
    CHECK(result->log.level == "info");
}

TEST_CASE("an unreadable file gives SettingsUnreadable")
{
    const auto result = readSettings("no-such-folder/entry.jsonc");
    REQUIRE_FALSE(result);
    CHECK(result.error().code == ResultCode::SettingsUnreadable);
}

TEST_CASE("line and block comments are accepted, and a syntax error names its line")
{
    std::string text = validSettings().dump();
    text.insert(1, "// a line\n /* a\n block */");
    CHECK(parseSettings(text));
    const auto broken = parseSettings("{\n  // comment\n  \"instance\": ,\n}");
    REQUIRE_FALSE(broken);
    CHECK(broken.error().code == ResultCode::SettingsInvalid);
    CHECK(hasProblem(broken.error().problems, "", "line 3"));
}

TEST_CASE("all problems are reported with their paths")
{
    Json json = validSettings();
    json["colour"] = "red";
    json["instance"] = 7;
    json["dataCentre"] = "a b";
    json["caller"]["address"] = "localhost:8001";
    json["caller"]["port"] = 1;
    json["operator"]["address"] = "127.0.0.1:70000";
    json["peer"]["keys"] = Json::array(
        {{{"id", 1}, {"secret", "short"}}, {{"id", 1}, {"secret", secret}}, {{"id", 0}, {"secret", secret}}});
    json["peer"]["sendKey"] = 9;
    json["platform"]["configuration"] = Json::array({"127.0.0.1:6001", "127.0.0.1:6001"});
    json["platform"]["instances"] = Json::array();
    json["log"] = {{"level", "loud"}};
    json["limits"] = {{"maxStreams", 0}, {"maxBodyBytes", "16M"}, {"drainMs", -1}, {"locateTtlMs", 1.5}};
    json["weightStore"] = Json::array();
    const auto problems = findProblems(json);
    CHECK(hasProblem(problems, "colour", "unknown key; known keys: caller"));
    CHECK(hasProblem(problems, "instance", "must be a string, is number"));
    CHECK(hasProblem(problems, "dataCentre", "must be 1 to 64 characters"));
    CHECK(hasProblem(problems, "caller.address", "must be ip:port"));
    CHECK(hasProblem(problems, "caller.port", "unknown key; known keys: address, advertise, tls"));
    CHECK(hasProblem(problems, "operator.address", "must be ip:port"));
    CHECK(hasProblem(problems, "peer.keys[0].secret", "must have 32 to 256 characters, has 5"));
    CHECK(hasProblem(problems, "peer.keys[1].id", "duplicate id"));
    CHECK(hasProblem(problems, "peer.keys[2].id", "from 1 to 65535, is 0"));
    CHECK(hasProblem(problems, "peer.sendKey", "must be the id of one of peer.keys"));
    CHECK(hasProblem(problems, "platform.configuration", "duplicate address 127.0.0.1:6001"));
    CHECK(hasProblem(problems, "platform.instances", "at least one"));
    CHECK(hasProblem(problems, "log.level", "must be one of debug"));
    CHECK(hasProblem(problems, "limits.maxStreams", "from 1 to 100000, is 0"));
    CHECK(hasProblem(problems, "limits.maxBodyBytes", "is string"));
    CHECK(hasProblem(problems, "limits.drainMs", "is -1"));
    CHECK(hasProblem(problems, "limits.locateTtlMs", "a whole number"));
    CHECK(hasProblem(problems, "weightStore", "must be an object, is array"));
}

TEST_CASE("each missing section is reported")
{
    const auto problems = findProblems(Json::object());
    for (const char *path : {"instance", "dataCentre", "caller", "operator", "peer", "platform"}) {
        INFO(path);
        CHECK(hasProblem(problems, path, "is missing"));
    }
    CHECK(problems.size() == 6);
}

TEST_CASE("conflicting listener addresses are reported, including a wildcard")
{
    Json json = validSettings();
    json["operator"]["address"] = "127.0.0.1:8001";
    CHECK(hasProblem(findProblems(json), "operator.address", "the same as caller.address"));
    json["operator"]["address"] = "0.0.0.0:8001";
    CHECK(hasProblem(findProblems(json), "operator.address", "the same as caller.address"));
    json["operator"]["address"] = "127.0.0.2:8001";
    CHECK(findProblems(json).empty());
}

TEST_CASE("a wildcard caller address needs an advertised address, and a wildcard peer address is rejected")
{
    Json json = validSettings();
    json["caller"]["address"] = "0.0.0.0:8001";
    CHECK(hasProblem(findProblems(json), "caller.advertise", "since address is a wildcard"));
    json["caller"]["advertise"] = "10.0.0.7:8001";
    CHECK(findProblems(json).empty());
    json["peer"]["address"] = "0.0.0.0:7001";
    CHECK(hasProblem(findProblems(json), "peer.address", "not a wildcard"));
}

TEST_CASE("a duplicate key is reported with its path, including in arrays")
{
    const JsonDocument document = parseJson(R"({"a":1,"b":{"c":1,"c":2},"d":[0,{"e":1,"e":2}],"a":3})");
    REQUIRE(document.problems.size() == 3);
    CHECK(document.problems[0].path == "b.c");
    CHECK(document.problems[1].path == "d[1].e");
    CHECK(document.problems[2].path == "a");
    CHECK(document.problems[0].text == "is listed twice; keep one of them");
}

TEST_CASE("secrets are never printed")
{
    Json json = validSettings();
    const auto settings = parseSettings(json.dump());
    REQUIRE(settings);
    const std::string printed = printSettings(*settings);
    CHECK(printed.find(secret) == std::string::npos);
    CHECK(Json::parse(printed)["limits"]["maxStreams"] == 4000);
    CHECK(Json::parse(printed)["peer"]["keys"][0]["id"] == 1);
    json["peer"]["keys"][0]["secret"] = "too-short-to-pass";
    for (const Problem &problem : findProblems(json)) {
        CHECK(problem.text.find("too-short") == std::string::npos);
    }
}

TEST_CASE("a syntax error within a secret does not print the secret")
{
    const std::string text = R"({"peer":{"keys":[{"id":1,"secret":"hidden-part)";
    for (const std::string &broken : {text, text + "\t\"", text + "\\q\"}]}}"}) {
        const auto result = parseSettings(broken);
        REQUIRE_FALSE(result);
        INFO(toString(result.error()));
        CHECK(toString(result.error()).find("hidden") == std::string::npos);
        CHECK(hasProblem(result.error().problems, "", "not JSON at line 1: invalid string"));
    }
}

TEST_CASE("a socket address is a numeric IP address with a port")
{
    for (const char *text : {"127.0.0.1:1", "[::1]:8080", "10.0.0.255:65535"}) {
        INFO(text);
        CHECK(parseSocketAddress(text));
    }
    for (const char *text : {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:+1",
             "127.0.0.1: 1", "host:80", "::1:80", "[127.0.0.1]:80", "[]:80", "1.2.3:80", "127.0.0.1:80x"}) {
        INFO(text);
        CHECK_FALSE(parseSocketAddress(text));
    }
}

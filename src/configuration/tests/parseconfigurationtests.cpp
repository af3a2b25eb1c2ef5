// Tests of the parsing and validation of a published configuration.
#include "configuration/parseconfiguration.h"
#include "framework/global/random.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace magnolia;
using namespace magnolia::configuration;

namespace
{

constexpr const char *classes = R"([
    // Counter clerks wait for this one.
    {"name":"counter","kind":"model","first_token_ms":800,"finish_ms":20000,"idempotent":true},
    {"name":"booking","kind":"service","first_token_ms":2000,"finish_ms":5000,"idempotent":false}])";

ConfigurationSnapshot validSnapshot()
{
    return {Revision(4),
        {{"classes", classes}, {"models", "[\"m-large\"] /* one */"},
            {"organisations", R"([{"name":"tambor-verde","key_hashes":[")" + std::string(64, 'a') + R"("]}])"}}};
}

std::string problemsOf(const ConfigurationSnapshot &snapshot)
{
    const auto result = parseConfiguration(snapshot);
    return result ? "" : toString(result.error());
}

} // namespace

TEST_CASE("a valid configuration is parsed into typed values")
{
    const auto result = parseConfiguration(validSnapshot());
    REQUIRE(result);
    CHECK(result->revision == Revision(4));
    const RequestClass &booking = result->classes.at(ClassId("booking"));
    CHECK(booking.kind == RequestKind::Service);
    CHECK(booking.finishTarget == Milliseconds(5000));
    CHECK_FALSE(booking.isIdempotent);
    CHECK(result->organisations.at(OrganisationId("tambor-verde")).keyHashes->size() == 1);
    CHECK(result->models.contains(ModelId("m-large")));
}

TEST_CASE("an empty list of key hashes is told from an absent one")
{
    ConfigurationSnapshot snapshot = validSnapshot();
    snapshot.values["organisations"] = R"([{"name":"open"},{"name":"closed","key_hashes":[]}])";
    const auto result = parseConfiguration(snapshot);
    REQUIRE(result);
    CHECK_FALSE(result->organisations.at(OrganisationId("open")).keyHashes.has_value());
    const auto &closed = result->organisations.at(OrganisationId("closed")).keyHashes;
    REQUIRE(closed.has_value());
    CHECK(closed->empty());
}

TEST_CASE("organisations may be published in numbered parts without gaps")
{
    ConfigurationSnapshot snapshot = validSnapshot();
    snapshot.values.erase("organisations");
    CHECK(problemsOf(snapshot).find("organisations: is missing") != std::string::npos);
    snapshot.values["organisations/0"] = R"([{"name":"a"}])";
    snapshot.values["organisations/1"] = R"([{"name":"b"}])";
    CHECK(parseConfiguration(snapshot)->organisations.size() == 2);
    snapshot.values["organisations/3"] = "[]";
    CHECK(problemsOf(snapshot).find("organisations/3: parts must be numbered") != std::string::npos);
    snapshot.values.erase("organisations/3");
    snapshot.values["organisations/02"] = "[]";
    CHECK(problemsOf(snapshot).find("organisations/02: must end in a part number") != std::string::npos);
    snapshot.values.erase("organisations/02");
    snapshot.values["organisations"] = "[]";
    CHECK(problemsOf(snapshot).find("publish either the single key or the numbered parts") != std::string::npos);
}

TEST_CASE("every problem of a published configuration is reported with its path")
{
    ConfigurationSnapshot snapshot = validSnapshot();
    snapshot.revision = Revision();
    snapshot.values["classes"] = R"([
        {"name":"a","kind":"batch","first_token_ms":0,"finish_ms":20000,"idempotent":"yes"},
        {"name":"b","kind":"model","first_token_ms":900,"finish_ms":800,"idempotent":true,"weight":3},
        {"name":"b","kind":"model","first_token_ms":1,"finish_ms":2,"idempotent":true}, 7])";
    snapshot.values["models"] = R"(["m","m",""])";
    snapshot.values["organisations"] = R"([{"name":"x y"},{"name":"z","key_hashes":["ABC"]},{"name":"z"}])";
    snapshot.values["weights"] = "{}";
    const std::string text = problemsOf(snapshot);
    for (const char *expected : {"revision: must be above 0", "classes[0].kind: must be model or service",
             "classes[0].first_token_ms: must be a whole number from 1", "classes[0].idempotent: must be true or false",
             "classes[1].finish_ms: must not be below first_token_ms", "classes[1].weight: unknown key",
             "classes[2].name: class b is listed twice", "classes[3]: must be an object, is number",
             "models[1]: model m is listed twice", "models[2]: must be the name of a model",
             "organisations[0].name: must be 1 to 128", "organisations[1].key_hashes: each must be a SHA-256",
             "organisations[2].name: organisation z is listed twice", "weights: unknown key"}) {
        INFO(expected << "\n" << text);
        CHECK(text.find(expected) != std::string::npos);
    }
    CHECK(parseConfiguration(snapshot).error().code == ResultCode::ConfigurationInvalid);
}

TEST_CASE("syntax errors, duplicate keys and oversized values are reported")
{
    ConfigurationSnapshot snapshot = validSnapshot();
    snapshot.values["models"] = "[\"m\",\n]";
    CHECK(problemsOf(snapshot).find("models: not JSON at line 2") != std::string::npos);
    snapshot.values["models"] = "{}";
    CHECK(problemsOf(snapshot).find("models: must be an array, is object") != std::string::npos);
    snapshot.values["models"] = "[" + std::string(1024 * 1024, ' ') + "]";
    CHECK(problemsOf(snapshot).find("models: must be at most 1048576 bytes") != std::string::npos);
    snapshot = validSnapshot();
    snapshot.values["organisations"] = R"([{"name":"a","name":"b"}])";
    CHECK(problemsOf(snapshot).find("organisations[0].name: is listed twice") != std::string::npos);
}

TEST_CASE("parsing of corrupted text succeeds or fails, but never throws")
{
    const ConfigurationSnapshot valid = validSnapshot();
    Random random(20240901);
    constexpr int rounds = 20'000;
    int rejected = 0;
    for (int i = 0; i < rounds; ++i) {
        ConfigurationSnapshot snapshot = valid;
        auto it = snapshot.values.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random.below(snapshot.values.size())));
        std::string &text = it->second;
        const std::size_t at = random.below(text.size());
        if (random.chance(0.3)) {
            text.resize(at);
        } else {
            text[at] = static_cast<char>(random.below(256));
        }
        rejected += parseConfiguration(snapshot) ? 0 : 1;
    }
    CHECK(rejected > rounds / 4);
}

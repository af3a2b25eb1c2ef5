// At-most-once execution: a non-idempotent request that is resent to several entries runs at most once, and a request
// that is refused as `not_run` has not run.
#include "fleet.h"
#include "waiting.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <future>

using namespace magnolia::sessions;

namespace
{

// Code of the error for a key that was created before the entry's ownership of it was confirmed.
constexpr int keyOwnershipTooNew = 4008;

HttpRequest bookingRequest(const std::string &requestId, const std::string &key)
{
    return {"POST", "/v1/services/bookings/pickups",
        {{"X-Class", "booking"}, {"X-Organisation", "tambor-verde"}, {"X-Request-Id", requestId},
            {"Idempotency-Key", key}},
        R"({"drums":12})"};
}

std::string fetchNewKey(Fleet &fleet)
{
    const auto located = fetchJson(fleet.entry().callerAddress(), "/v1/locate");
    return located.at("idempotency_key").get<std::string>();
}

int errorCode(const HttpResponse &response)
{
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    return json.is_object() && json.contains("error") ? json["error"].value("code", 0) : 0;
}

std::string errorOutcome(const HttpResponse &response)
{
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    return json.is_object() && json.contains("error") ? json["error"].value("outcome", "") : "";
}

/**
 * Waits until each entry has confirmed the ownership of its keys: requests with 20 consecutive new keys, which are
 * spread over the two owners, must pass.
 */
void waitForKeyOwnership(Fleet &fleet)
{
    constexpr int requiredConsecutiveKeys = 20;
    int consecutiveKeys = 0;
    const bool isOwnershipConfirmed = waitUntil([&] {
        const HttpResponse response
            = call(fleet.entry(0).callerAddress(), bookingRequest("settling", fetchNewKey(fleet)));
        consecutiveKeys = errorCode(response) == keyOwnershipTooNew ? 0 : consecutiveKeys + 1;
        return consecutiveKeys == requiredConsecutiveKeys;
    });
    REQUIRE(isOwnershipConfirmed);
}

/** Waits for the key ownership, sends a booking with a new key and returns the key. */
std::string runFirstBooking(Fleet &fleet, HttpResponse &response)
{
    waitForKeyOwnership(fleet);
    std::string key = fetchNewKey(fleet);
    response = call(fleet.entry(0).callerAddress(), bookingRequest("first", key));
    return key;
}

} // namespace

TEST_CASE("session: a booking resent to another entry with the same key runs once")
{
    Fleet fleet({2, 1, {}});
    HttpResponse first;
    const std::string key = runFirstBooking(fleet, first);
    REQUIRE(first.status == 200);
    const std::size_t executedBefore = fleet.service().executedRequests().size();
    const HttpResponse again = call(fleet.entry(1).callerAddress(), bookingRequest("second", key));
    CHECK(again.status == 200);
    CHECK(again.body == first.body);
    CHECK(fleet.service().executedRequests().size() == executedBefore);

    HttpRequest other = bookingRequest("third", key);
    other.body = R"({"drums":13})";
    const HttpResponse refused = call(fleet.entry(1).callerAddress(), other);
    CHECK(refused.status >= 400);
    CHECK(fleet.service().executedRequests().size() == executedBefore);

    SessionRecord record("at-most-once");
    fleet.replaceAddresses(record);
    record.add(bookingRequest("first", key));
    record.add(first);
    record.addComment("the same key to the other entry");
    record.add(bookingRequest("second", key));
    record.add(again);
    record.addComment("the same key with another body");
    record.add(other);
    record.add(refused);
    CHECK(record.text() == record.golden());
}

TEST_CASE("session: a booking sent to two entries at the same time with the same key runs once")
{
    Fleet fleet({2, 1, {}});
    HttpResponse first;
    runFirstBooking(fleet, first);
    constexpr int bookings = 20;
    for (int i = 0; i < bookings; ++i) {
        const std::string key = fetchNewKey(fleet);
        const std::string id = "racing-" + std::to_string(i);
        auto other = std::async(std::launch::async, [&] {
            return call(fleet.entry(1).callerAddress(), bookingRequest(id + "b", key));
        });
        const HttpResponse one = call(fleet.entry(0).callerAddress(), bookingRequest(id + "a", key));
        const HttpResponse two = other.get();
        INFO(one.body);
        INFO(two.body);
        CHECK((one.status == 200 || two.status == 200));
    }
    for (const auto &row : fleet.service().executedRequests()) {
        INFO(row.dump());
        CHECK(row.at("count") == 1);
    }
}

TEST_CASE("session: the outcome is unknown if the service drops the connection after the call ran")
{
    Fleet fleet({2, 1, {}});
    HttpResponse first;
    runFirstBooking(fleet, first);
    fleet.service().control({{"drop_after_request", true}});
    const std::string key = fetchNewKey(fleet);
    const HttpResponse lost = call(fleet.entry(0).callerAddress(), bookingRequest("lost", key));
    CHECK(lost.status >= 500);
    CHECK(errorOutcome(lost) == "unknown");
    fleet.service().control({{"drop_after_request", false}});
    for (int i = 0; i < 2; ++i) {
        const HttpResponse again = call(fleet.entry(i).callerAddress(), bookingRequest("again", key));
        CHECK(again.status >= 400);
        CHECK(errorOutcome(again) == "unknown");
    }
    CHECK(fleet.service().executedRequests().back().at("count") == 1);
}

TEST_CASE("session: a booking refused with the outcome not_run did not run")
{
    Fleet fleet({2, 1, {}});
    HttpResponse first;
    runFirstBooking(fleet, first);
    const std::size_t executedBefore = fleet.service().executedRequests().size();
    fleet.service().control({{"leaving", true}});
    const HttpResponse refused = call(fleet.entry(0).callerAddress(), bookingRequest("refused", fetchNewKey(fleet)));
    CHECK(refused.status >= 400);
    CHECK(errorOutcome(refused) == "not_run");
    CHECK(fleet.service().executedRequests().size() == executedBefore);
}

TEST_CASE("session: a booking does not run again after the entry that received it crashed")
{
    Fleet fleet({2, 1, {}});
    HttpResponse first;
    const std::string key = runFirstBooking(fleet, first);
    REQUIRE(first.status == 200);
    fleet.entry(0).process().kill();
    fleet.entry(0).start();
    REQUIRE(fleet.entry(0).waitUntilReady());
    for (int i = 0; i < 2; ++i) {
        const HttpResponse again = call(fleet.entry(i).callerAddress(), bookingRequest("again", key));
        INFO(again.body);
        CHECK((again.status == 200 || errorOutcome(again) != "not_run"));
    }
    for (const auto &row : fleet.service().executedRequests()) {
        CHECK(row.at("count") == 1);
    }
}

// The format of keys, the limits of the table and the decisions of a single owner.
#include "idempotency/keycontroller.h"
#include "idempotency/uuidv7.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cctype>

using namespace magnolia;
using namespace magnolia::idempotency;

namespace
{

constexpr WallTime epoch{std::chrono::hours(24 * 20000)};

class NullTransport : public IHandoverTransport
{
public:
    void send(const InstanceId &, const HandoverPart &) override
    {
    }
    void send(const InstanceId &, const HandoverAck &) override
    {
    }
    void send(const InstanceId &, const HandedOverKey &) override
    {
    }
};

PublishedList listOf(std::uint64_t revision, WallTime stamp, const std::vector<std::string> &instances)
{
    PublishedList list;
    list.revision = revision;
    list.generatedAt = stamp;
    for (const std::string &id : instances) {
        PublishedInstance item;
        item.id = id;
        list.instances.push_back(item);
    }
    return list;
}

/** A controller that has been the only owner for a minute at time `now`. */
struct Fixture
{
    explicit Fixture(KeyParameters parameters = {})
        : controller(InstanceId("a"), Incarnation(1), epoch, parameters, transport)
    {
        controller.applyList(listOf(1, epoch, {"a"}), epoch);
        controller.applyList(listOf(1, now, {"a"}), now);
    }
    KeyedRequest request(WallTime createdAt, std::uint64_t requestHash = 1)
    {
        return {{OrganisationId("o"), makeKey(createdAt, random)}, requestHash, false};
    }
    ResultCode refusal(const KeyedRequest &it, WallTime at)
    {
        const BeginDecision decision = controller.begin(it, at);
        const auto *refused = std::get_if<KeyRefusal>(&decision);
        return refused == nullptr ? ResultCode::Ok : refused->code;
    }

    NullTransport transport;
    WallTime now = epoch + Seconds(60);
    Random random{3};
    KeyController controller;
};

} // namespace

TEST_CASE("a key contains its creation time, and any text but a UUID version 7 is refused")
{
    Random random(1);
    for (int i = 0; i < 1000; ++i) {
        const WallTime time = epoch + Milliseconds(random.below(1'000'000'000));
        CHECK(creationTime(makeKey(time, random)) == time);
    }
    CHECK(creationTime(IdempotencyKey("")).error().code == ResultCode::KeyMissing);
    const auto bad = {"x", "0190163d-8694-4a9b-8a9b-0123456789ab", "0190163d-8694-7a9b-ca9b-0123456789ab",
        "0190163d-8694-7a9b-8a9b-0123456789abc", "0190163g-8694-7a9b-8a9b-0123456789ab",
        "0190163d08694-7a9b-8a9b-0123456789ab"};
    for (const char *text : bad) {
        INFO(text);
        CHECK(creationTime(IdempotencyKey(text)).error().code == ResultCode::KeyMalformed);
    }
}

TEST_CASE("a new key runs once, and a resend gets the stored answer")
{
    Fixture it;
    const KeyedRequest request = it.request(it.now);
    const BeginDecision first = it.controller.begin(request, it.now);
    const Permit permit = std::get<RunLocally>(first).permit;
    CHECK(it.refusal(request, it.now) == ResultCode::KeyInFlight);
    REQUIRE(it.controller.confirmDispatch(permit, it.now));
    CHECK_FALSE(it.controller.confirmDispatch(permit, it.now));
    CHECK(it.refusal(request, it.now) == ResultCode::KeyInFlight);
    it.controller.complete(permit, {201, "application/json", "{}"});
    const BeginDecision again = it.controller.begin(request, it.now);
    CHECK(std::get<Replay>(again).answer == StoredAnswer{201, "application/json", "{}"});
    KeyedRequest other = request;
    other.requestHash = 2;
    CHECK(it.refusal(other, it.now) == ResultCode::KeyReusedForOtherRequest);
}

TEST_CASE("a key in upper case equals the one in lower case")
{
    Fixture it;
    KeyedRequest request = it.request(it.now);
    REQUIRE(it.refusal(request, it.now) == ResultCode::Ok);
    std::string text = request.name.key.value();
    std::transform(text.begin(), text.end(), text.begin(), ::toupper);
    request.name.key = IdempotencyKey(text);
    CHECK(it.refusal(request, it.now) == ResultCode::KeyInFlight);
}

TEST_CASE("a lost answer leaves the outcome unknown, and an attempt that sent nothing releases its key")
{
    Fixture it;
    const KeyedRequest lost = it.request(it.now);
    const Permit sent = std::get<RunLocally>(it.controller.begin(lost, it.now)).permit;
    REQUIRE(it.controller.confirmDispatch(sent, it.now));
    it.controller.abandon(sent);
    it.controller.loseAnswer(sent);
    CHECK(it.refusal(lost, it.now) == ResultCode::KeyOutcomeUnknown);

    const KeyedRequest freed = it.request(it.now);
    it.controller.abandon(std::get<RunLocally>(it.controller.begin(freed, it.now)).permit);
    const Permit second = std::get<RunLocally>(it.controller.begin(freed, it.now)).permit;
    REQUIRE(it.controller.closeNotRun(second, it.now));
    CHECK(it.refusal(freed, it.now) == ResultCode::KeyClosed);
}

TEST_CASE(
    "keys from the future, expired keys and keys within the hold-off are refused, and so is dispatch with an old list")
{
    Fixture it;
    const KeyParameters parameters;
    CHECK(it.refusal(it.request(it.now + parameters.maxClockSkew + Milliseconds(1)), it.now)
        == ResultCode::KeyFromFuture);
    CHECK(it.refusal(it.request(it.now - parameters.retention), it.now) == ResultCode::KeyExpired);
    CHECK(it.refusal(it.request(epoch + parameters.holdOff()), it.now) == ResultCode::KeyOwnershipTooNew);

    const KeyedRequest request = it.request(it.now);
    const Permit permit = std::get<RunLocally>(it.controller.begin(request, it.now)).permit;
    const WallTime late = it.now + parameters.listValidity + Milliseconds(1);
    const KeyCheck check = it.controller.confirmDispatch(permit, late);
    REQUIRE_FALSE(check);
    CHECK(check.error().code == ResultCode::KeyOwnershipUnconfirmed);
    CHECK(check.error().thisAttempt == Outcome::NotRun);
    CHECK(check.error().outcome == Outcome::Unknown);
    CHECK(it.refusal(request, late) == ResultCode::KeyOwnershipUnconfirmed);
}

TEST_CASE("the table limits the keys, the keys of an organisation and the size of answers")
{
    KeyParameters parameters;
    parameters.maxKeys = 20;
    parameters.maxKeysPerOrganisation = 10;
    parameters.maxTotalAnswerSize = Bytes(100);
    Fixture it(parameters);
    KeyedRequest first;
    for (int i = 0; i < 10; ++i) {
        const KeyedRequest request = it.request(it.now);
        first = i == 0 ? request : first;
        const Permit permit = std::get<RunLocally>(it.controller.begin(request, it.now)).permit;
        REQUIRE(it.controller.confirmDispatch(permit, it.now));
        it.controller.complete(permit, {200, "", std::string(40, 'x')});
        CHECK(it.controller.table().answerBytes() <= Bytes(100));
    }
    CHECK(it.refusal(it.request(it.now), it.now) == ResultCode::KeyTableFull);
    CHECK(it.refusal(first, it.now) == ResultCode::KeyAlreadyRan);
    KeyedRequest other = it.request(it.now);
    other.name.organisation = OrganisationId("p");
    CHECK(it.refusal(other, it.now) == ResultCode::Ok);

    it.controller.tick(it.now + parameters.retention);
    CHECK(it.controller.table().size() == 0);
    CHECK(it.controller.table().answerBytes() == Bytes(0));
    // A removed key stays refused after the clock is set back.
    CHECK(it.refusal(first, it.now) == ResultCode::KeyExpired);
}

TEST_CASE("closed keys have a limit of their own and do not use up the limit of other keys")
{
    KeyParameters parameters;
    parameters.maxKeys = 10;
    parameters.maxKeysPerOrganisation = 5;
    parameters.maxClosedKeys = 20;
    Fixture it(parameters);
    for (int i = 0; i < 30; ++i) {
        const Permit permit = std::get<RunLocally>(it.controller.begin(it.request(it.now), it.now)).permit;
        const KeyCheck closed = it.controller.closeNotRun(permit, it.now);
        CHECK(closed.has_value() == (i < 20));
        // At the limit the outcome stays unknown, and the key is released.
        CHECK((closed || closed.error().outcome == Outcome::Unknown));
    }
    CHECK(it.controller.table().size() == 20);
    it.controller.tick(it.now + parameters.retention);
    CHECK(it.controller.table().size() == 0);
}

TEST_CASE("an attempt that the upstream did not run may be dispatched again or closed")
{
    Fixture it;
    const KeyedRequest request = it.request(it.now);
    const Permit permit = std::get<RunLocally>(it.controller.begin(request, it.now)).permit;
    REQUIRE(it.controller.confirmDispatch(permit, it.now));
    it.controller.retract(permit);
    REQUIRE(it.controller.confirmDispatch(permit, it.now));
    it.controller.retract(permit);
    REQUIRE(it.controller.closeNotRun(permit, it.now));
    it.controller.retract(permit);
    CHECK(it.refusal(request, it.now) == ResultCode::KeyClosed);
}

TEST_CASE("an instance that is not the owner relays a request once and never runs it")
{
    Fixture it;
    it.controller.applyList(listOf(2, it.now, {"a", "b", "c"}), it.now);
    for (int i = 0; i < 100; ++i) {
        KeyedRequest request = it.request(it.now);
        const auto owner = it.controller.owner(request.name);
        const BeginDecision decision = it.controller.begin(request, it.now);
        if (owner == InstanceId("a")) {
            CHECK(std::holds_alternative<RunLocally>(decision));
            continue;
        }
        CHECK(std::get<RelayTo>(decision).owner == *owner);
        request.isRelayed = true;
        CHECK(it.refusal(request, it.now) == ResultCode::KeyOwnershipUnconfirmed);
    }
}

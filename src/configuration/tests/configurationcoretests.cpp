// Tests of the rules of the core, and of the decoding of corrupted messages.
#include "configuration/configurationcore.h"
#include "configuration/snapshotdelta.h"
#include "peerlink/binarycodec.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::configuration;

namespace
{

ConfigurationSnapshot snapshotOf(std::uint64_t revision, const std::string &models = "[\"m\"]")
{
    return {Revision(revision), {{"classes", "[]"}, {"organisations", "[]"}, {"models", models}}};
}

MonoTime at(std::int64_t ms)
{
    return MonoTime(Milliseconds(ms));
}

template <typename Effect>
std::vector<Effect> effectsOf(const ConfigurationEffects &effects)
{
    std::vector<Effect> found;
    for (const ConfigurationEffect &effect : effects) {
        if (const auto *it = std::get_if<Effect>(&effect)) {
            found.push_back(*it);
        }
    }
    return found;
}

PeersChanged peersOf(const std::vector<std::string> &ids)
{
    PeersChanged event;
    for (const std::string &id : ids) {
        event.peers.push_back({InstanceId(id), DataCentreId("dc")});
    }
    return event;
}

ConfigurationState startedState(const std::string &id)
{
    ConfigurationState state({InstanceId(id), DataCentreId("dc"), 1}, {}, 1);
    start(state, at(0));
    return state;
}

MessageReceived announcement(const std::string &from, const ConfigurationSnapshot &snapshot, std::uint64_t queryId = 0)
{
    ConfigurationMessage message;
    message.revision = snapshot.revision;
    message.digest = snapshotDigest(snapshot);
    message.queryId = queryId;
    return {InstanceId(from), message};
}

SnapshotReceived fullSnapshot(const std::string &from, const ConfigurationSnapshot &snapshot)
{
    return {InstanceId(from), makeDelta({}, snapshot, snapshotDigest(snapshot))};
}

} // namespace

TEST_CASE("all instances elect the same two watchers of a data centre")
{
    const std::vector<std::string> ids{"a", "b", "c", "d", "e"};
    int elected = 0;
    for (const std::string &id : ids) {
        ConfigurationState state = startedState(id);
        static_cast<void>(step(state, peersOf(ids), at(1)));
        elected += state.isElected ? 1 : 0;
    }
    CHECK(elected == 2);
}

TEST_CASE("an instance without peers is ready once the service has answered")
{
    ConfigurationState state = startedState("a");
    static_cast<void>(step(state, peersOf({}), at(1)));
    CHECK_FALSE(isReady(state));
    const auto calls = effectsOf<CallService>(tick(state, at(600)));
    REQUIRE(calls.size() == 1);
    const auto effects = step(state, ServiceAnswered{calls[0].callId, snapshotOf(3)}, at(610));
    CHECK(effectsOf<ApplyConfiguration>(effects).size() == 1);
    CHECK(isReady(state));
    CHECK(currentRevision(state) == Revision(3));
}

TEST_CASE("a service that answers at once is called at most about twice a second")
{
    ConfigurationState state = startedState("a");
    static_cast<void>(step(state, peersOf({}), at(1)));
    int calls = 0;
    std::uint64_t revision = 0;
    for (std::int64_t ms = 0; ms < 10'000; ms += 10) {
        for (const CallService &call : effectsOf<CallService>(tick(state, at(ms)))) {
            ++calls;
            static_cast<void>(step(state, ServiceAnswered{call.callId, snapshotOf(++revision)}, at(ms)));
        }
    }
    CHECK(calls <= 21);
    CHECK(calls >= 15);
}

TEST_CASE("a rejected revision is not fetched again, unless it has different content")
{
    ConfigurationState state = startedState("a");
    static_cast<void>(step(state, peersOf({"b", "c"}), at(1)));
    const ConfigurationSnapshot bad = snapshotOf(5, "[");
    CHECK(effectsOf<FetchFromPeer>(step(state, announcement("b", bad), at(10))).size() == 1);
    CHECK(effectsOf<ReportRejected>(step(state, fullSnapshot("b", bad), at(20))).size() == 1);
    CHECK(effectsOf<FetchFromPeer>(step(state, announcement("b", bad), at(1'000))).empty());
    const ConfigurationSnapshot good = snapshotOf(5);
    CHECK(effectsOf<FetchFromPeer>(step(state, announcement("c", good), at(1'100))).size() == 1);
    CHECK(effectsOf<ApplyConfiguration>(step(state, fullSnapshot("c", good), at(1'110))).size() == 1);
}

TEST_CASE("a lower revision from a peer or the service is ignored")
{
    ConfigurationState state = startedState("a");
    static_cast<void>(step(state, peersOf({"b"}), at(1)));
    static_cast<void>(step(state, ServiceAnswered{0, snapshotOf(9)}, at(10)));
    CHECK(effectsOf<ApplyConfiguration>(step(state, fullSnapshot("b", snapshotOf(8)), at(20))).empty());
    const auto effects = step(state, ServiceAnswered{0, snapshotOf(7)}, at(30));
    CHECK(effectsOf<ApplyConfiguration>(effects).empty());
    CHECK(effectsOf<ReportStale>(effects).size() == 1);
    CHECK(effectsOf<ReportStale>(step(state, ServiceAnswered{0, snapshotOf(7)}, at(40))).empty());
    CHECK(currentRevision(state) == Revision(9));
}

TEST_CASE("different content under the current revision is reported once")
{
    ConfigurationState state = startedState("a");
    static_cast<void>(step(state, peersOf({"b"}), at(1)));
    static_cast<void>(step(state, ServiceAnswered{0, snapshotOf(9)}, at(10)));
    const MessageReceived other = announcement("b", snapshotOf(9, "[\"other\"]"));
    CHECK(effectsOf<ReportDiverged>(step(state, other, at(20))).size() == 1);
    CHECK(effectsOf<ReportDiverged>(step(state, other, at(30))).empty());
}

TEST_CASE("a peer is answered with a delta if its revision is known, otherwise with the full snapshot")
{
    ConfigurationState state = startedState("a");
    const ConfigurationSnapshot first = snapshotOf(1);
    const ConfigurationSnapshot second = snapshotOf(2, "[\"m\",\"n\"]");
    static_cast<void>(step(state, ServiceAnswered{0, first}, at(10)));
    static_cast<void>(step(state, ServiceAnswered{0, second}, at(20)));
    const SnapshotAnswer delta = answerRequest(state, {first.revision, snapshotDigest(first)});
    CHECK(delta.base == Revision(1));
    CHECK(delta.edits.size() == 1);
    CHECK(applyDelta(first, delta)->values == second.values);
    const SnapshotAnswer full = answerRequest(state, {first.revision, 12345});
    CHECK(full.base == Revision());
    CHECK(applyDelta({}, full)->values == second.values);
    CHECK(answerRequest(state, {Revision(7), 1}).edits.empty());
}

TEST_CASE("an instance that is not a watcher and hears no peer starts to call the service within 3 s")
{
    const std::vector<std::string> ids{"a", "b", "c", "d", "e"};
    for (const std::string &id : ids) {
        ConfigurationState state = startedState(id);
        static_cast<void>(step(state, peersOf(ids), at(1)));
        if (state.isElected) {
            continue;
        }
        // All peers answer the catch-up and report a watcher, then send nothing more.
        static_cast<void>(step(state, ServiceAnswered{0, snapshotOf(1)}, at(2)));
        for (const std::string &peer : ids) {
            MessageReceived answer = announcement(peer, snapshotOf(1), state.catchUp.queryId);
            answer.message.watcher = InstanceId(peer);
            static_cast<void>(step(state, answer, at(3)));
        }
        std::int64_t firstCall = 0;
        for (std::int64_t ms = 2'010; ms <= 3'300 && firstCall == 0; ms += 100) {
            state.catchUp.isActive = false;
            state.lastActiveAt = at(ms);
            firstCall = effectsOf<CallService>(tick(state, at(ms))).empty() ? 0 : ms;
        }
        INFO(id);
        CHECK(firstCall > 0);
    }
}

TEST_CASE("corrupted messages from peers are rejected or handled, but never throw")
{
    const ConfigurationSnapshot base = snapshotOf(1);
    const ConfigurationSnapshot target = snapshotOf(2, "[\"m\",\"n\"]");
    ConfigurationMessage message;
    message.watcher = InstanceId("watcher");
    const std::string encodedMessage = peerlink::encode(message);
    const std::string encodedRequest = peerlink::encode(SnapshotRequest{Revision(1), 2});
    const std::string encodedAnswer = peerlink::encode(makeDelta(base, target, snapshotDigest(target)));
    REQUIRE(peerlink::decode<ConfigurationMessage>(encodedMessage)->watcher == message.watcher);
    REQUIRE(applyDelta(base, *peerlink::decode<SnapshotAnswer>(encodedAnswer))->values == target.values);

    ConfigurationState state = startedState("a");
    static_cast<void>(step(state, peersOf({"b"}), at(1)));
    static_cast<void>(step(state, ServiceAnswered{0, base}, at(2)));
    Random random(20240902);
    const auto corrupt = [&random](std::string text) {
        for (std::uint64_t i = 0; i <= random.below(3); ++i) {
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        }
        text.resize(random.chance(0.2) ? random.below(text.size()) : text.size());
        return text;
    };
    for (int i = 0; i < 20'000; ++i) {
        if (const auto it = peerlink::decode<ConfigurationMessage>(corrupt(encodedMessage))) {
            static_cast<void>(step(state, MessageReceived{InstanceId("b"), *it}, at(3)));
        }
        if (const auto it = peerlink::decode<SnapshotRequest>(corrupt(encodedRequest))) {
            static_cast<void>(answerRequest(state, *it));
        }
        if (const auto it = peerlink::decode<SnapshotAnswer>(corrupt(encodedAnswer))) {
            static_cast<void>(step(state, SnapshotReceived{InstanceId("b"), *it}, at(3)));
        }
        REQUIRE(currentRevision(state) >= Revision(1));
    }
}

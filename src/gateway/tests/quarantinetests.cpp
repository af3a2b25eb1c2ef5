// Checks that crashes of upstreams are told from other broken connections, and what callers of quarantined requests
// get.
#include "gatewayfixture.h"

#include "gateway/internal/crashmonitor.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

constexpr Milliseconds crashDelay{30};
constexpr Milliseconds settleTime{100};

bool hasPart(const std::string &request, const std::string &part)
{
    return headerField(request, "Prompt-Parts").find(part + ':') != std::string::npos;
}

/** Adds engines that end, or only reset their connections, when they begin with a prompt that has the part "bad". */
void addEngines(GatewayFixture &fixture, int count, bool isCrashing)
{
    for (int i = 0; i < count; ++i) {
        const auto index = fixture.upstreams.size();
        fixture.addUpstream("service",
            [&fixture, index, isCrashing](Connection &connection, const std::string &request, int /*number*/) {
                if (!hasPart(request, "bad")) {
                    connection.send(eventStreamHead(request) + eventChunk(1) + "0\r\n\r\n");
                    return;
                }
                fixture.loop.after(crashDelay, [&fixture, index, isCrashing, stream = connection.stream] {
                    if (isCrashing) {
                        fixture.upstreams[index]->stopListening();
                    }
                    stream->reset();
                });
            });
    }
}

httpwire::RequestHead makePrompt(const GatewayFixture &fixture, const std::string &id, const std::string &parts)
{
    httpwire::RequestHead head = fixture.makeRequest(id);
    head.fields.add("Prompt-Parts", parts);
    return head;
}

void runPrompt(
    GatewayFixture &fixture, const std::string &id, const std::string &parts, const std::string &deadlineMs = "4000")
{
    httpwire::RequestHead head = makePrompt(fixture, id, parts);
    head.fields.remove("Deadline");
    head.fields.add("Deadline", deadlineMs);
    const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), std::move(head), "body");
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
    fixture.runUntil(
        [] {
            return false;
        },
        settleTime);
}

std::size_t sentCount(const GatewayFixture &fixture)
{
    std::size_t count = 0;
    for (const auto &it : fixture.upstreams) {
        count += it->requests.size();
    }
    return count;
}

} // namespace

TEST_CASE("prompts with a part under which three upstreams crashed are refused at once as not run")
{
    GatewayFixture fixture;
    addEngines(fixture, 8, true);
    runPrompt(fixture, "id-1", "first:40,bad:10,own1:5");
    CHECK(fixture.response.head.status == 502);
    runPrompt(fixture, "id-2", "first:40,bad:10,own2:5");
    const std::size_t before = sentCount(fixture);
    CHECK(before <= 4);
    runPrompt(fixture, "id-3", "first:40,bad:10,own3:5");
    CHECK(fixture.response.head.status == 503);
    // The time of a caller that waits for 4 s ends before the quarantine does.
    CHECK_FALSE(fixture.response.head.fields.has("Retry-After"));
    runPrompt(fixture, "id-patient", "first:40,bad:10,own3:5", "1200000");
    CHECK(fixture.response.head.status == 503);
    CHECK(std::stod(std::string(fixture.response.head.fields.value("Retry-After"))) > 60);
    CHECK(sentCount(fixture) == before);
    runPrompt(fixture, "id-4", "first:40,good:10,own4:5");
    CHECK(fixture.response.head.status == 200);
}

TEST_CASE("connections that are reset while their upstreams live put nothing into quarantine")
{
    GatewayFixture fixture;
    addEngines(fixture, 6, false);
    for (int i = 0; i < 5; ++i) {
        runPrompt(fixture, "id-" + std::to_string(i), "first:40,bad:10,own" + std::to_string(i) + ":5");
    }
    CHECK(fixture.context.crashes->table().reportCount() == 0);
    CHECK(fixture.context.crashes->table().entries().empty());
}

TEST_CASE("an upstream that ends after it has announced its leaving has not crashed")
{
    GatewayFixture fixture;
    addEngines(fixture, 2, true);
    const auto exchange = fixture.beginRequest(
        fixture.makeRoute(RouteKind::Stream), makePrompt(fixture, "id-1", "bad:10,own:5"), "body");
    for (const auto &[name, record] : fixture.upstreamRecords) {
        fixture.context.upstreams.markLeaving(UpstreamIndex::keyOf(record.entry.id), record.entry.startedAt);
    }
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
    CHECK(fixture.context.crashes->table().reportCount() == 0);
}

TEST_CASE("crashes that peers report count like own ones, and what peers refuse is refused")
{
    GatewayFixture fixture;
    addEngines(fixture, 3, true);
    const auto part = static_cast<std::uint64_t>(quarantine::makeFingerprint("part", {"bad"}));
    const bool isToldEntry = GENERATE(true, false);
    if (isToldEntry) {
        fixture.context.crashes->onPeerQuarantine({{part}, {}, 3, 2000, 1000, 600'000, 599'000}, "peer");
    } else {
        for (std::uint64_t i = 0; i < 3; ++i) {
            const auto endedAgeMs = static_cast<std::uint32_t>(1000 - 300 * i);
            fixture.context.crashes->onPeerCrash({i + 1, i, 1, endedAgeMs + 50, endedAgeMs, {part}, {}, {}}, "peer");
        }
        fixture.runUntil(
            [] {
                return false;
            },
            settleTime);
    }
    runPrompt(fixture, "id-1", "first:40,bad:10,own:5");
    CHECK(fixture.response.head.status == 503);
    CHECK(sentCount(fixture) == 0);
}

TEST_CASE("an upstream that starts again under its id after a prompt crashed it is not left out")
{
    GatewayFixture fixture;
    addEngines(fixture, 4, true);
    fixture.context.outliers.recordOutcome(
        UpstreamIndex::keyOf(UpstreamId("u1")), outliers::AttemptOutcome::Unreachable, 0, fixture.loop.now());
    for (std::uint64_t i = 0; i < 3; ++i) {
        const std::uint64_t upstream = UpstreamIndex::keyOf(UpstreamId("u" + std::to_string(i + 1)));
        const auto endedAgeMs = static_cast<std::uint32_t>(1000 - 300 * i);
        fixture.context.crashes->onPeerCrash({i + 1, upstream, 0, endedAgeMs + 50, endedAgeMs, {1}, {}, {}}, "peer");
    }
    fixture.runUntil(
        [] {
            return false;
        },
        settleTime);
    const auto isLeftOut = [&fixture] {
        return fixture.context.outliers.isExcluded(UpstreamIndex::keyOf(UpstreamId("u1")), fixture.loop.now());
    };
    fixture.context.crashes->onUpstreamsChanged();
    CHECK(isLeftOut());
    fixture.upstreamRecords.at("u1").entry.startedAt = 5;
    fixture.context.upstreams.rebuild(fixture.upstreamRecords, fixture.settings.dataCentre);
    fixture.context.crashes->onUpstreamsChanged();
    CHECK_FALSE(isLeftOut());
}

TEST_CASE("a plain request under which three upstreams crashed is refused when it comes again, and others are served")
{
    GatewayFixture fixture;
    for (int i = 0; i < 6; ++i) {
        const auto index = fixture.upstreams.size();
        fixture.addUpstream(
            "service", [&fixture, index](Connection &connection, const std::string &request, int /*number*/) {
                if (!request.ends_with("poison")) {
                    connection.send(plainResponse(request, 200, "ok"));
                    return;
                }
                fixture.loop.after(crashDelay, [&fixture, index, stream = connection.stream] {
                    fixture.upstreams[index]->stopListening();
                    stream->reset();
                });
            });
    }
    const auto run = [&](const std::string &id, const std::string &body) {
        httpwire::RequestHead head = fixture.makeRequest(id);
        const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::Idempotent), std::move(head), body);
        fixture.runUntil([&] {
            return fixture.response.isFinished();
        });
        fixture.runUntil(
            [] {
                return false;
            },
            settleTime);
    };
    run("id-1", "poison");
    run("id-2", "poison");
    const std::size_t before = sentCount(fixture);
    run("id-3", "poison");
    CHECK(fixture.response.head.status == 503);
    CHECK_FALSE(fixture.response.head.fields.has("Retry-After"));
    CHECK(sentCount(fixture) == before);
    run("id-4", "sound");
    CHECK(fixture.response.head.status == 200);
}

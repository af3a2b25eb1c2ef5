// Many callers that read slowly and many large bodies at one listener, over the loopback interface.
#include "exchangelistener.h"
#include "gatewayfixture.h"
#include "loopbackcaller.h"

#include "framework/httpwire/messagewriter.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;

namespace
{

/** Memory of the small machines of the deployments. */
constexpr Bytes smallMachine{160'000'000};
constexpr std::size_t bodyBytes = 5'000'000;

std::string streamRequest(std::size_t id)
{
    return "POST /stream HTTP/1.1\r\nHost: h\r\nRequest-Id: s" + std::to_string(id)
        + "\r\nDeadline: 100000\r\nContent-Length: 0\r\n\r\n";
}

std::string bodyRequest(std::size_t id)
{
    return "POST /plain HTTP/1.1\r\nHost: h\r\nRequest-Id: b" + std::to_string(id)
        + "\r\nDeadline: 60000\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
        + std::string(bodyBytes, 'x');
}

} // namespace

TEST_CASE("thousands of callers that read nothing and bodies of 5 MB stay below the memory ceiling while others get "
          "all events")
{
    GatewayFixture fixture;
    fixture.context.memory = memory::MemoryAccount(memory::memoryLimits(smallMachine));
    constexpr std::size_t slowCallers = 2000;
    constexpr std::size_t healthyCallers = 10;
    constexpr std::size_t bodyCallers = 20;
    constexpr int healthyEvents = 40;
    // Without the limit, 2,000 callers would have 256 KiB each queued for them, 524 MB.
    std::string filler;
    for (int i = 1; i <= 300; ++i) {
        filler += httpwire::writeChunk("id: " + std::to_string(i) + "\ndata: " + std::string(1000, 'f') + "\n\n");
    }
    fixture.addUpstream(
        "service", [&](ScriptedUpstream::Connection &connection, const std::string &request, int /*number*/) {
            const std::string id = headerField(request, "Request-Id");
            if (id.starts_with("b")) {
                connection.send(plainResponse(request, 200, "done", "Response-Signature: s\r\n"));
                return;
            }
            connection.send(eventStreamHead(request));
            if (std::stoul(id.substr(1)) < slowCallers) {
                connection.send(filler);
                return;
            }
            for (int i = 1; i <= healthyEvents; ++i) {
                fixture.loop.after(Milliseconds(20 * i), [stream = connection.stream, i] {
                    stream->write(eventChunk(i));
                });
            }
        });
    ExchangeListener listener(fixture, 4000, 2 * bodyBytes);
    const std::string address = listener.address();

    const memory::MemoryLimits limits = fixture.context.memory.limits();
    Bytes greatest;
    std::function<void()> watch = [&] {
        greatest = std::max(greatest, fixture.context.memory.held());
        fixture.loop.after(Milliseconds(1), watch);
    };
    watch();
    std::vector<std::unique_ptr<LoopbackCaller>> slow;
    while (slow.size() < slowCallers) {
        for (int i = 0; i < 100; ++i) {
            slow.push_back(std::make_unique<LoopbackCaller>(fixture.loop, address, false));
            slow.back()->stream->write(streamRequest(slow.size() - 1));
        }
        fixture.runUntil([&] {
            return listener.handledCount >= slow.size();
        });
    }
    REQUIRE(listener.handledCount == slowCallers);
    fixture.runUntil(
        [&] {
            return fixture.context.memory.isShort();
        },
        Milliseconds(20'000));
    CHECK(fixture.context.memory.isShort());

    std::vector<std::unique_ptr<LoopbackCaller>> healthy;
    for (std::size_t i = 0; i < healthyCallers; ++i) {
        healthy.push_back(std::make_unique<LoopbackCaller>(fixture.loop, address, true));
        healthy.back()->stream->write(streamRequest(slowCallers + i));
    }
    std::vector<std::unique_ptr<LoopbackCaller>> senders;
    for (std::size_t i = 0; i < bodyCallers; ++i) {
        senders.push_back(std::make_unique<LoopbackCaller>(fixture.loop, address, true));
        senders.back()->stream->write(bodyRequest(i));
    }
    const std::string lastEvent = "id: " + std::to_string(healthyEvents) + "\n";
    fixture.runUntil(
        [&] {
            return std::all_of(healthy.begin(), healthy.end(), [&](const auto &it) {
                return it->received.find(lastEvent) != std::string::npos;
            }) && std::all_of(senders.begin(), senders.end(), [](const auto &it) {
                return !it->received.empty() || it->isEnded;
            });
        },
        Milliseconds(30'000));
    for (const auto &it : healthy) {
        for (int i = 1; i <= healthyEvents; ++i) {
            CHECK(it->received.find("data: e" + std::to_string(i) + "\n") != std::string::npos);
        }
    }
    std::size_t served = 0;
    std::size_t refused = 0;
    for (const auto &it : senders) {
        served += it->received.starts_with("HTTP/1.1 200") ? 1 : 0;
        refused += it->received.starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    // Each sender is told: its request has run, or it has not.
    CHECK(served + refused == bodyCallers);
    CHECK(greatest <= limits.ceiling);
    INFO("greatest " << greatest.count() << ", served " << served << ", refused " << refused);
    CHECK(greatest.count() > 0);
    std::printf("2,000 slow readers and 20 bodies of 5 MB: at most %.1f MB held of a ceiling of %.1f MB, %zu bodies "
                "served, %zu refused\n",
        static_cast<double>(greatest.count()) / 1e6, static_cast<double>(limits.ceiling.count()) / 1e6, served,
        refused);
}

TEST_CASE("a caller that reads nothing while memory is short is disconnected, and one that reads slowly is kept")
{
    GatewayFixture fixture;
    // A shortage from 100 KB on.
    constexpr Milliseconds target{300};
    fixture.context.memory = memory::MemoryAccount(memory::memoryLimits(Bytes{400'000}));
    const std::string filler = httpwire::writeChunk("id: 1\ndata: " + std::string(250'000, 'f') + "\n\n");
    fixture.addUpstream(
        "service", [&](ScriptedUpstream::Connection &connection, const std::string &request, int /*number*/) {
            connection.send(eventStreamHead(request));
            connection.send(filler);
        });
    ExchangeListener listener(fixture, 100, 2 * bodyBytes);
    listener.streamRoute.latencyTarget = target;
    const std::string address = listener.address();
    LoopbackCaller stalled(fixture.loop, address, false);
    stalled.stream->write(streamRequest(0));
    LoopbackCaller slow(fixture.loop, address, false);
    slow.stream->write(streamRequest(1));
    // Reads a little now and then.
    std::function<void()> readSome = [&] {
        slow.stream->setReading(true);
        slow.stream->setMaxInput(slow.received.size() + 1000);
        fixture.loop.after(Milliseconds(100), readSome);
    };
    readSome();
    fixture.runUntil(
        [&] {
            return listener.disconnectedCount() > 0;
        },
        Milliseconds(30'000));
    CHECK(listener.disconnectedCount() == 1);
    CHECK_FALSE(slow.isEnded);
}

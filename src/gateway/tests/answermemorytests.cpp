// Many large or endless plain answers at an instance with little memory, over the loopback interface.
#include "exchangelistener.h"
#include "gatewayfixture.h"
#include "loopbackcaller.h"

#include "framework/httpwire/messagewriter.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

/** Memory of the small machines of the deployments. */
constexpr Bytes smallMachine{160'000'000};
/** Time that a caller has. */
constexpr Milliseconds callerTime{6000};
constexpr std::size_t chunkSize = 64 * 1024;

std::string signedHead(const std::string &request, const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerField(request, "Request-Id") + "\r\nResponse-Signature: s\r\n"
        + fields + "\r\n";
}

/** An instance with little memory whose callers send plain requests. */
struct SmallInstance
{
    explicit SmallInstance(RouteKind theKind)
        : kind(theKind)
    {
        fixture.context.memory = memory::MemoryAccount(memory::memoryLimits(smallMachine));
    }

    /** Lets `count` callers send a request each, and waits until all have an answer or the time of callers is over. */
    void run(std::size_t count)
    {
        ExchangeListener listener(fixture, 1000, 0);
        listener.plainRoute.kind = kind;
        listener.plainRoute.timeout = callerTime;
        listener.plainRoute.maxAttempts = 3;
        watchMemory();
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(std::make_unique<LoopbackCaller>(fixture.loop, listener.address(), true));
            callers.back()->stream->write("GET /plain HTTP/1.1\r\nHost: h\r\nRequest-Id: a" + std::to_string(i)
                + "\r\nDeadline: " + std::to_string(callerTime.count()) + "\r\n\r\n");
        }
        fixture.runUntil(
            [&] {
                return std::all_of(callers.begin(), callers.end(), [](const auto &it) {
                    return isWhole(it->received);
                });
            },
            callerTime + Milliseconds(1000));
    }

    static bool isWhole(const std::string &received)
    {
        const std::size_t headEnd = received.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            return false;
        }
        const std::string length = headerField(received.substr(0, headEnd + 2), "Content-Length");
        return received.size() - headEnd - 4 >= (length.empty() ? 0 : std::stoul(length));
    }

    [[nodiscard]] std::size_t countWhole(const std::string &status) const
    {
        return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [&](const auto &it) {
            return it->received.starts_with("HTTP/1.1 " + status) && isWhole(it->received);
        }));
    }

    void watchMemory()
    {
        greatest = std::max(greatest, fixture.context.memory.held());
        fixture.loop.after(Milliseconds(1), [this] {
            watchMemory();
        });
    }

    RouteKind kind;
    GatewayFixture fixture;
    std::vector<std::unique_ptr<LoopbackCaller>> callers;
    Bytes greatest;
};

void sendChunksForever(eventloop::EventLoop &loop, const std::shared_ptr<eventloop::TcpStream> &stream)
{
    if (!stream->isOpen()) {
        return;
    }
    if (stream->pendingOutput() < chunkSize) {
        stream->write(httpwire::writeChunk(std::string(chunkSize, 'z')));
    }
    loop.after(Milliseconds(1), [&loop, stream] {
        sendChunksForever(loop, stream);
    });
}

void respondWithoutEnd(SmallInstance &instance, Connection &connection, const std::string &request)
{
    connection.send(signedHead(request, "Transfer-Encoding: chunked\r\n"));
    sendChunksForever(instance.fixture.loop, connection.stream);
}

} // namespace

TEST_CASE("answers that do not fit into the memory at the same time all reach their callers")
{
    // Guards against answers that are all read in part and hold the memory for which all of them wait.
    constexpr std::size_t answerSize = 7'900'000;
    constexpr std::size_t count = 12;
    const bool hasLength = GENERATE(true, false);
    SmallInstance instance(RouteKind::AtMostOnce);
    instance.fixture.addUpstream("service", [&](Connection &connection, const std::string &request, int /*number*/) {
        const std::string body(answerSize, 'x');
        if (hasLength) {
            connection.send(signedHead(request, "Content-Length: " + std::to_string(answerSize) + "\r\n") + body);
        } else {
            connection.send(
                signedHead(request, "Transfer-Encoding: chunked\r\n") + httpwire::writeChunk(body) + "0\r\n\r\n");
        }
    });
    instance.run(count);
    CHECK(instance.countWhole("200") == count);
    CHECK(instance.greatest <= instance.fixture.context.memory.limits().ceiling);
}

TEST_CASE("callers are served by sound upstreams while another one sends bodies without end")
{
    // Guards against requests that wait for memory at a faulty upstream until their time is over.
    constexpr std::size_t count = 60;
    SmallInstance instance(RouteKind::Idempotent);
    for (int i = 0; i < 3; ++i) {
        instance.fixture.addUpstream(
            "service", [&instance, i](Connection &connection, const std::string &request, int /*number*/) {
                if (i == 0) {
                    respondWithoutEnd(instance, connection, request);
                    return;
                }
                // While these work, as many requests are placed at the faulty one.
                instance.fixture.loop.after(Milliseconds(300), [stream = connection.stream, request] {
                    stream->write(plainResponse(request, 200, "ok"));
                });
            });
    }
    instance.run(count);
    CHECK(instance.countWhole("200") == count);
    CHECK(instance.greatest <= instance.fixture.context.memory.limits().ceiling);
}

TEST_CASE("if all upstreams send bodies without end, callers are told before their time is over")
{
    constexpr std::size_t count = 30;
    SmallInstance instance(RouteKind::AtMostOnce);
    instance.fixture.addUpstream(
        "service", [&instance](Connection &connection, const std::string &request, int /*number*/) {
            respondWithoutEnd(instance, connection, request);
        });
    instance.run(count);
    CHECK(instance.countWhole("502") == count);
    CHECK(instance.greatest <= instance.fixture.context.memory.limits().ceiling);
}

TEST_CASE("an answer whose upstream pauses within it holds up no others while memory is short")
{
    constexpr std::size_t answerSize = 7'900'000;
    constexpr std::size_t count = 12;
    SmallInstance instance(RouteKind::AtMostOnce);
    instance.fixture.addUpstream("service", [&](Connection &connection, const std::string &request, int number) {
        const std::string head = signedHead(request, "Content-Length: " + std::to_string(answerSize) + "\r\n");
        // The first ones have the fewest bytes to come, and send them no more.
        constexpr int pausingCount = 2;
        connection.send(head + std::string(number < pausingCount ? answerSize - 1 : answerSize, 'x'));
    });
    instance.run(count);
    CHECK(instance.countWhole("200") == count - 2);
    CHECK(instance.countWhole("504") == 2);
    CHECK(instance.greatest <= instance.fixture.context.memory.limits().ceiling);
}

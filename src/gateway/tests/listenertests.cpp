// Tests of connections of callers around a planned stop and with slow or stalled senders.
#include "framework/eventloop/eventloop.h"
#include "gateway/irequesthandler.h"
#include "gateway/iresponsewriter.h"
#include "gateway/listener.h"

#include <catch2/catch.hpp>
#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::gateway;

namespace
{

/** Answers each request at once with 200. */
struct EchoHandler : IRequestHandler
{
    std::shared_ptr<IActiveRequest> handle(
        httpwire::RequestHead /*head*/, std::string body, MonoTime /*receivedAt*/, IResponseWriter &writer) override
    {
        bodySizes.push_back(body.size());
        httpwire::ResponseHead response;
        response.status = 200;
        writer.sendResponse(std::move(response), "answer");
        return nullptr;
    }
    ReadLimits limits() const override
    {
        ReadLimits limits;
        limits.headerTimeout = headerTimeout;
        return limits;
    }
    bool isClosing() const override
    {
        return isStopping;
    }

    Milliseconds headerTimeout{3000};
    bool isStopping = false;
    std::vector<std::size_t> bodySizes;
};

struct ListenerFixture
{
    ListenerFixture()
    {
        Poco::Net::ServerSocket free;
        free.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
        address = free.address();
        free.close();
        REQUIRE(listener->listen(address.toString()));
        listener->startAccepting();
    }
    ~ListenerFixture()
    {
        listener->closeAll();
    }
    void runFor(Milliseconds time)
    {
        loop.after(time, [this] {
            loop.stop();
        });
        loop.run();
    }
    /** Calls `task` `count` times, each `interval` after the one before. */
    void repeat(int count, Milliseconds interval, const std::function<void()> &task)
    {
        for (int i = 1; i <= count; ++i) {
            loop.after(interval * i, task);
        }
    }

    eventloop::EventLoop loop;
    EchoHandler handler;
    Poco::Net::SocketAddress address;
    std::shared_ptr<Listener> listener = std::make_shared<Listener>(loop, handler, 1000);
};

void sendAll(Poco::Net::StreamSocket &socket, const std::string &bytes)
{
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

/** Returns what the listener has sent, up to the end of the connection or of what has arrived. */
std::string received(Poco::Net::StreamSocket &socket)
{
    std::string text;
    std::array<char, 4096> buf{};
    try {
        while (socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ)) {
            const int n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
            if (n <= 0) {
                break;
            }
            text.append(buf.data(), static_cast<std::size_t>(n));
        }
    } catch (const Poco::Exception &) {
        return text + "(reset)";
    }
    return text;
}

} // namespace

TEST_CASE("requests that wait in the queue of the listening socket at a planned stop are answered")
{
    ListenerFixture fixture;
    constexpr int callers = 50;
    std::vector<Poco::Net::StreamSocket> sockets;
    for (int i = 0; i < callers; ++i) {
        sockets.emplace_back(fixture.address);
        sendAll(sockets.back(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    fixture.handler.isStopping = true;
    fixture.listener->stopAccepting();
    fixture.listener->closeIdleConnections();
    fixture.runFor(Milliseconds(100));
    int answered = 0;
    for (Poco::Net::StreamSocket &it : sockets) {
        answered += received(it).starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    CHECK(answered == callers);
}

TEST_CASE("a request on a kept connection that was received before a planned stop but not read is answered")
{
    ListenerFixture fixture;
    Poco::Net::StreamSocket socket(fixture.address);
    sendAll(socket, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    fixture.runFor(Milliseconds(30));
    REQUIRE(received(socket).starts_with("HTTP/1.1 200"));
    sendAll(socket, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    fixture.handler.isStopping = true;
    fixture.listener->stopAccepting();
    fixture.listener->closeIdleConnections();
    fixture.runFor(Milliseconds(100));
    CHECK(received(socket).starts_with("HTTP/1.1 200"));
}

TEST_CASE("a body that arrives slowly but steadily is received although it takes longer than the header timeout")
{
    ListenerFixture fixture;
    fixture.handler.headerTimeout = Milliseconds(100);
    Poco::Net::StreamSocket socket(fixture.address);
    constexpr std::size_t partSize = 20'000;
    constexpr int parts = 10;
    sendAll(socket, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(parts * partSize) + "\r\n\r\n");
    fixture.repeat(parts, Milliseconds(50), [&] {
        sendAll(socket, std::string(partSize, 'x'));
    });
    fixture.runFor(Milliseconds(700));
    CHECK(received(socket).starts_with("HTTP/1.1 200"));
    CHECK(fixture.handler.bodySizes == std::vector<std::size_t>{parts * partSize});
}

TEST_CASE("a stalled caller that sends a byte now and then is not waited for")
{
    ListenerFixture fixture;
    fixture.handler.headerTimeout = Milliseconds(100);
    Poco::Net::StreamSocket head(fixture.address);
    Poco::Net::StreamSocket body(fixture.address);
    sendAll(head, "GET / HTTP/1.1\r\nX: ");
    sendAll(body, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n");
    fixture.repeat(8, Milliseconds(40), [&] {
        for (Poco::Net::StreamSocket *it : {&head, &body}) {
            try {
                sendAll(*it, "x");
            } catch (const Poco::Exception &) {
                // The connection has ended, as it should.
                continue;
            }
        }
    });
    fixture.runFor(Milliseconds(400));
    CHECK(received(head).starts_with("HTTP/1.1 408"));
    CHECK(received(body).starts_with("HTTP/1.1 408"));
    CHECK(fixture.handler.bodySizes.empty());
}

// Tests that an unexpected error in one callback does not end the process.
#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/ireadinesshandler.h"

#include <catch2/catch.hpp>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <stdexcept>

using namespace magnolia;
using namespace magnolia::eventloop;

namespace
{

/** Receives datagrams; fails on those with the text "bad", before or after it has received them. */
struct Receiver : IReadinessHandler
{
    void onReady(bool /*isReadable*/, bool /*isWritable*/, bool /*isBroken*/) override
    {
        ++calls;
        if (failsBeforeReading) {
            throw std::runtime_error("nothing was read");
        }
        std::array<char, 16> buf{};
        const int n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
        const std::string text(buf.data(), static_cast<std::size_t>(n));
        if (text == "bad") {
            throw std::out_of_range("bad message");
        }
        received.push_back(text);
    }
    void send(const std::string &text)
    {
        Poco::Net::DatagramSocket sender;
        sender.sendTo(text.data(), static_cast<int>(text.size()), socket.address());
    }

    Poco::Net::DatagramSocket socket{Poco::Net::SocketAddress("127.0.0.1", 0)};
    std::vector<std::string> received;
    int calls = 0;
    bool failsBeforeReading = false;
};

} // namespace

TEST_CASE("an exception in one callback ends neither the loop nor other callbacks")
{
    EventLoop loop;
    int timers = 0;
    int deferred = 0;
    loop.after(Milliseconds(1), [] {
        throw std::runtime_error("timer");
    });
    loop.after(Milliseconds(1), [&] {
        ++timers;
    });
    loop.defer([] {
        throw std::bad_alloc();
    });
    loop.defer([&] {
        ++deferred;
    });
    loop.after(Milliseconds(20), [&] {
        loop.stop();
    });
    loop.run();
    CHECK(timers == 1);
    CHECK(deferred == 1);
    CHECK(loop.failedCallbackCount() == 2);
}

TEST_CASE("a socket whose handler fails on one message goes on with the next one")
{
    EventLoop loop;
    const auto receiver = std::make_shared<Receiver>();
    loop.add(receiver->socket.impl()->sockfd(), receiver, {true, false});
    for (const char *text : {"a", "bad", "b", "bad", "c"}) {
        receiver->send(text);
    }
    loop.after(Milliseconds(50), [&] {
        loop.stop();
    });
    loop.run();
    CHECK(receiver->received == std::vector<std::string>{"a", "b", "c"});
    CHECK(loop.failedCallbackCount() == 2);
    loop.remove(receiver->socket.impl()->sockfd());
}

TEST_CASE("a handler that never reads its input does not keep the loop from other work for ever")
{
    EventLoop loop;
    const auto receiver = std::make_shared<Receiver>();
    receiver->failsBeforeReading = true;
    loop.add(receiver->socket.impl()->sockfd(), receiver, {true, false});
    receiver->send("a");
    loop.after(Milliseconds(100), [&] {
        loop.stop();
    });
    loop.run();
    CHECK(receiver->calls == 100);
    CHECK(loop.failedCallbackCount() == 100);
}

// Tests that the end of a connection is told by its cause, whichever side of the stream has noticed it.
#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/itcpstreamlistener.h"
#include "framework/eventloop/tcpstream.h"

#include <catch2/catch.hpp>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <optional>
#include <string>

using namespace magnolia;
using namespace magnolia::eventloop;

namespace
{

/** More than the buffers of both ends hold. */
constexpr std::size_t largeOutput = 32 * 1024 * 1024;
constexpr int smallBuffer = 16 * 1024;

struct RecordedEnd : ITcpStreamListener
{
    explicit RecordedEnd(EventLoop &theLoop)
        : loop(theLoop)
    {
    }

    void onInput() override
    {
        input.append(stream->input());
        stream->input().clear();
    }
    void onEnd(StreamEnd streamEnd) override
    {
        end = streamEnd;
        loop.stop();
    }

    EventLoop &loop;
    std::shared_ptr<TcpStream> stream;
    std::string input;
    std::optional<StreamEnd> end;
};

/** A stream to a peer that reads nothing. */
struct Connected
{
    Connected()
        : recorded(loop)
    {
        server.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        server.setReceiveBufferSize(smallBuffer);
        server.listen();
        recorded.stream = TcpStream::connect(loop, server.address().toString(), recorded, {});
        peer = server.acceptConnection();
    }

    /** Runs the loop until the stream ends, for at most two seconds. */
    void runUntilEnd()
    {
        loop.after(Milliseconds(2000), [this] {
            loop.stop();
        });
        loop.run();
    }

    EventLoop loop;
    RecordedEnd recorded;
    Poco::Net::ServerSocket server;
    Poco::Net::StreamSocket peer;
};

} // namespace

TEST_CASE("a reset that the output notices first is not taken for an orderly end, and the input before it is delivered")
{
    const bool isExplicitReset = GENERATE(false, true);
    Connected connected;
    connected.recorded.stream->write(std::string(largeOutput, 'x'));
    connected.loop.after(Milliseconds(50), [&] {
        connected.peer.sendBytes("part", 4);
    });
    connected.loop.after(Milliseconds(100), [&] {
        if (isExplicitReset) {
            connected.peer.setLinger(true, 0);
        }
        // Without the linger time, the bytes that the peer has not read make the system reset the connection.
        connected.peer.close();
    });
    connected.runUntilEnd();
    CHECK(connected.recorded.end == StreamEnd::Broken);
    CHECK(connected.recorded.input == "part");
}

TEST_CASE("a reset that is noticed by looking for input is not taken for an orderly end")
{
    Connected connected;
    connected.loop.after(Milliseconds(50), [&] {
        connected.peer.setLinger(true, 0);
        connected.peer.close();
        CHECK(connected.recorded.stream->hasInputOrEnd());
    });
    connected.runUntilEnd();
    CHECK(connected.recorded.end == StreamEnd::Broken);
}

TEST_CASE("an end without an error is orderly, with and without output that waits")
{
    const bool hasOutput = GENERATE(false, true);
    Connected connected;
    if (hasOutput) {
        connected.recorded.stream->write(std::string(largeOutput, 'x'));
    }
    connected.loop.after(Milliseconds(50), [&] {
        connected.peer.sendBytes("whole", 5);
        connected.peer.shutdownSend();
    });
    connected.runUntilEnd();
    CHECK(connected.recorded.end == StreamEnd::Closed);
    CHECK(connected.recorded.input == "whole");
    CHECK((connected.recorded.stream->pendingOutput() > 0) == hasOutput);
}

TEST_CASE("output that the system holds counts as unacknowledged when the other end closes without having taken it")
{
    // Guards against taking a request for sent that only the buffers of this end hold.
    const std::size_t size = GENERATE(std::size_t{1000}, std::size_t{400'000});
    Connected connected;
    connected.recorded.stream->write(std::string(size, 'x'));
    connected.loop.after(Milliseconds(50), [&] {
        CHECK(connected.recorded.stream->pendingOutput() == 0);
        connected.peer.shutdownSend();
    });
    connected.runUntilEnd();
    CHECK(connected.recorded.end == StreamEnd::Closed);
    CHECK((connected.recorded.stream->unacknowledgedOutput() > 0) == (size > 1000));
}

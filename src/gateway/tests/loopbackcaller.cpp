// Implements the caller.
#include "loopbackcaller.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

namespace magnolia::gateway::tests
{

LoopbackCaller::LoopbackCaller(eventloop::EventLoop &loop, const std::string &address, bool isReading)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
    constexpr int receiveBuffer = 4096;
    if (!isReading) {
        socket.setReceiveBufferSize(receiveBuffer);
    }
    socket.connect(Poco::Net::SocketAddress(address));
    stream = eventloop::TcpStream::adopt(loop, socket, *this, {});
    stream->setReading(isReading);
}

void LoopbackCaller::onInput()
{
    received += stream->input();
    stream->input().clear();
}

void LoopbackCaller::onEnd(eventloop::StreamEnd /*end*/)
{
    isEnded = true;
}

} // namespace magnolia::gateway::tests

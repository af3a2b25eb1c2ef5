// Signal handlers that write to a pipe, which the loop reads.
#include "framework/eventloop/signalpipe.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace magnolia::eventloop
{

namespace
{

std::array<int, 2> pipeEnds{-1, -1};

void onSignal(int number)
{
    const char byte = number == SIGHUP ? 'r' : 's';
    // A full pipe already holds a pending signal.
    [[maybe_unused]] const auto n = ::write(pipeEnds[1], &byte, 1);
}

} // namespace

std::shared_ptr<SignalPipe> SignalPipe::open(EventLoop &loop, std::function<void(Signal)> handler)
{
    if (::pipe2(pipeEnds.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        return nullptr;
    }
    auto signalPipe = std::make_shared<SignalPipe>(std::move(handler));
    loop.add(pipeEnds[0], signalPipe, {true, false});
    struct sigaction action
    {
    };
    action.sa_handler = onSignal;
    action.sa_flags = SA_RESTART;
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        ::sigaction(number, &action, nullptr);
    }
    // Writing to a connection that the peer has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    return signalPipe;
}

SignalPipe::SignalPipe(std::function<void(Signal)> handler)
    : m_handler(std::move(handler))
{
}

void SignalPipe::onReady(bool /*isReadable*/, bool /*isWritable*/, bool /*isBroken*/)
{
    char byte = 0;
    while (::read(pipeEnds[0], &byte, 1) == 1) {
        m_handler(byte == 'r' ? Signal::Reload : Signal::Stop);
    }
}

} // namespace magnolia::eventloop

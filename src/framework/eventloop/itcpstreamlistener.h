// Callback interface of a TCP stream.
#pragma once

namespace magnolia::eventloop
{

/** How a stream ended. */
enum class StreamEnd {
    /** The peer closed the connection normally. */
    Closed,
    /** The connection was reset, timed out or was never established. */
    Broken,
};

class ITcpStreamListener
{
public:
    virtual ~ITcpStreamListener() = default;

    virtual void onConnected()
    {
    }
    /** Called after bytes were added to the stream's input. */
    virtual void onInput() = 0;
    /** Called when all output has been passed to the operating system. */
    virtual void onOutputSent()
    {
    }
    /** Called at most once, when no more input follows; never from within a call that the listener makes. */
    virtual void onEnd(StreamEnd end) = 0;
};

} // namespace magnolia::eventloop

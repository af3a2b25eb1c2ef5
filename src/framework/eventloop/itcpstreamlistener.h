// What a TCP stream tells its user.
#pragma once

namespace magnolia::eventloop
{

/** How a stream ended. */
enum class StreamEnd {
    /** The peer closed in order. */
    Closed,
    /** The connection was reset, timed out or never came about. */
    Broken,
};

class ITcpStreamListener
{
public:
    virtual ~ITcpStreamListener() = default;

    virtual void onConnected()
    {
    }
    /** Bytes were added to the stream's input. */
    virtual void onInput() = 0;
    /** All output has been handed to the system. */
    virtual void onOutputSent()
    {
    }
    /** No more input comes; called at most once, and never from within a call of the user's own. */
    virtual void onEnd(StreamEnd end) = 0;
};

} // namespace magnolia::eventloop

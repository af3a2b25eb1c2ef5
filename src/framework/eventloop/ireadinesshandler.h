// What the event loop calls when a socket is ready.
#pragma once

namespace magnolia::eventloop
{

class IReadinessHandler
{
public:
    virtual ~IReadinessHandler() = default;

    /** `isBroken` tells of an error or hang-up on the socket, which a read or write then shows in detail. */
    virtual void onReady(bool isReadable, bool isWritable, bool isBroken) = 0;
};

} // namespace magnolia::eventloop

// Callback interface of the event loop for sockets that are ready.
#pragma once

namespace magnolia::eventloop
{

class IReadinessHandler
{
public:
    virtual ~IReadinessHandler() = default;

    /** `isBroken` reports an error or hang-up on the socket; the next read or write returns the details. */
    virtual void onReady(bool isReadable, bool isWritable, bool isBroken) = 0;
};

} // namespace magnolia::eventloop

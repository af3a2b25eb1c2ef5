// An HTTP client session for a single call that never resends a request.
#pragma once

#include <Poco/Net/HTTPClientSession.h>

namespace magnolia::upstreams
{

/**
 * Poco's keep-alive sessions reconnect and resend when the first write on a reused connection fails. This session
 * offers keep-alive, so that a connection that closes early can be distinguished from a complete answer, but never
 * reconnects or writes again.
 */
class SingleCallSession : public Poco::Net::HTTPClientSession
{
public:
    explicit SingleCallSession(const Poco::Net::SocketAddress &address)
        : HTTPClientSession(address)
    {
        setKeepAlive(true);
    }

    /** Number of bytes received but not yet read. */
    [[nodiscard]] int bufferedBytes() const
    {
        return buffered();
    }
    /** Connects separately from sending, so that a failure to connect differs from one after bytes were sent. */
    void open(const Poco::Net::SocketAddress &address)
    {
        connect(address);
        socket().setNoDelay(true);
    }

protected:
    int write(const char *buffer, std::streamsize length) override
    {
        // HTTPClientSession::write() is what resends, so this calls the write() of its base class.
        return HTTPSession::write(buffer, length); // NOLINT(bugprone-parent-virtual-call)
    }
    [[nodiscard]] bool mustReconnect() const override
    {
        return false;
    }
};

} // namespace magnolia::upstreams

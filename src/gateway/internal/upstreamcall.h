// Sends one request on one connection to an upstream and reads the response that belongs to it.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/itcpstreamlistener.h"
#include "framework/eventloop/tcpstream.h"
#include "framework/httpwire/bodydecoder.h"
#include "framework/httpwire/types/messagehead.h"
#include "gateway/internal/iupstreamcalllistener.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace magnolia::gateway
{

class UpstreamConnectionPool;

struct UpstreamCallRequest
{
    std::string address;
    std::string method;
    /** The serialised request, head and body. */
    std::string bytes;
    /** The upstream echoes this id, which distinguishes the response from a late one to an earlier request. */
    std::string requestId;
    /** Name of the header field that carries the request id. */
    std::string requestIdField;
    /** Name of the header field that marks a request as not run. */
    std::string notExecutedField;
    /** Whether a pooled connection may be used; it may turn out to be stale. */
    bool canReuseConnection = false;
    /** Tells when a new connection stands whether the request may still be sent; it always may if not set. */
    std::function<bool()> mayStillSend;
    /** Bytes of the response that are read at a time; larger heads are read as well. */
    std::size_t maxInput = eventloop::TcpStream::defaultMaxInput;
};

class UpstreamCall : public eventloop::ITcpStreamListener, public std::enable_shared_from_this<UpstreamCall>
{
public:
    UpstreamCall(eventloop::EventLoop &loop, UpstreamConnectionPool &pool, UpstreamCallRequest request,
        IUpstreamCallListener &user);
    ~UpstreamCall() override;

    void start();
    /** Closes the connection, which stops the upstream's work. The user is not called any more. */
    void cancel();
    /** Pauses or resumes reading the response. */
    void setReading(bool isReading);
    /** Sets the bytes of the response that are read at a time. */
    void setMaxInput(std::size_t bytes);
    /** Whether any byte of the request may have been sent. */
    [[nodiscard]] bool isSent() const;
    [[nodiscard]] const std::string &address() const;

    void onConnected() override;
    void onInput() override;
    void onEnd(eventloop::StreamEnd end) override;

private:
    void send();
    /** Reports a new connection to the user unless that has been done. */
    void settle();
    void readResponse();
    [[nodiscard]] bool readHead();
    [[nodiscard]] bool skipBytes(std::size_t count);
    void complete(bool isFramed);
    void fail(CallFailure failure, const std::string &detail);

    eventloop::EventLoop &m_loop;
    UpstreamConnectionPool &m_pool;
    UpstreamCallRequest m_request;
    IUpstreamCallListener *m_user;
    std::shared_ptr<eventloop::TcpStream> m_stream;
    httpwire::ResponseHead m_head;
    httpwire::BodyDecoder m_body;
    eventloop::TimerId m_connectTimer = 0;
    eventloop::TimerId m_settleTimer = 0;
    bool m_isReused = false;
    bool m_isSent = false;
    bool m_hasInput = false;
    // Whether a response body is being read, either this request's or one that is skipped.
    bool m_isInBody = false;
    bool m_isSkippingResponse = false;
    std::size_t m_skippedBytes = 0;
};

} // namespace magnolia::gateway

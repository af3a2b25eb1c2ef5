// One request on one connection to one upstream: sends it and reads the answer that belongs to it.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/itcpstreamuser.h"
#include "framework/eventloop/tcpstream.h"
#include "framework/httpwire/bodydecoder.h"
#include "framework/httpwire/types/messagehead.h"
#include "gateway/internal/iupstreamcalluser.h"

#include <memory>
#include <string>

namespace magnolia::gateway
{

class UpstreamConnectionPool;

struct UpstreamCallRequest
{
    std::string address;
    std::string method;
    /** The whole request as it is sent. */
    std::string bytes;
    /** Echoed by the upstream; tells this answer from one that came late. */
    std::string requestId;
    /** Name of the field that carries the id. */
    std::string requestIdField;
    /** Name of the field that says that the request was not run. */
    std::string notExecutedField;
    /** A kept connection may be used, although it may have gone stale. */
    bool canReuseConnection = false;
};

class UpstreamCall : public eventloop::ITcpStreamUser, public std::enable_shared_from_this<UpstreamCall>
{
public:
    UpstreamCall(
        eventloop::EventLoop &loop, UpstreamConnectionPool &pool, UpstreamCallRequest request, IUpstreamCallUser &user);
    ~UpstreamCall() override;

    void start();
    /** Closes the connection, which stops the upstream's work; the user hears nothing more. */
    void cancel();
    /** Stops or resumes taking the answer. */
    void setReading(bool isReading);
    /** Whether any byte of the request may have left. */
    [[nodiscard]] bool isSent() const;
    [[nodiscard]] const std::string &address() const;

    void onConnected() override;
    void onInput() override;
    void onEnd(eventloop::StreamEnd end) override;

private:
    void send();
    void readResponse();
    [[nodiscard]] bool readHead();
    void complete(bool isFramed);
    void fail(CallFailure failure, const std::string &detail);

    eventloop::EventLoop &m_loop;
    UpstreamConnectionPool &m_pool;
    UpstreamCallRequest m_request;
    IUpstreamCallUser *m_user;
    std::shared_ptr<eventloop::TcpStream> m_stream;
    httpwire::ResponseHead m_head;
    httpwire::BodyDecoder m_body;
    eventloop::TimerId m_connectTimer = 0;
    bool m_isReused = false;
    bool m_isSent = false;
    bool m_hasInput = false;
    // Within an answer, ours or one that is passed over.
    bool m_isInBody = false;
    bool m_isSkippingResponse = false;
};

} // namespace magnolia::gateway

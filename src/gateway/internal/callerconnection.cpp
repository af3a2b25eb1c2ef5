// Reads requests and writes responses on one connection.
#include "gateway/internal/callerconnection.h"

#include "framework/httpwire/messagereader.h"
#include "framework/httpwire/messagewriter.h"
#include "gateway/listener.h"

namespace magnolia::gateway
{

namespace
{

/** Detects dead callers within a few seconds, so that upstreams stop working for them. */
constexpr eventloop::TcpTimeouts callerTcpTimeouts{Milliseconds{3000}, Milliseconds{1000}, 3, Milliseconds{6000}};
/** Input is still read for this time after the last response; closing earlier could reset the connection before the
 * caller has received the response. */
constexpr Milliseconds lingerTime{500};
/**
 * A body may take any number of header timeouts as long as this much of it arrives in each: a large body over a slow
 * link is received, while a caller that sends a byte now and then is not waited for.
 */
constexpr std::size_t minBodyBytesPerTimeout = 16 * 1024;
/** Input that is read before there is a complete head, if memory is limited; larger heads are read as well. */
constexpr std::size_t initialInputSize = 2048;
constexpr std::size_t bodyInputSize = 64 * 1024;
/** Buffer of the operating system for a caller: what passes 20 Mbit/s in a round trip of 6 ms. */
constexpr std::size_t sendBufferSize = 16 * 1024;
/** Reason in the log of refusals for lack of memory. */
constexpr std::string_view memoryShort = "memory_short";

} // namespace

CallerConnection::CallerConnection(eventloop::EventLoop &loop, IRequestHandler &handler, Listener &listener)
    : m_loop(loop)
    , m_handler(handler)
    , m_listener(listener)
    , m_heldOutput(listener.limitedAccount(), memory::MemoryKind::Output)
    , m_heldBody(listener.limitedAccount(), memory::MemoryKind::Body)
{
}

void CallerConnection::start(const Poco::Net::StreamSocket &socket)
{
    m_stream = eventloop::TcpStream::adopt(m_loop, socket, *this, callerTcpTimeouts);
    m_requestStartedAt = m_loop.now();
    m_outputProgressAt = m_loop.now();
    if (m_listener.limitedAccount() != nullptr) {
        m_stream->setMaxInput(initialInputSize);
        m_stream->setSendBuffer(sendBufferSize);
    }
    setTimer(m_handler.limits().idleTimeout);
}

bool CallerConnection::isBusy() const
{
    return m_state == State::WaitingForMemory || m_state == State::ReadingBody || m_state == State::Handling
        || (m_state == State::ReadingHead && m_hasHeadBegun);
}

void CallerConnection::closeIfIdle()
{
    // Input that the system has received may be a request; it is read in the next round of the loop.
    if (m_state == State::ReadingHead && !m_hasHeadBegun && !m_stream->hasInputOrEnd()) {
        beginClosing();
    }
}

void CallerConnection::answerAtEnd()
{
    // The request or the connection may end during the call.
    const auto self = shared_from_this();
    if (const auto activeRequest = m_activeRequest) {
        activeRequest->onProcessEnding();
    } else if (m_state == State::WaitingForMemory || m_state == State::ReadingBody) {
        // Other instances can take the request at once.
        refuseBody("stopping", Milliseconds(0));
    }
}

void CallerConnection::notifyPartitioned()
{
    // The request may end during the call.
    if (const auto activeRequest = m_activeRequest) {
        activeRequest->onPartitioned();
    }
}

void CallerConnection::onInput()
{
    const auto self = shared_from_this();
    processInput();
}

void CallerConnection::processInput()
{
    if (m_state == State::Closing) {
        m_stream->input().clear();
        return;
    }
    if (m_state == State::ReadingHead) {
        readHead();
    } else if (m_state == State::WaitingForMemory) {
        // Reading is paused, so that input comes only with the end of the connection.
        refuseBody(memoryShort, Milliseconds(0));
    }
    if (m_state == State::ReadingBody) {
        readBody();
    }
}

void CallerConnection::readHead()
{
    if (m_stream->input().empty()) {
        return;
    }
    const ReadLimits limits = m_handler.limits();
    if (!m_hasHeadBegun) {
        m_hasHeadBegun = true;
        m_requestStartedAt = m_loop.now();
        setTimer(limits.headerTimeout);
    }
    switch (httpwire::readRequestHead(m_stream->input(), limits.maxHeaderBytes, m_head)) {
    case httpwire::ReadState::Incomplete:
        if (m_listener.limitedAccount() != nullptr) {
            m_stream->setMaxInput(m_stream->input().size() + initialInputSize);
        }
        return;
    case httpwire::ReadState::Malformed:
        refuse(400);
        return;
    case httpwire::ReadState::TooLarge:
        refuse(431);
        return;
    case httpwire::ReadState::Complete:
        break;
    }
    const auto body = httpwire::requestBodyDecoder(m_head);
    if (!body) {
        refuse(400);
        return;
    }
    if (body->contentLength() > limits.maxBodyBytes) {
        refuse(413);
        return;
    }
    m_bodyDecoder = *body;
    m_body.clear();
    m_isLastRequest = m_head.isHttp10 || httpwire::listContains(m_head.fields.value("Connection"), "close");
    const bool isLengthKnown = m_bodyDecoder.isComplete() || m_bodyDecoder.contentLength() > 0;
    m_bodySize = Bytes{isLengthKnown ? m_bodyDecoder.contentLength() : limits.maxBodyBytes};
    beginBody(m_listener.queuedBodySize());
}

memory::BodyDecision CallerConnection::decideOnBody(Bytes ahead) const
{
    const memory::MemoryAccount *account = m_listener.limitedAccount();
    if (account == nullptr) {
        return {};
    }
    memory::BodyRequest request;
    request.size = m_bodySize;
    request.deadline = m_handler.deadlineOf(m_head);
    request.waited = toMilliseconds(m_loop.now() - m_requestStartedAt);
    request.ahead = ahead;
    request.held = account->held();
    request.releaseRate = account->releaseRate(m_loop.now());
    return memory::decideBody(account->limits(), request);
}

void CallerConnection::beginBody(Bytes ahead)
{
    const memory::BodyDecision decision = decideOnBody(ahead);
    switch (decision.action) {
    case memory::BodyAction::Read:
        allowBody();
        return;
    case memory::BodyAction::Refuse:
        refuseBody(memoryShort, decision.time);
        return;
    case memory::BodyAction::Wait:
        break;
    }
    m_state = State::WaitingForMemory;
    m_stream->setReading(false);
    // One byte more may be read with the end of the connection, which is noticed in this way.
    m_stream->setMaxInput(m_stream->input().size() + 1);
    setTimer(decision.time);
    m_listener.queueBody(shared_from_this());
}

void CallerConnection::allowBody()
{
    m_heldBody.set(m_bodySize, m_loop.now());
    if (!m_bodyDecoder.isComplete() && httpwire::isSameFieldName(m_head.fields.value("Expect"), "100-continue")) {
        m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (m_listener.limitedAccount() != nullptr) {
        m_stream->setMaxInput(bodyInputSize);
    }
    m_state = State::ReadingBody;
    m_bodyBytesAtTimer = 0;
    setTimer(m_handler.limits().headerTimeout);
}

void CallerConnection::refuseBody(std::string_view reason, Milliseconds retryAfter)
{
    m_loop.cancel(m_timer);
    m_timer = 0;
    m_stream->setReading(true);
    m_stream->setMaxInput(bodyInputSize);
    m_state = State::Handling;
    m_hasHeadBegun = false;
    // The body is still to come and is not read as a request.
    m_isLastRequest = true;
    m_handler.refuseUnread(m_head, reason, retryAfter, *this);
    m_head = {};
}

Bytes CallerConnection::waitingBodySize() const
{
    return m_state == State::WaitingForMemory ? m_bodySize : Bytes{0};
}

bool CallerConnection::tryReadBody()
{
    const auto self = shared_from_this();
    const memory::BodyDecision decision = decideOnBody(Bytes{0});
    if (decision.action == memory::BodyAction::Wait) {
        return false;
    }
    if (decision.action == memory::BodyAction::Refuse) {
        refuseBody(memoryShort, decision.time);
        return true;
    }
    setTimer(m_handler.limits().headerTimeout);
    allowBody();
    m_stream->setReading(true);
    processInput();
    return true;
}

void CallerConnection::countOutput()
{
    m_heldOutput.set(Bytes{m_state == State::Closed ? 0 : m_stream->pendingOutput()}, m_loop.now());
}

memory::CallerOutput CallerConnection::measureOutput()
{
    countOutput();
    if (m_stream->pendingOutput() == 0 || m_stream->sentTotal() != m_lastSentTotal) {
        m_lastSentTotal = m_stream->sentTotal();
        m_outputProgressAt = m_loop.now();
    }
    const Milliseconds waitLimit = m_activeRequest ? m_activeRequest->waitLimit() : m_handler.limits().headerTimeout;
    return {Bytes{m_stream->pendingOutput()}, toMilliseconds(m_loop.now() - m_outputProgressAt), waitLimit};
}

void CallerConnection::readBody()
{
    m_bodyDecoder.decode(m_stream->input(), m_body);
    if (m_bodyDecoder.isMalformed()) {
        refuse(400);
        return;
    }
    if (m_body.size() > m_handler.limits().maxBodyBytes) {
        refuse(413);
        return;
    }
    if (m_bodyDecoder.isComplete()) {
        dispatch();
    }
}

void CallerConnection::dispatch()
{
    m_loop.cancel(m_timer);
    m_timer = 0;
    m_state = State::Handling;
    m_hasHeadBegun = false;
    m_heldBody.set(Bytes{m_body.size()}, m_loop.now());
    if (m_listener.limitedAccount() != nullptr) {
        m_stream->setMaxInput(initialInputSize);
    }
    auto activeRequest = m_handler.handle(std::move(m_head), std::move(m_body), m_requestStartedAt, *this);
    // The handler may already have responded; the connection then waits for its next request or is closed.
    if (m_state == State::Handling) {
        m_activeRequest = std::move(activeRequest);
    }
    m_head = {};
    m_body = {};
}

void CallerConnection::refuse(int status)
{
    m_state = State::Handling;
    m_isLastRequest = true;
    httpwire::ResponseHead head;
    head.status = status;
    sendResponse(std::move(head), {});
}

bool CallerConnection::addConnectionFields(httpwire::ResponseHead &head) const
{
    const bool isClosing = m_isLastRequest || m_handler.isClosing();
    if (isClosing) {
        head.fields.add("Connection", "close");
    }
    return isClosing;
}

void CallerConnection::sendResponse(httpwire::ResponseHead head, std::string_view body)
{
    if (m_state != State::Handling) {
        return;
    }
    m_isLastRequest = addConnectionFields(head);
    head.fields.add("Content-Length", std::to_string(body.size()));
    std::string bytes = httpwire::writeResponseHead(head);
    bytes.append(body);
    m_stream->write(bytes);
    finishResponse();
}

void CallerConnection::beginResponse(httpwire::ResponseHead head)
{
    if (m_state != State::Handling) {
        return;
    }
    m_isLastRequest = addConnectionFields(head);
    head.fields.add("Transfer-Encoding", "chunked");
    m_stream->write(httpwire::writeResponseHead(head));
}

void CallerConnection::sendChunk(std::string_view bytes)
{
    if (m_state == State::Handling && !bytes.empty()) {
        m_stream->write(httpwire::writeChunk(bytes));
        countOutput();
    }
}

void CallerConnection::endResponse()
{
    if (m_state == State::Handling) {
        m_stream->write(httpwire::lastChunk);
        finishResponse();
    }
}

void CallerConnection::abortResponse()
{
    if (m_state == State::Handling) {
        m_activeRequest.reset();
        close();
    }
}

std::size_t CallerConnection::pendingBytes() const
{
    return m_stream->pendingOutput();
}

void CallerConnection::finishResponse()
{
    m_activeRequest.reset();
    m_heldBody.set(Bytes{0}, m_loop.now());
    countOutput();
    if (m_state == State::Closed) {
        return;
    }
    if (m_isLastRequest) {
        beginClosing();
        return;
    }
    m_state = State::ReadingHead;
    setTimer(m_handler.limits().idleTimeout);
    // The next request may already be in the input buffer. It is processed outside the current call stack.
    m_loop.defer([self = shared_from_this()] {
        if (self->m_state == State::ReadingHead) {
            self->processInput();
            // The end follows the answer, so that a caller that asks again without a pause does so elsewhere.
            if (self->m_listener.isClosingIdleConnections()) {
                self->closeIfIdle();
            }
        }
    });
}

void CallerConnection::onOutputSent()
{
    countOutput();
    if (m_activeRequest) {
        m_activeRequest->onDrained();
    }
}

void CallerConnection::onEnd(eventloop::StreamEnd /*end*/)
{
    const auto self = shared_from_this();
    if (const auto activeRequest = std::move(m_activeRequest)) {
        m_activeRequest.reset();
        activeRequest->cancel();
    }
    close();
}

void CallerConnection::setTimer(Milliseconds time)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(time, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onTimer();
        }
    });
}

void CallerConnection::onTimer()
{
    m_timer = 0;
    if (m_state == State::Closing) {
        close();
    } else if (m_state == State::ReadingBody && m_body.size() >= m_bodyBytesAtTimer + minBodyBytesPerTimeout) {
        m_bodyBytesAtTimer = m_body.size();
        setTimer(m_handler.limits().headerTimeout);
    } else if (m_state == State::WaitingForMemory) {
        refuseBody(memoryShort, decideOnBody(Bytes{0}).time);
    } else if (m_state == State::ReadingBody || m_hasHeadBegun) {
        refuse(408);
    } else if (m_state == State::ReadingHead) {
        beginClosing();
    }
}

void CallerConnection::beginClosing()
{
    m_state = State::Closing;
    m_hasHeadBegun = false;
    m_stream->shutdownOutput();
    setTimer(lingerTime);
}

void CallerConnection::close()
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    m_loop.cancel(m_timer);
    m_stream->close();
    m_heldBody.set(Bytes{0}, m_loop.now());
    countOutput();
    m_listener.removeConnection(shared_from_this());
}

} // namespace magnolia::gateway

// An answer received over one Poco client session.
#include "upstreams/internal/httpupstreamanswer.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPMessage.h>

#include <algorithm>

namespace magnolia::upstreams
{

namespace
{

// Poco does not read the CRLF that ends a chunk until it needs the next chunk.
constexpr int unreadChunkEndBytes = 2;

// Poco accepts any number of up to three digits.
constexpr int minFinalStatus = 200;
constexpr int maxStatus = 599;

Poco::Timespan toTimespan(Milliseconds duration)
{
    return Poco::Timespan(Poco::Timespan::MILLISECONDS * std::max<Milliseconds::rep>(duration.count(), 0));
}

} // namespace

HttpUpstreamAnswer::HttpUpstreamAnswer(std::unique_ptr<SingleCallSession> session)
    : m_session(std::move(session))
{
}

int HttpUpstreamAnswer::status() const
{
    return m_body == nullptr ? 0 : static_cast<int>(m_response.getStatus());
}

std::string HttpUpstreamAnswer::header(const std::string &name) const
{
    return m_response.get(name, "");
}

bool HttpUpstreamAnswer::isReadable(Milliseconds wait, int bufferedWhenIdle)
{
    return m_session->bufferedBytes() > bufferedWhenIdle
        || m_session->socket().poll(toTimespan(wait), Poco::Net::Socket::SELECT_READ);
}

ReceiveState HttpUpstreamAnswer::awaitHead(Milliseconds wait)
{
    if (m_body != nullptr) {
        return ReceiveState::Data;
    }
    try {
        if (!isReadable(wait, 0)) {
            return ReceiveState::Waiting;
        }
        std::istream &body = m_session->receiveResponse(m_response);
        const int status = static_cast<int>(m_response.getStatus());
        if (status < minFinalStatus || status > maxStatus) {
            return ReceiveState::Broken;
        }
        m_body = &body;
        return ReceiveState::Data;
    } catch (const Poco::Exception &) {
        return ReceiveState::Broken;
    }
}

ReceiveResult HttpUpstreamAnswer::receive(Milliseconds wait)
{
    if (m_body == nullptr) {
        return {};
    }
    const bool isChunked = m_response.getChunkedTransferEncoding();
    const std::streamsize length = m_response.getContentLength();
    try {
        if (!isChunked && length != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH && m_receivedBytes >= length) {
            return {ReceiveState::End, {}};
        }
        if (m_body->rdbuf()->in_avail() <= 0 && !isReadable(wait, isChunked ? unreadChunkEndBytes : 0)) {
            return {ReceiveState::Waiting, {}};
        }
        return readAvailable();
    } catch (const Poco::Exception &) {
        return {};
    }
}

ReceiveResult HttpUpstreamAnswer::readAvailable()
{
    // peek() makes Poco read the available bytes. The stream sets badbit instead of throwing exceptions.
    if (m_body->peek() == std::istream::traits_type::eof()) {
        return {m_body->bad() ? ReceiveState::Broken : endState(), {}};
    }
    const std::streamsize available = std::clamp<std::streamsize>(m_body->rdbuf()->in_avail(), 1, bufferBytes);
    const std::streamsize n = m_body->rdbuf()->sgetn(m_buffer.data(), available);
    m_receivedBytes += n;
    return {ReceiveState::Data, {m_buffer.data(), static_cast<std::size_t>(n)}};
}

// Poco reports a truncated chunked answer like a complete one. The session offers keep-alive, so a server leaves the
// connection open after the last chunk, and a connection closed at this point means that the answer was truncated.
ReceiveState HttpUpstreamAnswer::endState() const
{
    if (m_response.getChunkedTransferEncoding()) {
        const bool isClosed = m_session->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
        return isClosed ? ReceiveState::Broken : ReceiveState::End;
    }
    const std::streamsize length = m_response.getContentLength();
    const bool isComplete = length != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH && m_receivedBytes >= length;
    return isComplete ? ReceiveState::End : ReceiveState::Broken;
}

} // namespace magnolia::upstreams

// Writes the answer to a caller over HTTP.
#include "entry/internal/answer/httpcalleranswer.h"

#include "entry/internal/answer/erroranswer.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cerrno>
#include <sys/socket.h>

namespace magnolia::entry
{

HttpCallerAnswer::HttpCallerAnswer(const Poco::Net::StreamSocket &socket, Poco::Net::HTTPServerResponse &response,
    RequestId request, const std::string &instance)
    : m_socket(socket)
    , m_response(response)
    , m_request(std::move(request))
{
    m_response.set("X-Request-Id", m_request.value());
    m_response.set("X-Instance", instance);
}

bool HttpCallerAnswer::writeStream(std::string_view bytes)
{
    try {
        if (m_stream == nullptr) {
            m_response.setChunkedTransferEncoding(true);
            m_response.setContentType("text/event-stream");
            m_response.set("Cache-Control", "no-store");
            m_stream = &m_response.send();
        }
        m_stream->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        m_stream->flush();
        return m_stream->good();
    } catch (const Poco::Exception &) {
        return false;
    }
}

void HttpCallerAnswer::finishStream()
{
    if (m_stream == nullptr) {
        writeStream({});
    }
}

void HttpCallerAnswer::sendComplete(int status, const std::string &contentType, std::string_view body)
{
    try {
        m_response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
        if (!contentType.empty()) {
            m_response.setContentType(contentType);
        }
        m_response.sendBuffer(body.data(), body.size());
    } catch (const Poco::Exception &) {
        // The caller has disconnected; the outcome of the request is still logged.
        m_response.setKeepAlive(false);
    }
}

void HttpCallerAnswer::sendError(const Error &error, Outcome thisAttempt)
{
    const std::string json = errorJson(error, thisAttempt, m_request);
    if (m_stream != nullptr) {
        writeStream("event: error\ndata: " + json + "\n\n");
        return;
    }
    if (error.retryAfter) {
        m_response.set("Retry-After", retryAfterSeconds(*error.retryAfter));
    }
    sendComplete(resultCodeInfo(error.code).httpStatus, "application/json", json);
}

bool HttpCallerAnswer::isDisconnected()
{
    // Reads from the file descriptor, because Poco's secure sockets cannot peek at bytes without consuming them.
    char next = 0;
    const auto n = ::recv(m_socket.impl()->sockfd(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace magnolia::entry

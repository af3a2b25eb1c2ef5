// Writes the answer to a caller over HTTP.
#pragma once

#include "entry/icalleranswer.h"

#include <Poco/Net/StreamSocket.h>

#include <ostream>
#include <string>

namespace Poco::Net
{
class HTTPServerResponse;
}

namespace magnolia::entry
{

class HttpCallerAnswer : public ICallerAnswer
{
public:
    /** `socket` is the caller's connection; `response` must outlive this object. */
    HttpCallerAnswer(const Poco::Net::StreamSocket &socket, Poco::Net::HTTPServerResponse &response, RequestId request,
        const std::string &instance);

    bool writeStream(std::string_view bytes) override;
    void finishStream() override;
    void sendComplete(int status, const std::string &contentType, std::string_view body) override;
    void sendError(const Error &error, Outcome thisAttempt) override;
    [[nodiscard]] bool isDisconnected() override;

private:
    Poco::Net::StreamSocket m_socket;
    Poco::Net::HTTPServerResponse &m_response;
    RequestId m_request;
    // Invariant: null until the head of an event stream has been sent. Owned by m_response.
    std::ostream *m_stream = nullptr;
};

} // namespace magnolia::entry

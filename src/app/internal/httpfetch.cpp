// HTTP client for the commands that query an instance.
#include "app/internal/httpfetch.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace magnolia::app
{

namespace
{

const Poco::Timespan fetchTimeout(5, 0);

} // namespace

Result<std::string> fetch(const std::string &address, const std::string &path,
    const std::vector<std::pair<std::string, std::string>> &headers)
{
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(fetchTimeout);
        Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, path, Poco::Net::HTTPMessage::HTTP_1_1);
        for (const auto &[name, value] : headers) {
            request.set(name, value);
        }
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
            return makeError(ResultCode::PlatformMalformed,
                address + " answered " + std::to_string(static_cast<int>(response.getStatus())) + ": " + body);
        }
        return body;
    } catch (const Poco::Exception &ex) {
        return makeError(ResultCode::PeerUnreachable, address + ": " + ex.displayText());
    }
}

} // namespace magnolia::app

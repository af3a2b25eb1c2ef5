// HTTP GET with Poco's client session. Converts its exceptions to errors.
#include "ports/internal/httpget.h"

#include "ports/internal/deadlinesocket.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <exception>
#include <istream>

namespace magnolia::ports
{

namespace
{

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::StreamSocket;

constexpr std::size_t readBufferBytes = 16 * 1024;
constexpr std::uint64_t maxRetryAfterSeconds = 3600;
constexpr int minServerErrorStatus = 500;

/** Poco allows only subclasses of StreamSocket to set a socket implementation. */
class BoundedSocket : public StreamSocket
{
public:
    explicit BoundedSocket(Poco::Net::SocketImpl *implementation)
        : StreamSocket(implementation)
    {
    }
};

Poco::Timespan toTimespan(Milliseconds duration)
{
    return Poco::Timespan(std::chrono::duration_cast<Microseconds>(duration).count());
}

/** Reads Retry-After in seconds; ignores the form with a date. */
std::optional<Milliseconds> readRetryAfter(const HTTPResponse &response)
{
    const std::string text = response.get("Retry-After", "");
    std::uint64_t seconds = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return Seconds(std::min(seconds, maxRetryAfterSeconds));
}

/** Returns false if the body is larger than `limit`. */
bool readBody(std::istream &stream, Bytes limit, std::string &body)
{
    std::array<char, readBufferBytes> buf{};
    while (stream.good()) {
        stream.read(buf.data(), static_cast<std::streamsize>(buf.size()));
        body.append(buf.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > limit.count()) {
            return false;
        }
    }
    return true;
}

Result<HttpAnswer> exchange(const std::string &address, const std::string &path, HttpGetLimits limits)
{
    const Poco::Net::SocketAddress to(address);
    BoundedSocket socket(
        new DeadlineSocket(std::chrono::steady_clock::now() + limits.connectTimeout + limits.exchangeTimeout));
    socket.connect(to, toTimespan(limits.connectTimeout));
    socket.setSendTimeout(toTimespan(limits.exchangeTimeout));
    HTTPClientSession session(socket);
    // Before each exchange, the session replaces the socket's timeouts by its own.
    session.setTimeout(toTimespan(limits.exchangeTimeout));
    HTTPRequest request(HTTPRequest::HTTP_GET, path, HTTPMessage::HTTP_1_1);
    request.setHost(address);
    request.setKeepAlive(false);
    session.sendRequest(request);

    HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    HttpAnswer answer{response.getStatus(), {}, readRetryAfter(response)};
    if (!readBody(stream, limits.maxBodySize, answer.body)) {
        return makeError(ResultCode::PlatformMalformed, address + " sent a body above the size limit");
    }
    const auto length = response.getContentLength64();
    if (length != HTTPMessage::UNKNOWN_CONTENT_LENGTH && static_cast<std::uint64_t>(length) != answer.body.size()) {
        return makeError(
            ResultCode::PlatformUnavailable, address + " closed the connection before the answer was complete");
    }
    return answer;
}

} // namespace

Result<HttpAnswer> httpGet(const std::string &address, const std::string &path, HttpGetLimits limits)
{
    try {
        return exchange(address, path, limits);
    } catch (const Poco::Net::MessageException &ex) {
        return makeError(ResultCode::PlatformMalformed, address + " sent no valid HTTP answer: " + ex.displayText());
    } catch (const Poco::Exception &ex) {
        return makeError(ResultCode::PlatformUnavailable, address + ": " + ex.displayText());
    } catch (const std::exception &ex) {
        return makeError(ResultCode::PlatformUnavailable, address + ": " + ex.what());
    }
}

Result<HttpAnswer> httpGetAny(
    const std::vector<std::string> &addresses, std::size_t firstReplica, const std::string &path, HttpGetLimits limits)
{
    Result<HttpAnswer> answer = makeError(ResultCode::PlatformUnavailable, "the settings contain no address");
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const std::string &address = addresses[(firstReplica + i) % addresses.size()];
        answer = httpGet(address, path, limits);
        if (answer && answer->status < minServerErrorStatus) {
            return answer;
        }
        if (answer) {
            answer = makeError(
                ResultCode::PlatformUnavailable, address + " answered with status " + std::to_string(answer->status));
        }
    }
    return answer;
}

} // namespace magnolia::ports

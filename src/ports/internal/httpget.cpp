// GET with POCO's client session; its exceptions end here.
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

constexpr std::size_t readChunkBytes = 16 * 1024;
constexpr std::uint64_t longestRetryAfterSeconds = 3600;
constexpr int firstServerError = 500;

/** POCO asks that whoever hands a socket implementation over derives from the socket's class. */
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

/** Only the form in seconds; a date is passed over. */
std::optional<Milliseconds> readRetryAfter(const HTTPResponse &response)
{
    const std::string text = response.get("Retry-After", "");
    std::uint64_t seconds = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return Seconds(std::min(seconds, longestRetryAfterSeconds));
}

/** False where the body is larger than `limit`. */
bool readBody(std::istream &stream, Bytes limit, std::string &body)
{
    std::array<char, readChunkBytes> buf{};
    while (stream.good()) {
        stream.read(buf.data(), static_cast<std::streamsize>(buf.size()));
        body.append(buf.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > limit.count()) {
            return false;
        }
    }
    return true;
}

Result<HttpAnswer> exchange(const std::string &address, const std::string &path, GetLimits limits)
{
    const Poco::Net::SocketAddress to(address);
    BoundedSocket socket(new DeadlineSocket(std::chrono::steady_clock::now() + limits.connect + limits.total));
    socket.connect(to, toTimespan(limits.connect));
    socket.setSendTimeout(toTimespan(limits.total));
    HTTPClientSession session(socket);
    // The session would set the socket's own time-out again before each exchange.
    session.setTimeout(toTimespan(limits.total));
    HTTPRequest request(HTTPRequest::HTTP_GET, path, HTTPMessage::HTTP_1_1);
    request.setHost(address);
    request.setKeepAlive(false);
    session.sendRequest(request);

    HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    HttpAnswer answer{response.getStatus(), {}, readRetryAfter(response)};
    if (!readBody(stream, limits.body, answer.body)) {
        return makeError(ResultCode::PlatformMalformed, address + " answered more than the limit of bytes");
    }
    const auto length = response.getContentLength64();
    if (length != HTTPMessage::UNKNOWN_CONTENT_LENGTH && static_cast<std::uint64_t>(length) != answer.body.size()) {
        return makeError(ResultCode::PlatformUnavailable, address + " closed before its answer was whole");
    }
    return answer;
}

} // namespace

Result<HttpAnswer> httpGet(const std::string &address, const std::string &path, GetLimits limits)
{
    try {
        return exchange(address, path, limits);
    } catch (const Poco::Net::MessageException &ex) {
        return makeError(ResultCode::PlatformMalformed, address + " does not speak HTTP: " + ex.displayText());
    } catch (const Poco::Exception &ex) {
        return makeError(ResultCode::PlatformUnavailable, address + ": " + ex.displayText());
    } catch (const std::exception &ex) {
        return makeError(ResultCode::PlatformUnavailable, address + ": " + ex.what());
    }
}

Result<HttpAnswer> httpGetAny(
    const std::vector<std::string> &addresses, std::size_t first, const std::string &path, GetLimits limits)
{
    Result<HttpAnswer> answer = makeError(ResultCode::PlatformUnavailable, "no address in the settings");
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const std::string &address = addresses[(first + i) % addresses.size()];
        answer = httpGet(address, path, limits);
        if (answer && answer->status < firstServerError) {
            return answer;
        }
        if (answer) {
            answer = makeError(
                ResultCode::PlatformUnavailable, address + " answered status " + std::to_string(answer->status));
        }
    }
    return answer;
}

} // namespace magnolia::ports

// Calls upstreams over HTTP with one connection per call.
#include "upstreams/internal/httpupstreamclient.h"

#include "upstreams/internal/httpupstreamanswer.h"
#include "upstreams/upstreamclient.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>

namespace magnolia::upstreams
{

namespace
{

Poco::Timespan toTimespan(Milliseconds duration)
{
    return {Poco::Timespan::MILLISECONDS * duration.count()};
}

tl::unexpected<Error> makeFailure(ResultCode code, Outcome outcome, const UpstreamCall &call, const Poco::Exception &ex)
{
    return tl::unexpected(Error{code, call.address + ": " + ex.displayText(), outcome, std::nullopt});
}

Poco::Net::HTTPRequest toRequest(const UpstreamCall &call)
{
    Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("X-Request-Id", call.request.value());
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    if (call.body) {
        request.setContentLength64(static_cast<Poco::Int64>(call.body->size()));
        request.setContentType(call.contentType.empty() ? "application/json" : call.contentType);
    }
    return request;
}

Result<std::unique_ptr<SingleCallSession>> connect(const UpstreamCall &call)
{
    try {
        const Poco::Net::SocketAddress address(call.address);
        auto session = std::make_unique<SingleCallSession>(address);
        session->setTimeout(
            toTimespan(call.connectTimeout), toTimespan(call.silenceTimeout), toTimespan(call.silenceTimeout));
        session->open(address);
        return session;
    } catch (const Poco::Exception &ex) {
        return makeFailure(ResultCode::UpstreamConnectFailed, Outcome::NotRun, call, ex);
    }
}

} // namespace

Result<std::unique_ptr<IUpstreamAnswer>> HttpUpstreamClient::send(
    const UpstreamCall &call, const std::function<Result<void>()> &mayDispatch)
{
    auto session = connect(call);
    if (!session) {
        return tl::unexpected(session.error());
    }
    Poco::Net::HTTPRequest request = toRequest(call);
    // Must be the last check: an instance that was paused while it connected must not send.
    if (auto allowed = mayDispatch(); !allowed) {
        return tl::unexpected(allowed.error());
    }
    try {
        std::ostream &out = (*session)->sendRequest(request);
        if (call.body) {
            out.write(call.body->data(), static_cast<std::streamsize>(call.body->size()));
        }
        (*session)->flushRequest();
        if (!out.good()) {
            const Poco::IOException ex("the connection failed while the request was being sent");
            return makeFailure(ResultCode::UpstreamBroken, Outcome::Unknown, call, ex);
        }
        return std::make_unique<HttpUpstreamAnswer>(std::move(*session));
    } catch (const Poco::Exception &ex) {
        return makeFailure(ResultCode::UpstreamBroken, Outcome::Unknown, call, ex);
    }
}

std::unique_ptr<IUpstreamClient> makeHttpUpstreamClient()
{
    return std::make_unique<HttpUpstreamClient>();
}

} // namespace magnolia::upstreams

// HTTP handler for callers.
#include "entry/callerhandler.h"

#include "entry/internal/answer/httpcalleranswer.h"
#include "entry/internal/answer/requestlog.h"
#include "entry/internal/arrival/requestreader.h"
#include "idempotency/uuidv7.h"
#include "locating/locating.h"

#include <nlohmann/json.hpp>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <fmt/core.h>

namespace magnolia::entry
{

namespace
{

constexpr std::string_view locatePath = "/v1/locate";
// Lowest rate at which the body of a request is accepted.
constexpr std::uint64_t minBodyBytesPerMs = 256;
constexpr std::size_t readBlockSize = 64UL * 1024;
constexpr Milliseconds overloadRetryAfter{1000};

Poco::Net::StreamSocket socketOf(Poco::Net::HTTPServerRequest &request)
{
    return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

/** Counts a request as open during the lifetime of the object. */
class OpenRequest
{
public:
    explicit OpenRequest(std::atomic<int> &count)
        : m_count(count)
        , m_openCount(++count)
    {
    }
    ~OpenRequest()
    {
        --m_count;
    }
    OpenRequest(const OpenRequest &) = delete;
    OpenRequest &operator=(const OpenRequest &) = delete;

    /** Returns the number of open requests when this one was opened, including it. */
    [[nodiscard]] int openCount() const
    {
        return m_openCount;
    }

private:
    std::atomic<int> &m_count;
    int m_openCount;
};

} // namespace

CallerHandler::CallerHandler(CallerHandlerSettings settings, const Blackboard &blackboard, RequestRunner &runner,
    const IClock &clock, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_blackboard(blackboard)
    , m_runner(runner)
    , m_clock(clock)
    , m_random(seed)
{
}

void CallerHandler::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const OpenRequest open(m_openRequestCount);
    if (m_isLeaving) {
        response.setKeepAlive(false);
    }
    const std::string &uri = request.getURI();
    if (std::string_view(uri).substr(0, uri.find('?')) == locatePath) {
        handleLocate(request, response);
        return;
    }
    if (open.openCount() > m_settings.maxOpenRequests) {
        response.setKeepAlive(false);
        refuse(response,
            {ResultCode::AdmissionOverloaded, "this instance has too many open requests", Outcome::NotRun,
                overloadRetryAfter});
        return;
    }
    serve(request, response);
}

void CallerHandler::refuse(Poco::Net::HTTPServerResponse &response, const Error &error)
{
    const RequestId id = newRequestId();
    logRefusal(id, error);
    HttpCallerAnswer(Poco::Net::StreamSocket(), response, id, m_settings.instance.value())
        .sendError(error, Outcome::NotRun);
}

void CallerHandler::serve(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const auto configuration = m_blackboard.configuration.read();
    const RequestId id = requestIdOf(request);
    auto head = readHead(request, *configuration, id, m_clock.monotonicNow());
    HttpCallerAnswer answer(socketOf(request), response, id, m_settings.instance.value());
    const auto fail = [&](const Error &error) {
        // The body may be unread, so the connection cannot be reused.
        response.setKeepAlive(false);
        logRefusal(id, error);
        answer.sendError(error, Outcome::NotRun);
    };
    if (!head) {
        fail(head.error());
        return;
    }
    auto body = readBody(request, response);
    if (!body) {
        fail(body.error());
        return;
    }
    if (auto added = addBody(*head, request, *configuration, std::move(*body)); !added) {
        fail(added.error());
        return;
    }
    m_runner.run(*head, answer);
}

Result<std::string> CallerHandler::readBody(
    Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const bool hasLength = request.hasContentLength();
    const std::uint64_t length = hasLength ? static_cast<std::uint64_t>(request.getContentLength64()) : 0;
    if (length > m_settings.maxBodySize.count()) {
        return makeError(ResultCode::RequestBodyTooLarge,
            "the body has " + std::to_string(length) + " bytes; at most "
                + std::to_string(m_settings.maxBodySize.count()) + " are accepted");
    }
    if (request.getExpectContinue()) {
        response.sendContinue();
    }
    const Milliseconds allowed = m_settings.bodyTimeout
        + Milliseconds((hasLength ? length : m_settings.maxBodySize.count()) / minBodyBytesPerMs);
    auto guard = m_slowSenderWatch.guard(socketOf(request), m_clock.monotonicNow() + allowed);
    std::string body;
    body.reserve(length);
    try {
        std::istream &in = request.stream();
        while (in.good() && body.size() <= m_settings.maxBodySize.count()) {
            const std::size_t before = body.size();
            body.resize(before + readBlockSize);
            in.read(body.data() + before, readBlockSize);
            body.resize(before + static_cast<std::size_t>(in.gcount()));
        }
    } catch (const Poco::Exception &ex) {
        return makeError(ResultCode::RequestMalformed, "the body cannot be read: " + ex.displayText());
    }
    if (guard.release()) {
        return makeError(ResultCode::RequestTooSlow, "the body did not arrive within the time limit");
    }
    if (body.size() > m_settings.maxBodySize.count()) {
        return makeError(ResultCode::RequestBodyTooLarge,
            "the body is larger than " + std::to_string(m_settings.maxBodySize.count()) + " bytes");
    }
    if (hasLength && body.size() != length) {
        return makeError(ResultCode::RequestMalformed, "the body is shorter than its Content-Length");
    }
    return body;
}

void CallerHandler::handleLocate(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const auto list = m_blackboard.publishedList.read();
    const auto view = m_blackboard.membership.read();
    const OrganisationId organisation(request.get("X-Organisation", ""));
    const locating::LocateContext context{
        *list, *view, m_settings.instance, m_settings.advertisedAddress, m_isLeaving, m_settings.locateTtl};
    locating::LocateResponse answer;
    IdempotencyKey key;
    {
        const std::scoped_lock lock(m_randomMutex);
        answer = locating::locate(context, organisation, m_random);
        key = idempotency::makeKey(m_clock.wallNow(), m_random);
    }
    const nlohmann::ordered_json json{
        {"addresses", answer.addresses}, {"ttl_ms", answer.timeToLive.count()}, {"idempotency_key", key.value()}};
    HttpCallerAnswer(socketOf(request), response, newRequestId(), m_settings.instance.value())
        .sendComplete(Poco::Net::HTTPResponse::HTTP_OK, "application/json", json.dump());
}

RequestId CallerHandler::requestIdOf(const Poco::Net::HTTPServerRequest &request)
{
    const RequestId given(request.get("X-Request-Id", ""));
    if (!isValidRequestId(given)) {
        return newRequestId();
    }
    // The forwarding instance has already made the id unique; both instances return the same id to the caller.
    return request.has("X-Relayed") ? given : uniqueRequestId(given);
}

// Callers may use an id for concurrent requests; upstreams and logs must still be able to distinguish them.
RequestId CallerHandler::uniqueRequestId(const RequestId &given)
{
    const std::scoped_lock lock(m_randomMutex);
    return RequestId(fmt::format("{}.{:08x}", given.value(), m_random.next() >> 32U));
}

RequestId CallerHandler::newRequestId()
{
    const std::scoped_lock lock(m_randomMutex);
    return RequestId(idempotency::makeKey(m_clock.wallNow(), m_random).value());
}

void CallerHandler::beginLeaving()
{
    m_isLeaving = true;
}

bool CallerHandler::isLeaving() const
{
    return m_isLeaving;
}

int CallerHandler::openRequestCount() const
{
    return m_openRequestCount;
}

} // namespace magnolia::entry

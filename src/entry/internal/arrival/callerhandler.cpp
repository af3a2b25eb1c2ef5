// The listener for callers.
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
/** Slowest sender of a body that is waited for. */
constexpr std::uint64_t slowestSenderBytesPerMs = 256;
constexpr std::size_t readBlock = 64UL * 1024;
constexpr Milliseconds fullRetryAfter{1000};

Poco::Net::StreamSocket socketOf(Poco::Net::HTTPServerRequest &request)
{
    return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

/** Counts a request as open while it lives. */
class OpenRequest
{
public:
    explicit OpenRequest(std::atomic<int> &count)
        : m_count(count)
        , m_number(++count)
    {
    }
    ~OpenRequest()
    {
        --m_count;
    }
    OpenRequest(const OpenRequest &) = delete;
    OpenRequest &operator=(const OpenRequest &) = delete;

    [[nodiscard]] int number() const
    {
        return m_number;
    }

private:
    std::atomic<int> &m_count;
    int m_number;
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
    const OpenRequest open(m_open);
    if (m_isLeaving) {
        response.setKeepAlive(false);
    }
    const std::string &uri = request.getURI();
    if (std::string_view(uri).substr(0, uri.find('?')) == locatePath) {
        answerLocate(request, response);
        return;
    }
    if (open.number() > m_settings.maxOpenRequests) {
        response.setKeepAlive(false);
        refuse(response,
            {ResultCode::AdmissionOverloaded, "too many open requests at this instance", Outcome::NotRun,
                fullRetryAfter});
        return;
    }
    serve(request, response);
}

void CallerHandler::refuse(Poco::Net::HTTPServerResponse &response, const Error &error)
{
    const RequestId id = freshRequestId();
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
        // The body may be unread: the connection cannot be used further.
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
    const bool isKnown = request.hasContentLength();
    const std::uint64_t length = isKnown ? static_cast<std::uint64_t>(request.getContentLength64()) : 0;
    if (length > m_settings.maxBody.count()) {
        return makeError(ResultCode::RequestBodyTooLarge,
            "the body has " + std::to_string(length) + " bytes; at most " + std::to_string(m_settings.maxBody.count())
                + " are accepted");
    }
    if (request.getExpectContinue()) {
        response.sendContinue();
    }
    const Milliseconds allowed
        = m_settings.bodyTime + Milliseconds((isKnown ? length : m_settings.maxBody.count()) / slowestSenderBytesPerMs);
    auto guard = m_watch.guard(socketOf(request), m_clock.monotonicNow() + allowed);
    std::string body;
    body.reserve(length);
    try {
        std::istream &in = request.stream();
        while (in.good() && body.size() <= m_settings.maxBody.count()) {
            const std::size_t before = body.size();
            body.resize(before + readBlock);
            in.read(body.data() + before, readBlock);
            body.resize(before + static_cast<std::size_t>(in.gcount()));
        }
    } catch (const Poco::Exception &ex) {
        return makeError(ResultCode::RequestMalformed, "the body cannot be read: " + ex.displayText());
    }
    if (guard.release()) {
        return makeError(ResultCode::RequestTooSlow, "the body did not arrive in time");
    }
    if (body.size() > m_settings.maxBody.count()) {
        return makeError(ResultCode::RequestBodyTooLarge,
            "the body is larger than " + std::to_string(m_settings.maxBody.count()) + " bytes");
    }
    if (isKnown && body.size() != length) {
        return makeError(ResultCode::RequestMalformed, "the body ended before its announced length");
    }
    return body;
}

void CallerHandler::answerLocate(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const auto list = m_blackboard.publishedList.read();
    const auto view = m_blackboard.membership.read();
    const OrganisationId organisation(request.get("X-Organisation", ""));
    const locating::LocateContext facts{
        *list, *view, m_settings.instance, m_settings.advertise, m_isLeaving, m_settings.locateTtl};
    locating::LocateResponse found;
    IdempotencyKey key;
    {
        const std::scoped_lock lock(m_randomMutex);
        found = locating::locate(facts, organisation, m_random);
        key = idempotency::makeKey(m_clock.wallNow(), m_random);
    }
    const nlohmann::ordered_json json{
        {"addresses", found.addresses}, {"ttl_ms", found.timeToLive.count()}, {"idempotency_key", key.value()}};
    HttpCallerAnswer(socketOf(request), response, freshRequestId(), m_settings.instance.value())
        .sendWhole(Poco::Net::HTTPResponse::HTTP_OK, "application/json", json.dump());
}

RequestId CallerHandler::requestIdOf(const Poco::Net::HTTPServerRequest &request)
{
    const RequestId given(request.get("X-Request-Id", ""));
    if (!isUsableRequestId(given)) {
        return freshRequestId();
    }
    // Another entry has made it unique already; both tell the caller the same id.
    return request.has("X-Relayed") ? given : uniqueRequestId(given);
}

// Callers may use an id twice at the same time; upstreams and logs must still tell the requests apart.
RequestId CallerHandler::uniqueRequestId(const RequestId &given)
{
    const std::scoped_lock lock(m_randomMutex);
    return RequestId(fmt::format("{}.{:08x}", given.value(), m_random.next() >> 32U));
}

RequestId CallerHandler::freshRequestId()
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

int CallerHandler::openRequests() const
{
    return m_open;
}

} // namespace magnolia::entry

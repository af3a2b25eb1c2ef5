// Sends generated tokens and applies the faults of answers.
#include "standin/engineanswers.h"

#include "standin/enginecore.h"
#include "standin/exchange.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace magnolia::standin
{

namespace
{

constexpr std::uint64_t defaultMaxTokens = 256;
constexpr std::uint64_t bytesPerToken = 4;
constexpr std::size_t maxRequestIdLength = 128;

enum class DeliveryResult {
    Complete,
    Interrupted,
};

/** The request whose answer is sent: the caller's own, or another one if the fault `cross_answers` is on. */
struct AnswerSource
{
    std::string requestId;
    std::uint64_t promptHash = 0;
};

AnswerSource answerSource(Exchange &exchange, const EngineCore &core, const HeldStream &stream)
{
    AnswerSource source{stream.request().requestId, stream.request().promptHash};
    if (!exchange.context().faults.crossesAnswers) {
        return source;
    }
    const StreamPtr other = core.findOther(source.requestId);
    source.requestId = other ? other->request().requestId : source.requestId + "-other";
    source.promptHash = other ? other->request().promptHash : ~source.promptHash;
    return source;
}

std::string formatTokenEvent(const AnswerSource &source, std::uint64_t index)
{
    // Request ids are validated on arrival, so they need no JSON escaping.
    const std::string number = std::to_string(index);
    return "id: " + number + "\ndata: {\"request_id\":\"" + source.requestId + "\",\"index\":" + number + ",\"text\":\""
        + tokenText(source.promptHash, index) + "\"}\n\n";
}

bool isTruncatedAt(const Faults &faults, std::uint64_t tokens)
{
    const std::int64_t limit = faults.truncateAfterTokens;
    return limit != Faults::noTruncation && tokens >= static_cast<std::uint64_t>(limit);
}

DeliveryResult writeEvents(Exchange &exchange, EngineCore &core, HeldStream &stream, std::uint64_t from)
{
    const AnswerSource source = answerSource(exchange, core, stream);
    const Faults &faults = exchange.context().faults;
    exchange.setHeader("X-Request-Id", source.requestId);
    std::ostream &out = exchange.beginEventStream();
    for (std::uint64_t index = from; index < stream.request().endIndex; ++index) {
        if (isTruncatedAt(faults, index - from) || !stream.waitForToken(index)) {
            exchange.abortConnection();
            return DeliveryResult::Interrupted;
        }
        exchange.applyConnectionFaults();
        const std::string event = formatTokenEvent(source, index);
        out << event << std::flush;
        if (faults.repeatsEvents) {
            out << event << std::flush;
        }
        if (!out.good()) {
            return DeliveryResult::Interrupted;
        }
    }
    out << "data: [DONE]\n\n" << std::flush;
    return out.good() ? DeliveryResult::Complete : DeliveryResult::Interrupted;
}

DeliveryResult writeJson(Exchange &exchange, EngineCore &core, HeldStream &stream, std::uint64_t from)
{
    const AnswerSource source = answerSource(exchange, core, stream);
    std::string text;
    for (std::uint64_t index = from; index < stream.request().endIndex; ++index) {
        if (isTruncatedAt(exchange.context().faults, index - from)) {
            exchange.abortConnection();
            return DeliveryResult::Interrupted;
        }
        text += tokenText(source.promptHash, index);
    }
    const std::uint64_t end = stream.request().endIndex;
    if (end > from && !stream.waitForToken(end - 1)) {
        exchange.abortConnection();
        return DeliveryResult::Interrupted;
    }
    exchange.applyConnectionFaults();
    exchange.setHeader("X-Request-Id", source.requestId);
    exchange.sendJson(200, {{"request_id", source.requestId}, {"text", text}, {"tokens", end - from}});
    return DeliveryResult::Complete;
}

void deliver(Exchange &exchange, EngineCore &core, const StreamPtr &stream, std::uint64_t from, bool isEventStream)
{
    if (!exchange.applyResponseFaults()) {
        return;
    }
    const DeliveryResult delivery
        = isEventStream ? writeEvents(exchange, core, *stream, from) : writeJson(exchange, core, *stream, from);
    // If the caller has disconnected, the stream keeps its memory until it is resumed or cancelled.
    if (delivery == DeliveryResult::Complete) {
        core.complete(stream);
    }
}

GenerationRequest readRequest(const Exchange &exchange, const BodyDigest &body)
{
    GenerationRequest request;
    request.requestId = exchange.header("X-Request-Id");
    request.owner = exchange.header("X-Owner");
    request.reservation = exchange.header("X-Reservation");
    request.promptHash = body.hash;
    request.prefixHash = body.prefixHash;
    request.promptTokens
        = std::max<std::uint64_t>(1, exchange.numericHeader("X-Prompt-Tokens", body.bytes / bytesPerToken));
    request.firstIndex = exchange.numericHeader("X-Resume-From", 0);
    request.endIndex = exchange.numericHeader("X-Max-Tokens", defaultMaxTokens);
    const std::string priority = exchange.header("X-Priority");
    request.priority = priority.empty() ? 0 : std::strtoll(priority.c_str(), nullptr, 10);
    return request;
}

bool isValidRequestId(const std::string &id)
{
    return !id.empty() && id.size() <= maxRequestIdLength && std::all_of(id.begin(), id.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    });
}

void recordExecution(Exchange &exchange, const GenerationRequest &request, const BodyDigest &body)
{
    exchange.context().journal.add({request.requestId, exchange.header("Idempotency-Key"), exchange.method(),
        exchange.path(), toHex(body.hash), body.bytes, 0});
}

} // namespace

void handleCompletion(Exchange &exchange, EngineCore &core)
{
    const BodyDigest body = exchange.readBodyDigest();
    const GenerationRequest request = readRequest(exchange, body);
    if (!body.isComplete) {
        exchange.abortConnection();
        return;
    }
    if (!isValidRequestId(request.requestId)) {
        exchange.sendJson(400, {{"error", "header X-Request-Id is missing or malformed"}});
        return;
    }
    exchange.setHeader("X-Request-Id", request.requestId);
    if (exchange.context().faults.isLeaving) {
        exchange.setHeader("X-Leaving", "1");
        exchange.sendJson(503, {{"error", "leaving"}});
        return;
    }
    const StreamPtr stream = core.admit(request);
    if (!stream) {
        exchange.setHeader("Retry-After", "1");
        exchange.sendJson(503, {{"error", "not enough free KV memory"}});
        return;
    }
    recordExecution(exchange, request, body);
    deliver(exchange, core, stream, request.firstIndex, exchange.header("Accept") == "text/event-stream");
}

void handleResume(Exchange &exchange, EngineCore &core)
{
    const std::string id = exchange.pathWithoutPrefix("/v1/streams/").value_or("");
    const StreamPtr stream = core.find(id);
    exchange.setHeader("X-Request-Id", id);
    if (!stream) {
        exchange.sendJson(404, {{"error", "stream not found"}});
        return;
    }
    deliver(exchange, core, stream, exchange.numericParameter("from").value_or(0), true);
}

} // namespace magnolia::standin

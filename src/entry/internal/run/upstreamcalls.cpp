// Builds the upstream calls of a request.
#include "entry/internal/run/upstreamcalls.h"

#include <algorithm>

namespace magnolia::entry
{

namespace
{

constexpr Milliseconds maxConnectTime{1000};

upstreams::UpstreamCall makeCall(const CallerRequest &request, const std::string &address, const CallContext &context)
{
    upstreams::UpstreamCall call;
    call.address = address;
    call.request = request.id;
    call.connectTimeout = std::clamp(context.timeLeft, Milliseconds(1), maxConnectTime);
    call.silenceTimeout = std::clamp(context.timeLeft, Milliseconds(1), context.silenceTimeout);
    return call;
}

} // namespace

upstreams::UpstreamCall completionCall(
    const CallerRequest &request, const UpstreamChoice &choice, std::uint64_t offset, const CallContext &context)
{
    upstreams::UpstreamCall call = makeCall(request, choice.address, context);
    call.path = request.upstreamPath;
    call.headers = {{"Accept", "text/event-stream"}, {"X-Priority", std::to_string(choice.priority)},
        {"X-Owner", context.owner}, {"X-Prompt-Tokens", std::to_string(request.prompt.count())},
        {"X-Max-Tokens", std::to_string(request.maxOutput.count())},
        {"X-Deadline-Ms", std::to_string(context.timeLeft.count())}};
    if (offset > 0) {
        call.headers.emplace_back("X-Resume-From", std::to_string(offset));
    }
    if (request.key) {
        call.headers.emplace_back("Idempotency-Key", request.key->value());
    }
    if (!context.reservation.empty()) {
        call.headers.emplace_back("X-Reservation", context.reservation);
    }
    call.contentType = request.contentType;
    call.body = request.body;
    return call;
}

upstreams::UpstreamCall resumeCall(
    const CallerRequest &request, const UpstreamChoice &choice, std::uint64_t offset, const CallContext &context)
{
    upstreams::UpstreamCall call = makeCall(request, choice.address, context);
    call.method = "GET";
    call.path = "/v1/streams/" + request.id.value() + "?from=" + std::to_string(offset);
    call.headers = {{"Accept", "text/event-stream"}, {"X-Owner", context.owner}};
    return call;
}

upstreams::UpstreamCall serviceCall(
    const CallerRequest &request, const UpstreamChoice &choice, const CallContext &context)
{
    upstreams::UpstreamCall call = makeCall(request, choice.address, context);
    call.method = request.method;
    call.path = request.upstreamPath;
    call.headers = {{"X-Deadline-Ms", std::to_string(context.timeLeft.count())}};
    if (request.key) {
        call.headers.emplace_back("Idempotency-Key", request.key->value());
    }
    call.contentType = request.contentType;
    call.body = request.body;
    return call;
}

upstreams::UpstreamCall ownerCall(const CallerRequest &request, const std::string &address, const CallContext &context)
{
    upstreams::UpstreamCall call = makeCall(request, address, context);
    call.method = request.method;
    call.path = request.callerPath;
    call.headers = {{"X-Class", request.requestClass.id.value()}, {"X-Organisation", request.organisation.value()},
        {"X-Relayed", context.owner}, {"X-Deadline-Ms", std::to_string(context.timeLeft.count())}};
    if (!request.authorization.empty()) {
        call.headers.emplace_back("Authorization", request.authorization);
    }
    if (request.requestClass.kind == RequestKind::Model) {
        call.headers.emplace_back("X-Model", request.model.value());
        call.headers.emplace_back("X-Prompt-Tokens", std::to_string(request.prompt.count()));
        call.headers.emplace_back("X-Max-Tokens", std::to_string(request.maxOutput.count()));
    }
    if (request.wantsStream) {
        call.headers.emplace_back("Accept", "text/event-stream");
    }
    if (request.key) {
        call.headers.emplace_back("Idempotency-Key", request.key->value());
    }
    call.contentType = request.contentType;
    call.body = request.body;
    return call;
}

} // namespace magnolia::entry

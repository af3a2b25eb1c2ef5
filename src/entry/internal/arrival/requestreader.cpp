// Parses a caller's request and checks it against the configuration.
#include "entry/internal/arrival/requestreader.h"

#include "entry/internal/arrival/bearerkeys.h"
#include "entry/internal/arrival/bodyfields.h"

#include <Poco/Net/HTTPRequest.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace magnolia::entry
{

namespace
{

constexpr std::string_view completionsPath = "/v1/completions";
constexpr std::string_view servicesPrefix = "/v1/services/";
// Leaves room for the suffix that the first entry instance adds.
constexpr std::size_t maxRequestIdLength = 96;
constexpr std::uint64_t maxTimeLeftMs = 24UL * 3600 * 1000;

Result<std::optional<std::uint64_t>> numberField(const Poco::Net::HTTPRequest &head, const std::string &name)
{
    if (!head.has(name)) {
        return std::nullopt;
    }
    const std::string &text = head.get(name);
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size() || number == 0) {
        return makeError(ResultCode::RequestMalformed, "header " + name + " must be a whole number above 0");
    }
    return number;
}

// Splits the path into the upstream path and, for a plain service, the name of the service.
Result<void> readPath(CallerRequest &request, const std::string &uri)
{
    request.callerPath = uri;
    const std::string_view path = std::string_view(uri).substr(0, uri.find('?'));
    if (path == completionsPath) {
        request.upstreamPath = uri;
        return {};
    }
    if (!path.starts_with(servicesPrefix)) {
        return makeError(ResultCode::RequestUnknownPath, "no such path: " + std::string(path));
    }
    const std::string rest = uri.substr(servicesPrefix.size());
    const std::size_t slash = rest.find_first_of("/?");
    request.service = rest.substr(0, slash);
    request.upstreamPath = slash == std::string::npos ? "/" : rest.substr(slash);
    if (request.upstreamPath.front() == '?') {
        request.upstreamPath.insert(0, 1, '/');
    }
    if (request.service.empty()) {
        return makeError(ResultCode::RequestMalformed, "the path must name a service: /v1/services/<service>/...");
    }
    return {};
}

Result<void> readClass(CallerRequest &request, const std::string &name, const Configuration &configuration)
{
    if (name.empty()) {
        return makeError(ResultCode::RequestUnknownClass, "the header X-Class is missing");
    }
    const auto it = configuration.classes.find(ClassId(name));
    if (it == configuration.classes.end()) {
        return makeError(ResultCode::RequestUnknownClass, "no class named " + name);
    }
    request.requestClass = it->second;
    const bool isService = !request.service.empty();
    if (isService != (request.requestClass.kind == RequestKind::Service)) {
        return makeError(ResultCode::RequestMalformed,
            "class " + name + " is for " + (isService ? "models, not services" : "services, not models"));
    }
    return {};
}

Result<void> readOrganisation(
    CallerRequest &request, const Poco::Net::HTTPRequest &head, const Configuration &configuration)
{
    const std::string name = head.get("X-Organisation", "");
    const auto it = configuration.organisations.find(OrganisationId(name));
    if (it == configuration.organisations.end()) {
        return makeError(ResultCode::RequestUnknownOrganisation,
            name.empty() ? "the header X-Organisation is missing" : "no organisation named " + name);
    }
    request.organisation = it->first;
    return checkBearerKey(it->second, head.get("Authorization", ""));
}

} // namespace

bool isValidRequestId(const RequestId &id)
{
    const std::string &text = id.value();
    const auto isAllowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= maxRequestIdLength && std::all_of(text.begin(), text.end(), isAllowed);
}

Result<CallerRequest> readHead(
    const Poco::Net::HTTPRequest &head, const Configuration &configuration, const RequestId &id, MonoTime now)
{
    CallerRequest request;
    request.id = id;
    request.arrivedAt = now;
    request.method = head.getMethod();
    request.contentType = head.getContentType();
    request.relayedBy = head.get("X-Relayed", "");
    request.authorization = head.get("Authorization", "");
    request.wantsStream = head.get("Accept", "").find("text/event-stream") != std::string::npos;
    request.revision = configuration.revision;
    if (configuration.revision.count() == 0) {
        return makeError(ResultCode::ConfigurationUnavailable, "this instance has not read its configuration yet");
    }
    if (head.has("Idempotency-Key")) {
        request.key = IdempotencyKey(head.get("Idempotency-Key"));
    }
    const auto maxOutput = numberField(head, "X-Max-Tokens");
    const auto prompt = numberField(head, "X-Prompt-Tokens");
    if (!maxOutput || !prompt) {
        return tl::unexpected(!maxOutput ? maxOutput.error() : prompt.error());
    }
    const auto timeLeft = numberField(head, "X-Deadline-Ms");
    if (!request.relayedBy.empty() && timeLeft && *timeLeft) {
        request.timeLeft = Milliseconds(std::min<std::uint64_t>(**timeLeft, maxTimeLeftMs));
    }
    request.maxOutput = Tokens(maxOutput->value_or(0));
    request.prompt = Tokens(prompt->value_or(0));
    return readPath(request, head.getURI())
        .and_then([&] {
            return readClass(request, head.get("X-Class", ""), configuration);
        })
        .and_then([&] {
            return readOrganisation(request, head, configuration);
        })
        .map([&] {
            return request;
        });
}

Result<void> addBody(
    CallerRequest &request, const Poco::Net::HTTPRequest &head, const Configuration &configuration, std::string body)
{
    if (request.requestClass.kind == RequestKind::Service) {
        if (!body.empty() || head.hasContentLength()) {
            request.body = std::make_shared<const std::string>(std::move(body));
        }
        return {};
    }
    if (request.method != "POST" || body.empty()) {
        return makeError(ResultCode::RequestMalformed, "a completion is a POST with a JSON body");
    }
    request.model = ModelId(head.get("X-Model", stringMember(body, "model").value_or("")));
    if (!configuration.models.contains(request.model)) {
        return makeError(ResultCode::RequestUnknownModel, "no model named " + request.model.value());
    }
    request.wantsStream = request.wantsStream || isMemberTrue(body, "stream");
    if (request.maxOutput == Tokens(0)) {
        request.maxOutput = Tokens(numberMember(body, "max_tokens").value_or(defaultMaxOutput.count()));
    }
    if (request.prompt == Tokens(0)) {
        request.prompt = Tokens(std::max<std::uint64_t>(body.size() / bytesPerToken, 1));
    }
    request.body = std::make_shared<const std::string>(std::move(body));
    return {};
}

} // namespace magnolia::entry

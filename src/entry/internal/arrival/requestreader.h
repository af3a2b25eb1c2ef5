// Reads a caller's request head and checks it against the configuration.
#pragma once

#include "blackboard/types/configuration.h"
#include "entry/types/callerrequest.h"
#include "framework/global/error.h"

namespace Poco::Net
{
class HTTPRequest;
}

namespace magnolia::entry
{

/** Prompt length is estimated as body bytes over this where the caller does not give it. */
constexpr std::uint64_t bytesPerToken = 4;
/** Bound of generated tokens where the caller names none. */
constexpr Tokens defaultMaxOutput{256};

/** Whether a caller's request id can be taken over: 1 to 96 characters of `[A-Za-z0-9._-]`. */
[[nodiscard]] bool isValidRequestId(const RequestId &id);

/**
 * Reads all but the body.
 * Errors: RequestUnknownPath, RequestUnknownClass, RequestUnknownOrganisation, RequestUnauthorised, RequestMalformed,
 * ConfigurationUnavailable.
 */
[[nodiscard]] Result<CallerRequest> readHead(
    const Poco::Net::HTTPRequest &head, const Configuration &configuration, const RequestId &id, MonoTime now);

/**
 * Adds the body and what only it tells: the model, whether the answer is to be streamed, the bound of generated
 * tokens. Errors: RequestMalformed, RequestUnknownModel.
 */
[[nodiscard]] Result<void> addBody(
    CallerRequest &request, const Poco::Net::HTTPRequest &head, const Configuration &configuration, std::string body);

} // namespace magnolia::entry

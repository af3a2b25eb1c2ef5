// Parses a caller's request and checks it against the configuration.
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

/** Used to estimate the prompt length from the body size if the caller does not send it. */
constexpr std::uint64_t bytesPerToken = 4;
/** Limit of generated tokens if the caller sends none. */
constexpr Tokens defaultMaxOutput{256};

/** Returns whether a caller's request id is accepted: 1 to 96 characters of `[A-Za-z0-9._-]`. */
[[nodiscard]] bool isValidRequestId(const RequestId &id);

/**
 * Parses everything except the body.
 * Errors: RequestUnknownPath, RequestUnknownClass, RequestUnknownOrganisation, RequestUnauthorised, RequestMalformed,
 * ConfigurationUnavailable.
 */
[[nodiscard]] Result<CallerRequest> readHead(
    const Poco::Net::HTTPRequest &head, const Configuration &configuration, const RequestId &id, MonoTime now);

/**
 * Adds the body and the values that only the body has: the model, whether to stream the answer, and the limit of
 * generated tokens. Errors: RequestMalformed, RequestUnknownModel.
 */
[[nodiscard]] Result<void> addBody(
    CallerRequest &request, const Poco::Net::HTTPRequest &head, const Configuration &configuration, std::string body);

} // namespace magnolia::entry

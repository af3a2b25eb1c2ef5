// HTTP GET requests with limits on time and size.
#pragma once

#include "framework/global/error.h"
#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

#include <optional>
#include <string>
#include <vector>

namespace magnolia::ports
{

struct HttpAnswer
{
    int status = 0;
    std::string body;
    std::optional<Milliseconds> retryAfter;
};

struct HttpGetLimits
{
    Milliseconds connectTimeout{0};
    /** Time limit for the exchange after the connection is established. */
    Milliseconds exchangeTimeout{0};
    Bytes maxBodySize;
};

/**
 * Uses a new connection for each request, as an open one may have become unresponsive. Errors: PlatformUnavailable, or
 * PlatformMalformed if the answer is not HTTP or its body exceeds the limit. Does not throw.
 */
[[nodiscard]] Result<HttpAnswer> httpGet(const std::string &address, const std::string &path, HttpGetLimits limits);

/**
 * Tries the addresses in turn, beginning with index `firstReplica`, until one answers. Returns the last error if none
 * does. A server error (5xx) counts as no answer.
 */
[[nodiscard]] Result<HttpAnswer> httpGetAny(
    const std::vector<std::string> &addresses, std::size_t firstReplica, const std::string &path, HttpGetLimits limits);

} // namespace magnolia::ports

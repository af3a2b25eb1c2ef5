// One bounded GET over a connection of its own.
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

struct GetLimits
{
    Milliseconds connect{0};
    /** The whole exchange after the connection. */
    Milliseconds total{0};
    Bytes body;
};

/**
 * A fresh connection each time, since an open one may have gone silent. Errors: PlatformUnavailable,
 * PlatformMalformed (no HTTP, or a body above the limit). Throws nothing.
 */
[[nodiscard]] Result<HttpAnswer> httpGet(const std::string &address, const std::string &path, GetLimits limits);

/**
 * Tries the addresses in turn from `first` on until one answers. Gives the last error where none does.
 * A server error (5xx) counts as no answer.
 */
[[nodiscard]] Result<HttpAnswer> httpGetAny(
    const std::vector<std::string> &addresses, std::size_t first, const std::string &path, GetLimits limits);

} // namespace magnolia::ports

// Addresses of the entries that a caller should use.
#pragma once

#include "framework/global/types/time.h"

#include <string>
#include <vector>

namespace magnolia::locating
{

struct LocateResponse
{
    /** Addresses `ip:port` in order of preference; if one does not answer, the caller tries the next. */
    std::vector<std::string> addresses;
    /** Time for which the caller may cache the response. */
    Milliseconds timeToLive{0};
};

} // namespace magnolia::locating

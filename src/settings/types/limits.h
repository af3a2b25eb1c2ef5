// Limits of one instance.
#pragma once

#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

#include <cstdint>

namespace magnolia::settings
{

struct Limits
{
    /** Maximum number of open requests from callers. */
    std::uint32_t maxOpenRequests = 4000;
    Bytes maxBodySize{16 * 1024 * 1024};
    /** Total size of all header fields of a request. */
    Bytes maxHeaderSize{16 * 1024};
    std::uint32_t maxHeaderFields = 100;
    /** Time limit for receiving a complete request from a caller. */
    Milliseconds requestReadTimeout{30'000};
    /** Time without received bytes after which an upstream's connection counts as silent. */
    Milliseconds upstreamSilenceTimeout{5'000};
    /** How long a caller may cache the answer of /v1/locate. */
    Milliseconds locateTtl{5'000};
    /** Maximum time that a graceful stop waits for requests in progress. */
    Milliseconds maxDrainTime{600'000};
};

} // namespace magnolia::settings

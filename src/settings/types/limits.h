// Limits of one instance.
#pragma once

#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

#include <cstdint>

namespace magnolia::settings
{

struct Limits
{
    /** Requests from callers that may be open at a time. */
    std::uint32_t maxOpenRequests = 4000;
    Bytes maxBodySize{16 * 1024 * 1024};
    /** All header fields of a request together. */
    Bytes maxHeaderSize{16 * 1024};
    std::uint32_t maxHeaderFields = 100;
    /** Time for a caller to send a whole request. */
    Milliseconds requestReadTimeout{30'000};
    /** Time without a byte after which an upstream's connection counts as silent. */
    Milliseconds upstreamSilenceTimeout{5'000};
    /** Time for which a caller may keep the answer of /v1/locate. */
    Milliseconds locateTtl{5'000};
    /** Longest time that a graceful stop waits for requests under way. */
    Milliseconds maxDrainTime{600'000};
};

} // namespace magnolia::settings

// An observation by an instance that an upstream is leaving or back.
#pragma once

#include <cstdint>

namespace magnolia::membership
{

struct UpstreamReport
{
    bool isLeaving = true;
    /** Wall clock of the observing instance, in milliseconds since the epoch. */
    std::int64_t seenAtMs = 0;

    friend bool operator==(const UpstreamReport &, const UpstreamReport &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(isLeaving, seenAtMs);
    }
};

} // namespace magnolia::membership

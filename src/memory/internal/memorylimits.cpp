// Implements the limits.
#include "memory/memorylimits.h"

#include <algorithm>

namespace magnolia::memory
{

namespace
{

/** The other half of the process is code, tables, buffers of upstream connections and copies of bodies being sent. */
constexpr std::uint64_t ceilingDivisor = 2;
/** With 2,000 streams that each read 16 KiB more after the shortage was found, 32 MB are used beyond it. */
constexpr std::uint64_t shortageDivisor = 2;

} // namespace

MemoryLimits memoryLimits(Bytes maxMemory)
{
    const Bytes ceiling{maxMemory.count() / ceilingDivisor};
    return {ceiling, Bytes{ceiling.count() / shortageDivisor}};
}

std::size_t streamLimit(const MemoryLimits &limits, Bytes held, std::size_t maxStreams)
{
    if (!limits.isLimited() || held < limits.shortage) {
        return maxStreamBytes;
    }
    // The part of a stream counts all that may be open: streams that come later find the earlier ones' bytes queued.
    const std::size_t part = (limits.ceiling - limits.shortage).count() / std::max<std::size_t>(1, maxStreams);
    return std::min(part - std::min(part, minStreamBytes), maxStreamBytes);
}

} // namespace magnolia::memory

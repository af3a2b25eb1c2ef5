// Implements the time for which placements of silent instances are kept.
#include "placement/silentowner.h"

#include <algorithm>
#include <cmath>

namespace magnolia::placement
{

MonoTime keepUntil(const Placement &placement, MonoTime lastHeardAt, double decodeMs)
{
    MonoTime::duration remaining{0};
    if (!placement.isDecoding) {
        remaining = std::max(MonoTime::duration(0), placement.placedAt + placement.firstEventLimit - lastHeardAt);
    }
    const double maxDecodeMs = static_cast<double>(maxSilentKeepTime.count());
    const double boundedMs = std::isfinite(decodeMs) ? std::clamp(decodeMs, 0.0, maxDecodeMs) : maxDecodeMs;
    remaining += Milliseconds(static_cast<std::int64_t>(std::ceil(boundedMs)));
    return lastHeardAt + std::min<MonoTime::duration>(remaining, maxSilentKeepTime);
}

} // namespace magnolia::placement

// Counts the bytes that one instance holds for callers, and how fast they become free. It does no I/O.
#pragma once

#include "memory/memorylimits.h"

#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

#include <array>
#include <cstddef>

namespace magnolia::memory
{

enum class MemoryKind {
    /** Output that is queued for callers, and plain answers that are being received for them. */
    Output,
    /** Request bodies, from the permission to read them to the end of the request. */
    Body,
};

class MemoryAccount
{
public:
    /** `maxStreams` is the number of streams that may be open at the same time. */
    explicit MemoryAccount(MemoryLimits limits, std::size_t maxStreams = 2400);

    [[nodiscard]] const MemoryLimits &limits() const;
    void add(MemoryKind kind, Bytes bytes);
    /** Removes bytes that were added before. A `now` of zero stands for the time of the last removal. */
    void remove(MemoryKind kind, Bytes bytes, MonoTime now);
    [[nodiscard]] Bytes held(MemoryKind kind) const;
    [[nodiscard]] Bytes held() const;
    [[nodiscard]] bool isShort() const;
    /** Returns the queued bytes beyond which reading for the caller of one stream pauses. */
    [[nodiscard]] std::size_t streamLimit() const;
    /** Returns the bytes per second that have become free lately, a mean over about a second. */
    [[nodiscard]] double releaseRate(MonoTime now) const;

private:
    MemoryLimits m_limits;
    std::array<Bytes, 2> m_held;
    std::size_t m_maxStreams;
    // Bytes that became free, decaying with a time constant of one second up to `m_releasedAt`.
    double m_released = 0;
    MonoTime m_releasedAt{};
};

} // namespace magnolia::memory

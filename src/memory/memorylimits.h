// Limits of the memory that an instance holds for callers, from the memory that its process may use.
//
// Answers the load of many callers that read slowly or send large bodies: at 256 KiB for each of 1,450 streams and
// 4 MiB for each body, a process on a machine of 160 MB would be killed.
#pragma once

#include "framework/global/types/bytes.h"

#include <cstddef>

namespace magnolia::memory
{

struct MemoryLimits
{
    /** Memory for callers that is never exceeded; 0 if the process has no limit. */
    Bytes ceiling;
    /** Memory for callers from which on it counts as short. The rest up to the ceiling is for reads in progress. */
    Bytes shortage;

    [[nodiscard]] bool isLimited() const
    {
        return ceiling.count() > 0;
    }
};

/** Bytes that may be queued for the caller of a stream while memory is not short. */
inline constexpr std::size_t maxStreamBytes = 256 * 1024;
/** Bytes that are read of a response at a time, so that each stream may have as many queued. */
inline constexpr std::size_t minStreamBytes = 16 * 1024;

/** Returns the limits of a process that may use `maxMemory`; no limits if that is 0. */
[[nodiscard]] MemoryLimits memoryLimits(Bytes maxMemory);
/**
 * Returns the queued bytes beyond which reading for the caller of one stream pauses while `held` bytes are held in all.
 * With this limit, `maxStreams` streams that each read once more stay below the ceiling.
 */
[[nodiscard]] std::size_t streamLimit(const MemoryLimits &limits, Bytes held, std::size_t maxStreams);

} // namespace magnolia::memory

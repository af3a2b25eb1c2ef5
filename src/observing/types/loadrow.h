// One upstream's load, quantised for messages between entries; a row takes 14 bytes.
#pragma once

#include <cstdint>

namespace magnolia::observing
{

struct LoadRow
{
    /** Low 32 bits of the stable hash of the upstream's id. */
    std::uint32_t upstream = 0;
    std::uint16_t running = 0;
    std::uint16_t waiting = 0;
    /** In units of 1,024 tokens, rounded up. */
    std::uint16_t queuedPrefill = 0;
    /** In units of 4,096 tokens, rounded down. */
    std::uint16_t freeMemory = 0;
    /** Time since the upstream measured the load, in units of 10 ms, rounded up. */
    std::uint16_t age = 0;

    friend bool operator==(const LoadRow &, const LoadRow &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(upstream, running, waiting, queuedPrefill, freeMemory, age);
    }
};

} // namespace magnolia::observing

// The datagram by which instances check each other: a ping, its ack or an announcement, with the version of the
// published state that the sender has and with what it knows of dead peers.
#pragma once

#include "fleet/types/peermessage.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::fleet
{

/** States that a run of an instance has not acknowledged its pings. */
struct Suspicion
{
    std::string instance;
    std::uint64_t incarnation = 0;
    /** Time since the last of these pings. An age is sent because the clocks of instances are not synchronised.
     */
    std::uint32_t ageMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation, ageMs);
    }
};

struct ProbeMessage
{
    /** Distinguishes this datagram from a PeerMessage, which has its format at the same position. */
    static constexpr std::uint8_t currentFormat = 103;

    std::uint8_t format = currentFormat;
    std::string instance;
    std::uint64_t incarnation = 0;
    /** Address to which a ping is acknowledged. */
    PeerAddress address;
    /** Set in acks and announcements, which are not acknowledged. */
    bool isAck = false;
    std::uint64_t configurationVersion = 0;
    published::StorePosition storePosition;
    /**
     * Time since a call of the sender showed that the store has nothing after `storePosition`; `unconfirmed` if none
     * did.
     */
    std::uint32_t storeAgeMs = unconfirmed;
    std::vector<Suspicion> suspicions;

    static constexpr std::uint32_t unconfirmed = UINT32_MAX;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(
            format, instance, incarnation, address, isAck, configurationVersion, storePosition, storeAgeMs, suspicions);
    }
};

} // namespace magnolia::fleet

// The one datagram that instances send each other: who they are, what they know, and what they have placed.
#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::fleet
{

/** A placement as told to peers; see placement::Placement. */
struct PlacementRecord
{
    std::uint64_t id = 0;
    std::uint64_t primary = 0;
    std::vector<std::uint64_t> helpers;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t gapTargetMs = 0;
    std::uint32_t targetMs = 0;
    /** Time since it was placed; clocks of instances are not compared. */
    std::uint32_t ageMs = 0;
    bool isLate = false;
    bool isDecoding = false;
    std::uint32_t reservedTokensPerHelper = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, primary, helpers, promptTokens, outputTokens, gapTargetMs, targetMs, ageMs, isLate, isDecoding,
            reservedTokensPerHelper);
    }
};

/** A placement that has ended, and what it showed of its upstream. */
struct PlacementEnd
{
    std::uint64_t id = 0;
    std::uint64_t upstream = 0;
    /** outliers::AttemptOutcome, or `noEvidence`. */
    std::uint8_t evidence = 0;

    static constexpr std::uint8_t noEvidence = 255;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, upstream, evidence);
    }
};

/** Where a peer is reached. */
struct PeerAddress
{
    std::string ip;
    std::uint16_t port = 0;

    // clang-tidy 14 takes the compiler's own comparison with zero for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const PeerAddress &, const PeerAddress &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(ip, port);
    }
};

struct PeerMessage
{
    /** Messages of another format are ignored. */
    static constexpr std::uint8_t currentFormat = 5;

    std::uint8_t format = currentFormat;
    std::string instance;
    std::string dataCentre;
    /** Unix milliseconds of the sender's start; a lower one of the same instance is of an earlier start. */
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    PeerAddress address;
    /** Where callers connect; this and the two fields before are left out of small messages to peers that know them. */
    std::string callerAddress;
    bool isReady = false;
    bool isLeaving = false;
    std::uint64_t configurationVersion = 0;
    std::uint64_t storeRevision = 0;
    /** Whether `placements` are all that the sender has, and `peers` all that it knows. */
    bool isFullState = false;
    std::vector<PeerAddress> peers;
    std::vector<PlacementRecord> placements;
    std::vector<std::uint64_t> decoding;
    std::vector<PlacementEnd> ends;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, instance, dataCentre, incarnation, sequence, address, callerAddress, isReady, isLeaving,
            configurationVersion, storeRevision, isFullState, peers, placements, decoding, ends);
    }
};

} // namespace magnolia::fleet

// The datagram that instances exchange: their identity, their state and their placements.
#pragma once

#include "published/types/storeposition.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::fleet
{

/** A placement as it is sent to peers; see placement::Placement. */
struct PlacementRecord
{
    std::uint64_t id = 0;
    std::uint64_t primary = 0;
    std::vector<std::uint64_t> helpers;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t gapTargetMs = 0;
    /** Time from the placement by which the caller needs the first event; the latency target in earlier builds. */
    std::uint32_t firstEventLimitMs = 0;
    /** Time since the request was placed. An age is sent because the clocks of instances are not synchronised. */
    std::uint32_t ageMs = 0;
    /** Read by earlier builds only, which expect the request to wait behind others if it is set. */
    bool isLate = false;
    bool isDecoding = false;
    std::uint32_t reservedTokensPerHelper = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, primary, helpers, promptTokens, outputTokens, gapTargetMs, firstEventLimitMs, ageMs, isLate,
            isDecoding, reservedTokensPerHelper);
    }
};

/** The end of a placement, with the evidence that it gave about its upstream. */
struct PlacementEnd
{
    std::uint64_t id = 0;
    std::uint64_t upstream = 0;
    /** A value of outliers::AttemptOutcome, or `noOutcome`. */
    std::uint8_t outcome = 0;

    static constexpr std::uint8_t noOutcome = 255;
    /** Id of an end that only carries evidence. */
    static constexpr std::uint64_t noPlacement = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, upstream, outcome);
    }
};

/** A run of an upstream that takes no new requests, as it has stated itself. */
struct LeavingUpstream
{
    std::uint64_t upstream = 0;
    /** Start time of the run in Unix milliseconds. */
    std::uint64_t startedAt = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(upstream, startedAt);
    }
};

/** The requests per second that a run of an upstream takes of all instances together, as it has stated itself. */
struct UpstreamLimit
{
    std::uint64_t upstream = 0;
    /** Start time of the run in Unix milliseconds. */
    std::uint64_t startedAt = 0;
    /** False if the upstream no longer names a limit. */
    bool isLimited = false;
    double requestsPerSecond = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(upstream, startedAt, isLimited, requestsPerSecond);
    }
};

/** A crash of an upstream, as seen from one request that was in progress there; see quarantine::CrashReport. */
struct CrashRecord
{
    std::uint64_t id = 0;
    std::uint64_t upstream = 0;
    /** Start time of the run in Unix milliseconds. */
    std::uint64_t startedAt = 0;
    std::uint32_t sentAgeMs = 0;
    std::uint32_t endedAgeMs = 0;
    std::vector<std::uint64_t> suspects;
    std::vector<std::uint64_t> context;
    std::vector<std::uint64_t> established;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, upstream, startedAt, sentAgeMs, endedAgeMs, suspects, context, established);
    }
};

/** Requests that the sender refuses because they crash upstreams; see quarantine::QuarantineEntry. */
struct QuarantineRecord
{
    std::vector<std::uint64_t> suspects;
    std::vector<std::uint64_t> context;
    std::uint32_t crashCount = 0;
    std::uint32_t firstCrashAgeMs = 0;
    std::uint32_t lastCrashAgeMs = 0;
    std::uint32_t durationMs = 0;
    /** Time until the end; 0 after it. */
    std::uint32_t remainingMs = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(suspects, context, crashCount, firstCrashAgeMs, lastCrashAgeMs, durationMs, remainingMs);
    }
};

/** Network address on which a peer receives datagrams and serves snapshots. */
struct PeerAddress
{
    std::string ip;
    std::uint16_t port = 0;

    // clang-tidy 14 mistakes the zero in the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const PeerAddress &, const PeerAddress &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(ip, port);
    }
};

/**
 * A full-state message has a caller address. An incremental message leaves out data centre and addresses, which the
 * receiver already knows.
 */
struct PeerMessage
{
    /** Receivers ignore messages of any other format. */
    static constexpr std::uint8_t currentFormat = 11;

    std::uint8_t format = currentFormat;
    std::string instance;
    std::string dataCentre;
    /** Start time of the sender in Unix milliseconds. A lower value of the same instance belongs to an earlier run. */
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    PeerAddress address;
    /** Address to which callers connect; empty in an incremental message. */
    std::string callerAddress;
    /** Address to which peers relay requests; empty in an incremental message. */
    std::string relayAddress;
    bool isReady = false;
    bool isLeaving = false;
    /** Whether the sender can reach no upstream. */
    bool isPartitioned = false;
    std::uint64_t configurationVersion = 0;
    published::StorePosition storePosition;
    /** Whether `placements` replaces all placements known of the sender. */
    bool isFullState = false;
    std::vector<PeerAddress> peers;
    std::vector<PlacementRecord> placements;
    /** Placements whose first event has arrived since the last message. */
    std::vector<std::uint64_t> decoding;
    std::vector<PlacementEnd> ends;
    std::vector<LeavingUpstream> leaving;
    std::vector<UpstreamLimit> limits;
    std::vector<CrashRecord> crashes;
    /** Suspects of crashes that have succeeded at the sender within the last `batchDelay`. */
    std::vector<std::uint64_t> succeeded;
    /** Sent with peer addresses only, which spreads the cost over several full-state messages. */
    std::vector<QuarantineRecord> quarantine;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, instance, dataCentre, incarnation, sequence, address, callerAddress, relayAddress, isReady,
            isLeaving, isPartitioned, configurationVersion, storePosition, isFullState, peers, placements, decoding,
            ends, leaving, limits, crashes, succeeded, quarantine);
    }
};

} // namespace magnolia::fleet

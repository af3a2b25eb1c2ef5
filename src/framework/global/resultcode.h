// Numbered result codes of the whole system, grouped by module in ranges of a thousand.
// docs/RESULT-CODES.md lists them; a test compares the two.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace magnolia
{

enum class ResultCode : std::uint16_t {
    Ok = 0,

    // 1000: the caller's request
    RequestMalformed = 1001,
    RequestUnknownClass = 1002,
    RequestUnknownOrganisation = 1003,
    RequestUnauthorised = 1004,
    RequestBodyTooLarge = 1005,
    RequestHeadersTooLarge = 1006,
    RequestTooSlow = 1007,
    RequestUnknownModel = 1008,
    RequestUnknownPath = 1009,
    RequestCancelled = 1010,

    // 2000: admission and limits
    AdmissionTargetUnreachable = 2001,
    AdmissionOverloaded = 2002,
    AdmissionOrganisationShare = 2003,
    AdmissionRetryBudget = 2004,
    AdmissionStopping = 2005,

    // 3000: routing, upstreams and streams
    UpstreamNone = 3001,
    UpstreamConnectFailed = 3002,
    UpstreamSilent = 3003,
    UpstreamBroken = 3004,
    UpstreamRefused = 3005,
    UpstreamWrongAnswer = 3006,
    UpstreamTruncated = 3007,
    DeadlineExceeded = 3008,
    FirstTokenMissed = 3009,

    // 4000: idempotency
    KeyMissing = 4001,
    KeyMalformed = 4002,
    KeyExpired = 4003,
    KeyFromFuture = 4004,
    KeyInFlight = 4005,
    KeyAlreadyRan = 4006,
    KeyOwnerUnreachable = 4007,
    KeyOwnershipTooNew = 4008,
    KeyOwnershipUnconfirmed = 4009,
    KeyOutcomeUnknown = 4010,
    KeyTableFull = 4011,
    KeyReusedForOtherRequest = 4012,
    KeyClosed = 4013,

    // 5000: settings and published configuration
    SettingsUnreadable = 5001,
    SettingsInvalid = 5002,
    ConfigurationInvalid = 5003,
    ConfigurationUnavailable = 5004,
    ConfigurationStale = 5005,

    // 6000: membership and messages between instances
    PeerMessageMalformed = 6001,
    PeerMessageForged = 6002,
    PeerMessageReplayed = 6003,
    PeerUnreachable = 6004,
    PeerUnknownKey = 6005,

    // 7000: orders to engines
    OrderFenced = 7001,
    OrderViewInDoubt = 7002,
    OrderRateLimited = 7003,
    OrderFailed = 7004,

    // 8000: engine memory
    MemoryExhausted = 8001,
    MemoryReservationExpired = 8002,
    MemoryGroupUnavailable = 8003,

    // 9000: the platform and the instance itself
    PlatformUnavailable = 9001,
    PlatformMalformed = 9002,
    Internal = 9003,
    ListenFailed = 9004,
};

/** One row of the table of result codes. */
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    /** HTTP status of a response with this code. */
    int httpStatus;
    /** Human-readable meaning, and what to do next. */
    std::string_view text;
};

/** Returns all rows in ascending order of code. */
[[nodiscard]] std::span<const ResultCodeInfo> resultCodeTable();

/** Returns the row of `code`, or the row of `Internal` if the table has none. */
[[nodiscard]] const ResultCodeInfo &resultCodeInfo(ResultCode code);

} // namespace magnolia

// The times and bounds that at-most-once dispatch rests on; docs/design/idempotency.md proves what they give.
#pragma once

#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

#include <cstddef>

namespace magnolia::idempotency
{

/** Each mechanism can be switched off, so that the tests can show that its absence is noticed. Always on elsewhere. */
struct Safeguards
{
    /** A new owner refuses keys that an earlier owner may have dispatched. */
    bool enforcesHoldOff = true;
    /** An owner acts only on a fresh list, and on keys not younger than that list allows. */
    bool fencesStaleOwners = true;
    /** All conditions are checked again just before the bytes leave. */
    bool rechecksBeforeWrite = true;
    /** Only a whole handover ends the hold-off. */
    bool requiresCompleteHandover = true;
    /** A handover counts only where it was taken after this process began. */
    bool requiresHandoverAfterStart = true;
    /** Revisions of the list that were not seen interrupt the ownership of a key. */
    bool interruptsAtUnseenRevisions = true;
};

struct KeyParameters
{
    /** A key is refused, and may be forgotten, when its creation time is this long ago. */
    Milliseconds retention = std::chrono::minutes(10);
    /** Bound on the difference of any two clocks among entries and the platform. */
    Milliseconds maxClockSkew{1000};
    /** How old a published list may be for its reader to act as an owner. */
    Milliseconds listValidity{3000};
    /** How much older than its stamp the content of a list may be; replicas lag, and their clocks differ. */
    Milliseconds maxContentLag{1000};
    /** Time of unseen list revisions, in sum, over which the ownership of a key still counts as continuous. */
    Milliseconds maxUnseenTime{1500};

    std::size_t maxKeys = 60'000;
    std::size_t maxKeysPerOrganisation = 20'000;
    /** Closed keys are counted apart, so that refusals in an overload leave room for work. */
    std::size_t maxClosedKeys = 60'000;
    Bytes maxAnswerSize{64 * 1024};
    Bytes maxTotalAnswerSize{16 * 1024 * 1024};
    /** Wait suggested to a caller whose key is in flight or whose owner cannot act yet. */
    Milliseconds retryAfter{500};

    std::size_t maxKeysInHandoverPart = 64;

    Safeguards safeguards;

    /**
     * A key created later than this after the start of an ownership cannot have been dispatched by an earlier owner:
     * that one took no key younger than its list's stamp + listValidity + skew.
     */
    [[nodiscard]] constexpr Milliseconds holdOff() const
    {
        return listValidity + maxContentLag + maxClockSkew + 2 * maxUnseenTime;
    }
};

} // namespace magnolia::idempotency

// Times and limits of at-most-once dispatch; docs/design/idempotency.md proves the guarantees that they give.
#pragma once

#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

#include <cstddef>

namespace magnolia::idempotency
{

/** Switches for the safety mechanisms. Only tests turn one off, to show that they detect its absence. */
struct Safeguards
{
    /** A new owner refuses the keys that an earlier owner may have dispatched. */
    bool enforcesHoldOff = true;
    /** An owner acts only on a fresh list, and refuses keys created too long after that list was generated. */
    bool fencesStaleOwners = true;
    /** All conditions are checked again immediately before the request is written. */
    bool rechecksBeforeWrite = true;
    /** Only a complete handover ends the hold-off. */
    bool requiresCompleteHandover = true;
    /** A handover counts only if its sender copied the keys after this process started. */
    bool requiresHandoverAfterStart = true;
    /** List revisions that this instance did not see interrupt its ownership of a key. */
    bool interruptsAtUnseenRevisions = true;
};

struct KeyParameters
{
    /** Age from which a key is refused and may be removed from the table. */
    Milliseconds retention = std::chrono::minutes(10);
    /** Upper bound for the difference between any two clocks of the instances and the platform. */
    Milliseconds maxClockSkew{1000};
    /** Maximum age of the published list by which an instance may act as an owner. */
    Milliseconds listValidity{3000};
    /** How much older than `generatedAt` the content of a list may be: replicas lag, and their clocks differ. */
    Milliseconds maxContentLag{1000};
    /** Total time of unseen list revisions up to which the ownership of a key still counts as continuous. */
    Milliseconds maxUnseenTime{1500};

    std::size_t maxKeys = 60'000;
    std::size_t maxKeysPerOrganisation = 20'000;
    /** Closed keys have a limit of their own, so that refusals during an overload do not use up `maxKeys`. */
    std::size_t maxClosedKeys = 60'000;
    Bytes maxAnswerSize{64 * 1024};
    Bytes maxTotalAnswerSize{16 * 1024 * 1024};
    /** Retry delay suggested to a caller whose key is in flight or has an owner that cannot act yet. */
    Milliseconds retryAfter{500};

    std::size_t maxKeysInHandoverPart = 64;

    Safeguards safeguards;

    /**
     * Time after the start of an ownership from which no created key can have been dispatched by an earlier owner:
     * that owner accepted no key created after its list's `generatedAt` + listValidity + maxClockSkew.
     */
    [[nodiscard]] constexpr Milliseconds holdOff() const
    {
        return listValidity + maxContentLag + maxClockSkew + 2 * maxUnseenTime;
    }
};

} // namespace magnolia::idempotency

// Selection of entry instances for a caller, based only on the published list and the membership view.
#pragma once

#include "blackboard/types/membershipview.h"
#include "blackboard/types/publishedlist.h"
#include "framework/global/random.h"
#include "locating/types/locateresponse.h"

#include <string>

namespace magnolia::locating
{

/** Minimum shard size: tolerates the loss of two entries, yet a burst of one organisation hits only a few. */
constexpr std::size_t minShardSize = 3;
/** A shard has at least 1/shardDivisor of the entries, so that a large organisation is spread over several of them. */
constexpr std::size_t shardDivisor = 3;

struct LocateContext
{
    const PublishedList &list;
    const MembershipView &membership;
    InstanceId self;
    /** Address of this instance for callers, used if the list does not contain this instance yet. */
    std::string ownAddress;
    bool isSelfLeaving = false;
    Milliseconds timeToLive{0};
};

/**
 * Returns all entries that are neither leaving nor dead, starting with the shard of `organisation`. The shard holds the
 * highest-ranked entries by rendezvous hashing, shuffled to share the load; the others follow by rank as fallbacks.
 * If no entry is left, returns the address of this instance.
 */
[[nodiscard]] LocateResponse locate(const LocateContext &context, const OrganisationId &organisation, Random &random);

} // namespace magnolia::locating

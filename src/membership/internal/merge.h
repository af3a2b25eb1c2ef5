// Merge functions for replicated state. They are commutative, associative and idempotent, so members that received the
// same records, in any order and any number of times, have the same state.
#pragma once

#include "framework/global/types/time.h"
#include "membership/types/memberrecord.h"
#include "membership/types/sharedvalue.h"
#include "membership/types/upstreamreport.h"

namespace magnolia::membership
{

/** Returns whether `known` changed, as do the other merge functions. */
bool mergeRecord(MemberRecord &known, const MemberRecord &received);
bool mergeShared(SharedValue &known, const SharedValue &received);
/** `returnMargin`: by how much a "back" report must be newer than a "leaving" report to replace it. */
bool mergeReport(UpstreamReport &known, const UpstreamReport &received, Milliseconds returnMargin);

} // namespace magnolia::membership

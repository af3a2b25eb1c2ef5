// The local state of one other member.
#pragma once

#include "framework/global/types/time.h"
#include "membership/types/memberrecord.h"

#include <optional>

namespace magnolia::membership
{

struct Member
{
    MemberRecord record;
    bool isListed = false;
    /** Set while the published list marks the member as leaving. Unlike the record's flag it is not sent to peers. */
    bool isListedLeaving = false;
    /** When the member entered the state that the membership view shows. */
    MonoTime stateSince{};
    /** Only valid while the member is suspected. */
    MonoTime suspicionDeadline{};
    /** Whether the suspicion comes from a failed probe of this instance. */
    bool isLocalSuspicion = false;
    /** Whether it is decided if this instance reprobes the suspected member; `reprobeAt` is unset if it does not. */
    bool hasReprobeDecision = false;
    std::optional<MonoTime> reprobeAt;
};

} // namespace magnolia::membership

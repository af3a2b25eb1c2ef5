// One other member as this instance keeps it.
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
    /** The published list says so; unlike the record's flag it is not passed on and follows the list. */
    bool isListedLeaving = false;
    /** When the state that the view shows was entered. */
    MonoTime stateSince{};
    /** Meaningful while suspected. */
    MonoTime suspicionDeadline{};
    /** Whether this instance itself found the member silent. */
    bool isLocalSuspicion = false;
    /** While suspected: whether it was decided if this instance probes again, and when it does. */
    bool hasReprobeDecision = false;
    std::optional<MonoTime> reprobeAt;
};

} // namespace magnolia::membership

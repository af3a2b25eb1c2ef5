// What changed by a step or a tick; the controller logs it and tells whoever asked.
#pragma once

#include "blackboard/types/membershipview.h"
#include "framework/global/types/ids.h"

#include <string>
#include <string_view>

namespace magnolia::membership
{

enum class EventKind {
    MemberChanged,
    MemberRemoved,
    SharedValueChanged,
    UpstreamReportChanged,
    /** This instance learned that it is suspected or held for dead, and refuted. */
    SelfRefuted,
    /** A higher incarnation of this instance is known: its clock was set back, or two instances share the id. */
    IncarnationRaised,
    /** Ticks were too far apart: this process was paused. */
    SelfPaused,
};

struct MembershipEvent
{
    EventKind kind = EventKind::MemberChanged;
    /** Id of the member, key of the shared value or id of the upstream. */
    std::string subject;
    /** Of a member. */
    PeerState previousState = PeerState::Dead;
    PeerState newState = PeerState::Dead;
    Incarnation incarnation;
    /** Why, as a word for the log. */
    std::string_view reason;
};

} // namespace magnolia::membership

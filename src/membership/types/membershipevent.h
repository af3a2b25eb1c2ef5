// A change made by a step or a tick; the controller logs it and notifies the shared value handler.
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
    /** This instance learned that it is suspected or declared dead, and refuted it. */
    SelfRefuted,
    /** A peer knows a higher incarnation of this instance: its clock was set back, or two instances share the id. */
    IncarnationRaised,
    /** The time between two ticks was above the pause threshold: this process was paused. */
    SelfPaused,
};

struct MembershipEvent
{
    EventKind kind = EventKind::MemberChanged;
    /** Id of the member, key of the shared value, or id of the upstream. */
    std::string subject;
    /** Only set for events about a member. */
    PeerState previousState = PeerState::Dead;
    PeerState newState = PeerState::Dead;
    Incarnation incarnation;
    /** Cause of the change, for the log. */
    std::string_view reason;
};

} // namespace magnolia::membership

// The blackboard sections that admission and routing read for one request.
#pragma once

#include "blackboard/types/loadtable.h"
#include "blackboard/types/membershipview.h"
#include "blackboard/types/publishedlist.h"
#include "blackboard/types/upstreamhealth.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

namespace magnolia::admission
{

struct AdmissionContext
{
    // Invariant: no pointer is null. The caller keeps the sections alive during the call.
    const PublishedList *list = nullptr;
    const LoadTable *load = nullptr;
    const UpstreamHealthTable *health = nullptr;
    const MembershipView *membership = nullptr;
    DataCentreId ownDataCentre;
    WallTime wallNow{};
};

} // namespace magnolia::admission

// Shared state: facts written by adapters and decisions written by controllers.
#pragma once

#include "blackboard/section.h"
#include "blackboard/types/configuration.h"
#include "blackboard/types/loadtable.h"
#include "blackboard/types/membershipview.h"
#include "blackboard/types/publishedlist.h"
#include "blackboard/types/upstreamhealth.h"

namespace magnolia
{

struct Blackboard
{
    /** Written by the reader of the platform's list. */
    Section<PublishedList> publishedList;
    /** Written by the configuration controller. Invariant: the revision never decreases. */
    Section<Configuration> configuration;
    /** Written by the membership controller. */
    Section<MembershipView> membership;
    /** Written by the load observer. */
    Section<LoadTable> load;
    /** Written by the health controller from outcomes, the published list, peers and upstream responses. */
    Section<UpstreamHealthTable> health;
};

} // namespace magnolia

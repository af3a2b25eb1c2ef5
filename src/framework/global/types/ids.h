// Identifiers, one type for each kind of entity.
#pragma once

#include "framework/global/types/quantity.h"
#include "framework/global/types/stringid.h"

namespace magnolia
{

/** An entry instance of the system. */
using InstanceId = StringId<struct InstanceTag>;
/** A model engine or plain service that the system routes to. */
using UpstreamId = StringId<struct UpstreamTag>;
using DataCentreId = StringId<struct DataCentreTag>;
/** A group of data centres. */
using RegionId = StringId<struct RegionTag>;
using OrganisationId = StringId<struct OrganisationTag>;
/** A request class with its targets. */
using ClassId = StringId<struct ClassTag>;
using ModelId = StringId<struct ModelTag>;
/** A request; unique across all entry instances. */
using RequestId = StringId<struct RequestTag>;
/** Identifies a non-idempotent request across the caller's retries. */
using IdempotencyKey = StringId<struct IdempotencyTag>;

/** Revision of the published configuration; never decreases. */
using Revision = Quantity<struct RevisionTag>;
/** Distinguishes the starts of an instance; never decreases for one instance. */
using Incarnation = Quantity<struct IncarnationTag>;
/** Fencing number of an order to an engine; never decreases for one engine. */
using FencingNumber = Quantity<struct FencingTag>;

} // namespace magnolia

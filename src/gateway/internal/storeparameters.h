// Times for reading the store that follow from the settings of the deployment.
#pragma once

#include "published/publishedstate.h"
#include "published/storereader.h"

namespace magnolia::gateway
{

struct GatewaySettings;

/** Checks are frequent enough for the time in which a change has to be in force, and to notice expiring leases. */
[[nodiscard]] published::StoreReaderParameters storeReaderParameters(const GatewaySettings &settings);
/** Restored entries wait for longer than a lease lasts without heartbeats. */
[[nodiscard]] published::PublishedStateParameters publishedStateParameters(const GatewaySettings &settings);

} // namespace magnolia::gateway

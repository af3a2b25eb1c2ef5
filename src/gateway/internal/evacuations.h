// Data centres that the operator has evacuated: their upstreams get no new requests.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "published/publishedstate.h"

#include <cstddef>
#include <map>
#include <string_view>

namespace magnolia::gateway
{

struct GatewayContext;

/** Whether new requests must not be sent to the upstreams of a data centre. */
[[nodiscard]] bool isEvacuated(const GatewayContext &context, const DataCentreId &dataCentre);

/** Takes over the published evacuations and logs what has changed; `toldBy` is the source of the change. */
void updateEvacuations(GatewayContext &context,
    const std::map<DataCentreId, published::PublishedState::Evacuation> &published, std::string_view toldBy);

/**
 * Called when an evacuation has ended. The upstreams of the data centre have had no requests meanwhile and count as
 * cold from now on.
 */
void onEvacuationEnded(GatewayContext &context, const DataCentreId &dataCentre);

/** Returns the number of known requests, of this instance and of others, at the upstreams of a data centre. */
[[nodiscard]] std::size_t requestsInDataCentre(GatewayContext &context, const DataCentreId &dataCentre);

} // namespace magnolia::gateway

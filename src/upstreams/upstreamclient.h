// Creates the HTTP client for upstreams.
#pragma once

#include "upstreams/iupstreamclient.h"

#include <memory>

namespace magnolia::upstreams
{

/** Returns a client based on Poco::Net that can be used from any thread. */
[[nodiscard]] std::unique_ptr<IUpstreamClient> makeHttpUpstreamClient();

} // namespace magnolia::upstreams

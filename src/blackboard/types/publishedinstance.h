// An entry of the platform's list of live and leaving instances.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/tokens.h"

#include <string>
#include <vector>

namespace magnolia
{

enum class InstanceRole {
    Entry,
    Engine,
    Service,
};

struct PublishedInstance
{
    std::string id;
    InstanceRole role = InstanceRole::Entry;
    bool isLeaving = false;
    DataCentreId dataCentre;
    /** Address `ip:port` for requests from callers to an entry, or from entries to an upstream. */
    std::string address;
    /** Address `ip:port` of an entry's listener for peers (UDP and TCP); empty for upstreams. */
    std::string peerAddress;
    /** Models loaded by an engine, or names of the services provided by a plain upstream. */
    std::vector<std::string> serves;
    /** KV cache memory of an engine. */
    Tokens memory;
    /** Whether an engine refuses orders with an outdated fencing number. */
    bool checksFencing = false;
};

} // namespace magnolia

// Another entry instance that takes part in the configuration distribution.
#pragma once

#include "framework/global/types/ids.h"

namespace magnolia::configuration
{

struct PeerInfo
{
    InstanceId id;
    DataCentreId dataCentre;

    friend bool operator==(const PeerInfo &, const PeerInfo &) = default;
};

} // namespace magnolia::configuration

// An upstream report in a message.
#pragma once

#include "framework/global/types/ids.h"
#include "membership/types/upstreamreport.h"

namespace magnolia::membership
{

struct UpstreamUpdate
{
    UpstreamId id;
    UpstreamReport report;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, report);
    }
};

} // namespace magnolia::membership

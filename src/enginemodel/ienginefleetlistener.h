// What becomes of the requests at modelled engines.
#pragma once

#include "enginemodel/types/modeljob.h"

#include "framework/global/types/time.h"

namespace magnolia::enginemodel
{

class IEngineFleetListener
{
public:
    virtual ~IEngineFleetListener() = default;

    /** An event of the answer; the first one closes the pass in which the last part was read. */
    virtual void onEvent(JobId job, MonoTime at) = 0;
    virtual void onDone(JobId job, MonoTime at) = 0;
    /** Not run: the queue is full, or the memory could never hold it. */
    virtual void onRefused(JobId job, MonoTime at) = 0;
};

} // namespace magnolia::enginemodel

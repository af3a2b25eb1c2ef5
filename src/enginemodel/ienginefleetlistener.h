// Receives the events of requests at the modelled engines.
#pragma once

#include "enginemodel/types/modeljob.h"

#include "framework/global/types/time.h"

namespace magnolia::enginemodel
{

class IEngineFleetListener
{
public:
    virtual ~IEngineFleetListener() = default;

    /** An event of the answer. The first one comes at the end of the pass that completes the prefill of the prompt. */
    virtual void onEvent(JobId job, MonoTime at) = 0;
    /** The answer is complete; the job is removed already. */
    virtual void onDone(JobId job, MonoTime at) = 0;
    /** The job was not accepted: a queue is full, or it needs more memory than the engine has. */
    virtual void onRefused(JobId job, MonoTime at) = 0;
    /** The primary or a helper of the job crashed; the job is removed already. */
    virtual void onBroken(JobId job, EngineIndex crashed, MonoTime at) = 0;
};

} // namespace magnolia::enginemodel

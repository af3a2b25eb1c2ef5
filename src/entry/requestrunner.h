// Runs a caller's request from admission to its final answer.
#pragma once

#include "entry/types/callerrequest.h"
#include "entry/types/runreport.h"
#include "framework/global/iclock.h"
#include "framework/global/types/bytes.h"
#include "framework/metrics/metricsregistry.h"

#include <string>

namespace magnolia::upstreams
{
class IUpstreamClient;
}

namespace magnolia::entry
{

class ActiveRequests;
class CancelQueue;
class ICallerAnswer;
class IDispatchPolicy;
class IIdempotencyController;
class StopDeadline;

/** Services and limits of a runner; the referenced objects must outlive it. */
struct RunnerServices
{
    const IClock &clock;
    upstreams::IUpstreamClient &client;
    IDispatchPolicy &policy;
    IIdempotencyController &keys;
    CancelQueue &cancelQueue;
    ActiveRequests &activeRequests;
    metrics::MetricsRegistry &metrics;
    StopDeadline &stopDeadline;
    /** `<instance>/<incarnation>`: the owner that engines record for the streams of this instance. */
    std::string owner;
    /** Time without bytes from a model engine after which the attempt fails. */
    Milliseconds silenceTimeout{5000};
    /** Size limit of an answer that is not forwarded as a stream. */
    Bytes maxAnswerSize{16UL * 1024 * 1024};
};

class RequestRunner
{
public:
    explicit RequestRunner(RunnerServices services);

    /**
     * Answers the caller exactly once, within the finish time of the request class and before the process ends, and
     * returns the result.
     */
    RunReport run(const CallerRequest &request, ICallerAnswer &answer);

private:
    RunnerServices m_services;
};

} // namespace magnolia::entry

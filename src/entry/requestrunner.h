// Runs one request of a caller from admission to its final answer.
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

/** What a runner works with; all of it outlives the runner. */
struct RunnerServices
{
    const IClock &clock;
    upstreams::IUpstreamClient &client;
    IDispatchPolicy &policy;
    IIdempotencyController &keys;
    CancelQueue &cancelQueue;
    ActiveRequests &activeRequests;
    metrics::MetricsRegistry &metrics;
    /** `<instance>/<incarnation>`, by which engines know whose streams they hold. */
    std::string owner;
    Milliseconds silenceTimeout{5000};
    Bytes maxAnswerSize{16UL * 1024 * 1024};
};

class RequestRunner
{
public:
    explicit RequestRunner(RunnerServices services);

    /** Answers the caller once, within the class's time, and reports what became of the request. */
    RunReport run(const CallerRequest &request, ICallerAnswer &answer);

private:
    RunnerServices m_services;
};

} // namespace magnolia::entry

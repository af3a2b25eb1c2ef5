// Mutable state of a running request.
#pragma once

#include "entry/types/callerrequest.h"
#include "entry/types/upstreamchoice.h"
#include "framework/metrics/durationhistogram.h"
#include "streaming/streamcursor.h"

#include <optional>
#include <string>
#include <vector>

namespace magnolia::entry
{

class ICallerAnswer;

struct RunState
{
    RunState(const CallerRequest &callerRequest, ICallerAnswer &callerAnswer)
        : request(callerRequest)
        , answer(callerAnswer)
        , cursor(callerRequest.id)
    {
    }

    const CallerRequest &request;
    ICallerAnswer &answer;
    streaming::StreamCursor cursor;
    /** Text received so far, for a caller that did not request a stream. */
    std::string assembledText;
    std::optional<MonoTime> firstTokenAt;
    MonoTime lastTokenAt{};
    metrics::DurationHistogram tokenGaps;

    std::vector<UpstreamId> triedUpstreams;
    UpstreamChoice choice;
    std::uint32_t attempts = 0;
    std::uint32_t resumes = 0;
    std::uint32_t resumesWithoutProgress = 0;
    // Invariant: false only while it is certain that no upstream has received any part of the request that it may run.
    bool mayHaveRun = false;
};

} // namespace magnolia::entry

// Mutable state of a running request.
#pragma once

#include "entry/stopdeadline.h"
#include "entry/types/callerrequest.h"
#include "entry/types/upstreamchoice.h"
#include "framework/metrics/durationhistogram.h"
#include "streaming/streamcursor.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::entry
{

class ICallerAnswer;

struct RunState
{
    RunState(const CallerRequest &callerRequest, ICallerAnswer &callerAnswer, const StopDeadline &processEnd)
        : request(callerRequest)
        , answer(callerAnswer)
        , stopDeadline(processEnd)
        , cursor(callerRequest.id)
    {
    }

    /** Returns the latest time at which the request ends: its finish time, or earlier if the process stops. */
    [[nodiscard]] MonoTime endDue() const
    {
        return std::min(request.finishDue(), stopDeadline.value());
    }

    const CallerRequest &request;
    ICallerAnswer &answer;
    const StopDeadline &stopDeadline;
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

// Writes the log entries of one request, which the `explain` command reads.
#pragma once

#include "entry/types/attemptend.h"
#include "entry/types/callerrequest.h"
#include "entry/types/runreport.h"
#include "entry/types/upstreamchoice.h"
#include "framework/global/error.h"

#include <string_view>

namespace magnolia::entry
{

struct RunState;

void logArrival(const CallerRequest &request);
void logAdmission(const CallerRequest &request, const Result<UpstreamChoice> &admitted);
void logKeyDecision(const CallerRequest &request, std::string_view decision, std::string_view detail);
void logChoice(const CallerRequest &request, const UpstreamChoice &choice);
void logAttempt(const RunState &state, AttemptEnd end);
void logFinish(const CallerRequest &request, const RunReport &report);
/** Logs a request that was refused before it was read completely. */
void logRefusal(const RequestId &id, const Error &error);

} // namespace magnolia::entry

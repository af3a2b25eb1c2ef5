// Result of one request, for the log, the metrics and the tests.
#pragma once

#include "framework/global/outcome.h"
#include "framework/global/resultcode.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "framework/global/types/tokens.h"

#include <cstdint>
#include <optional>

namespace magnolia::entry
{

struct RunReport
{
    ResultCode code = ResultCode::Ok;
    Outcome outcome = Outcome::Ran;
    Outcome thisAttempt = Outcome::Ran;
    std::uint32_t attempts = 0;
    std::uint32_t resumes = 0;
    Tokens generated;
    UpstreamId upstream;
    std::optional<Milliseconds> timeToFirstToken;
    Milliseconds totalTime{0};
};

} // namespace magnolia::entry

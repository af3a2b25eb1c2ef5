// One run of one request: attempts at upstreams until the answer is whole or given up on.
#pragma once

#include "upstreams/types/upstreamcall.h"

#include "entry/iidempotencycontroller.h"
#include "entry/internal/run/groupreserver.h"
#include "entry/internal/run/runstate.h"
#include "entry/internal/run/streamreader.h"
#include "entry/nextstep.h"
#include "entry/requestrunner.h"
#include "entry/types/runreport.h"

#include <memory>
#include <optional>

namespace magnolia::entry
{

/** How an attempt ended, with the error that forbade it where one did. */
struct AttemptResult
{
    AttemptEnd end = AttemptEnd::Broken;
    std::optional<Error> error;
};

class RequestRun
{
public:
    /** `grant` is set where the request's key was granted to this instance. */
    RequestRun(RunnerServices &services, const CallerRequest &request, ICallerAnswer &answer, UpstreamChoice first,
        std::optional<KeyGranted> grant);

    ~RequestRun();
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    /** The request has been admitted. */
    RunReport run();

private:
    [[nodiscard]] AttemptResult attemptNew();
    [[nodiscard]] AttemptResult attemptResume();
    [[nodiscard]] AttemptResult attempt(const upstreams::UpstreamCall &call, bool isDispatch);
    [[nodiscard]] AttemptEnd readAnswer(upstreams::IUpstreamAnswer &upstream, bool isResume);
    [[nodiscard]] AttemptEnd readServiceAnswer(upstreams::IUpstreamAnswer &upstream);
    [[nodiscard]] AttemptEnd readRejection(upstreams::IUpstreamAnswer &upstream);
    [[nodiscard]] AttemptContext attemptContext(AttemptEnd end) const;
    [[nodiscard]] Result<void> chooseNextUpstream();
    void useUpstream(UpstreamChoice choice);
    void endAttempt(AttemptEnd end);
    void releaseGroup();
    void sendCompleteAnswer();
    RunReport giveUp(const Error &error);
    RunReport makeReport(ResultCode code, Outcome outcome);
    Outcome settleKey(bool isWhole, Outcome outcome);
    void recordNotRun(bool couldHaveRun);
    [[nodiscard]] ReaderContext readerContext();
    [[nodiscard]] kvmemory::GroupPlan groupPlan() const;
    [[nodiscard]] Milliseconds timeLeft() const;

    RunnerServices &m_services;
    RunState m_state;
    GroupReserver m_group;
    // Set while m_group may hold a reservation of this name.
    std::optional<RequestId> m_reservation;
    std::optional<KeyGranted> m_grant;
    // The whole answer of a plain service, or of a stream whose key is remembered.
    KeyReplay m_completeAnswer;
    bool m_isDispatched = false;
};

} // namespace magnolia::entry

// Runs an admitted request: makes attempts at upstreams until the answer is complete or the request has failed.
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

/** The end of an attempt, with the error of the final check if that forbade the attempt. */
struct AttemptResult
{
    AttemptEnd end = AttemptEnd::Broken;
    std::optional<Error> error;
};

class RequestRun
{
public:
    /** `grant` is set if the request has an idempotency key, which was granted to this instance. */
    RequestRun(RunnerServices &services, const CallerRequest &request, ICallerAnswer &answer, UpstreamChoice first,
        std::optional<KeyGranted> grant);

    ~RequestRun();
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    /** Runs the request and answers the caller. Must be called once. */
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
    // Set while m_group may hold a reservation with this id.
    std::optional<RequestId> m_reservation;
    std::optional<KeyGranted> m_grant;
    // Complete answer that is sent to the caller or stored for the idempotency key.
    KeyReplay m_completeAnswer;
    bool m_isDispatched = false;
};

} // namespace magnolia::entry

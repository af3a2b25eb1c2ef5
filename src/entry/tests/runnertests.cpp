// Tests of the runner with engines that show all faults at random: each request ends within the finish time of its
// class with the complete answer or a correct error, and non-idempotent requests run at most once.
#include "entry/activerequests.h"
#include "entry/cancelqueue.h"
#include "entry/icalleranswer.h"
#include "entry/idispatchpolicy.h"
#include "entry/iidempotencycontroller.h"
#include "entry/internal/run/streamreader.h"
#include "entry/requestrunner.h"
#include "entry/stopdeadline.h"
#include "entry/tests/fakeupstreams.h"
#include "framework/logging/log.h"
#include "framework/testing/schedule.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace magnolia;
using namespace magnolia::entry;
using namespace magnolia::entry::testing;
using magnolia::testing::forEachSeed;

namespace
{

constexpr Milliseconds finishTime{20000};
constexpr std::uint64_t tokens = 12;

/** Records the answer that the caller receives. */
class RecordingAnswer : public ICallerAnswer
{
public:
    explicit RecordingAnswer(const FakeClock &clock)
        : m_clock(clock)
    {
    }
    bool writeStream(std::string_view bytes) override
    {
        stream += bytes;
        return true;
    }
    void finishStream() override
    {
        end();
    }
    void sendComplete(int status, const std::string & /*contentType*/, std::string_view body) override
    {
        wholeStatus = status;
        whole = body;
        end();
    }
    void sendError(const Error &sent, Outcome sentAttempt) override
    {
        error = sent;
        thisAttempt = sentAttempt;
        end();
    }
    [[nodiscard]] bool isDisconnected() override
    {
        return false;
    }

    std::string stream;
    std::string whole;
    int wholeStatus = 0;
    std::optional<Error> error;
    Outcome thisAttempt = Outcome::Ran;
    int endCount = 0;
    MonoTime endedAt{};

private:
    void end()
    {
        ++endCount;
        endedAt = m_clock.monotonicNow();
    }

    const FakeClock &m_clock;
};

/** Chooses four engines one after another. */
class FakePolicy : public IDispatchPolicy
{
public:
    [[nodiscard]] Result<UpstreamChoice> admit(const CallerRequest &request, MonoTime now) override
    {
        return retry(request, {}, now);
    }
    [[nodiscard]] Result<UpstreamChoice> retry(
        const CallerRequest & /*request*/, const std::vector<UpstreamId> &triedUpstreams, MonoTime /*now*/) override
    {
        if (triedUpstreams.size() >= 4) {
            return makeError(ResultCode::UpstreamNone, "all tried");
        }
        UpstreamChoice choice;
        choice.upstream = UpstreamId("engine-" + std::to_string(triedUpstreams.size()));
        choice.address = choice.upstream.value();
        ++startedAttempts;
        return choice;
    }
    void recordFirstToken(const CallerRequest & /*request*/, MonoTime /*now*/) override
    {
    }
    void recordAttemptEnd(const CallerRequest & /*request*/, const UpstreamChoice & /*choice*/, AttemptEnd /*end*/,
        Tokens /*generated*/, MonoTime /*now*/) override
    {
        ++endedAttempts;
    }

    int startedAttempts = 0;
    int endedAttempts = 0;
};

/** Requests the stop when a request has been admitted. */
class StoppingPolicy : public FakePolicy
{
public:
    StoppingPolicy(StopDeadline &stopDeadline, MonoTime stopsAt)
        : m_stopDeadline(stopDeadline)
        , m_stopsAt(stopsAt)
    {
    }
    [[nodiscard]] Result<UpstreamChoice> admit(const CallerRequest &request, MonoTime now) override
    {
        m_stopDeadline.set(m_stopsAt);
        return FakePolicy::admit(request, now);
    }

private:
    StopDeadline &m_stopDeadline;
    MonoTime m_stopsAt;
};

/** Grants every key, confirms one dispatch at a time and counts how often a key was settled. */
class FakeKeys : public IIdempotencyController
{
public:
    [[nodiscard]] KeyDecision begin(const CallerRequest & /*request*/) override
    {
        return KeyGranted{1};
    }
    [[nodiscard]] Result<void> confirmDispatch(const CallerRequest & /*request*/, const KeyGranted & /*grant*/) override
    {
        if (isDispatched) {
            return makeError(ResultCode::KeyOutcomeUnknown, "dispatched before");
        }
        isDispatched = true;
        return {};
    }
    void complete(
        const CallerRequest & /*request*/, const KeyGranted & /*grant*/, const KeyReplay & /*answer*/) override
    {
        ++settledCount;
    }
    void loseAnswer(const CallerRequest & /*request*/, const KeyGranted & /*grant*/) override
    {
        ++settledCount;
    }
    void retract(const CallerRequest & /*request*/, const KeyGranted & /*grant*/) override
    {
        isDispatched = false;
    }
    [[nodiscard]] Outcome close(const CallerRequest & /*request*/, const KeyGranted & /*grant*/) override
    {
        ++settledCount;
        return isDispatched ? Outcome::Unknown : Outcome::NotRun;
    }

    bool isDispatched = false;
    int settledCount = 0;
};

/** Separate client for the thread of the cancel queue, which must not consume random numbers of the schedule. */
class AcceptingClient : public upstreams::IUpstreamClient
{
public:
    [[nodiscard]] Result<std::unique_ptr<upstreams::IUpstreamAnswer>> send(
        const upstreams::UpstreamCall & /*call*/, const std::function<Result<void>()> & /*mayDispatch*/) override
    {
        return makeError(ResultCode::UpstreamConnectFailed, "");
    }
};

struct Run
{
    CallerRequest request;
    FakeClock clock;
    StopDeadline stopDeadline;
    FakePolicy policy;
    FakeKeys keys;
    RunReport report;
    FakeJournal journal;
    std::unique_ptr<RecordingAnswer> answer;
};

FaultRates allFaults()
{
    return {0.15, 0.03, 0.1, 0.1, 0.02, 0.02, 0.02, 0.05, 0.02, 0.2, 0.001};
}

void execute(
    Run &run, IDispatchPolicy &policy, std::uint64_t seed, bool isIdempotent, bool wantsStream, const FaultRates &rates)
{
    run.request.id = RequestId("r-1");
    run.request.requestClass = {ClassId("c"), RequestKind::Model, Milliseconds(1000), finishTime, isIdempotent};
    run.request.wantsStream = wantsStream;
    run.request.arrivedAt = run.clock.monotonicNow();
    run.request.upstreamPath = "/v1/completions";
    run.answer = std::make_unique<RecordingAnswer>(run.clock);
    static AcceptingClient cancelClient;
    static CancelQueue cancelQueue(cancelClient);
    ActiveRequests active;
    metrics::MetricsRegistry metrics;
    FakeUpstreams engines(run.clock, seed, rates, tokens);
    RequestRunner runner({run.clock, engines, policy, run.keys, cancelQueue, active, metrics, run.stopDeadline,
        "entry-1/1", Milliseconds(2000)});
    run.report = runner.run(run.request, *run.answer);
    run.journal = engines.journal();
    REQUIRE(active.ids().empty());
}

std::unique_ptr<Run> runOnce(std::uint64_t seed, bool isIdempotent, bool wantsStream, const FaultRates &rates)
{
    auto run = std::make_unique<Run>();
    execute(*run, run->policy, seed, isIdempotent, wantsStream, rates);
    return run;
}

std::string expectedStream(std::uint64_t n)
{
    std::string text;
    for (std::uint64_t i = 0; i < n; ++i) {
        text += FakeUpstreams::event("r-1", i);
    }
    return text;
}

void checkAnswer(const Run &run)
{
    const RecordingAnswer &answer = *run.answer;
    REQUIRE(answer.endCount == 1);
    REQUIRE(run.policy.startedAttempts == run.policy.endedAttempts);
    if (run.report.code == ResultCode::Ok && run.request.wantsStream) {
        REQUIRE(answer.stream == expectedStream(tokens) + "data: [DONE]\n\n");
    } else if (run.report.code == ResultCode::Ok) {
        REQUIRE(answer.whole == R"({"request_id":"r-1","text":"t0t1t2t3t4t5t6t7t8t9t10t11","tokens":12})");
    } else {
        REQUIRE(answer.error);
        // The forwarded part is a prefix of the correct answer, with each token once.
        REQUIRE(expectedStream(tokens).starts_with(answer.stream));
    }
}

void checkTime(const Run &run)
{
    // A started wait ends within maxWait; a paused process answers as soon as it continues.
    const Milliseconds slack = maxWait + Milliseconds(50) + run.journal.paused;
    REQUIRE(run.answer->endedAt <= run.request.finishDue() + slack);
}

void checkOutcome(const Run &run)
{
    if (run.answer->error && run.answer->error->outcome == Outcome::NotRun) {
        REQUIRE(run.journal.executed == 0);
    }
    if (run.answer->error && run.answer->thisAttempt == Outcome::NotRun) {
        REQUIRE(run.journal.executed == 0);
    }
}

void disableLog()
{
    logging::setUp("/dev/null", logging::Level::Error, "test");
}

} // namespace

TEST_CASE("every request ends within its finish time with the complete answer or a correct error")
{
    disableLog();
    std::map<ResultCode, int> codes;
    forEachSeed(10000, [&codes](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        const auto run = runOnce(seed, true, seed % 2 == 0, allFaults());
        checkAnswer(*run);
        checkTime(*run);
        checkOutcome(*run);
        ++codes[run->report.code];
    });
    // The schedules cover both success and errors.
    if (std::getenv("MAGNOLIA_SEED") == nullptr) {
        CHECK(codes[ResultCode::Ok] > 1000);
        CHECK(codes.size() > 3);
    }
}

TEST_CASE("a non-idempotent request is executed at most once under all faults")
{
    disableLog();
    forEachSeed(10000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        const auto run = runOnce(seed, false, seed % 2 == 0, allFaults());
        checkAnswer(*run);
        checkTime(*run);
        checkOutcome(*run);
        REQUIRE(run->journal.executed <= 1);
        REQUIRE(run->keys.settledCount == 1);
    });
}

TEST_CASE("the same schedules execute some idempotent requests repeatedly, so the check above can fail")
{
    disableLog();
    int repeated = 0;
    forEachSeed(500, [&repeated](std::uint64_t seed) {
        repeated += runOnce(seed, true, true, allFaults())->journal.executed > 1 ? 1 : 0;
    });
    CHECK(repeated > 0);
}

TEST_CASE("a request to an engine that never answers fails at the finish time of its class")
{
    disableLog();
    FaultRates rates;
    rates.silent = 1;
    const auto run = runOnce(1, true, true, rates);
    checkTime(*run);
    REQUIRE(run->answer->error);
    CHECK(run->answer->error->outcome == Outcome::Unknown);
}

TEST_CASE("without faults the first engine answers")
{
    disableLog();
    const auto run = runOnce(1, true, true, {});
    CHECK(run->report.code == ResultCode::Ok);
    CHECK(run->report.attempts == 1);
    CHECK(run->journal.executed == 1);
}

TEST_CASE("a stopping instance admits only requests whose finish time lies before the end of its process")
{
    // Guards against requests that are taken late in a drain and cut at its end.
    disableLog();
    const bool isIdempotent = GENERATE(true, false);
    const bool isFinishBeforeEnd = GENERATE(true, false);
    Run run;
    run.stopDeadline.set(run.clock.monotonicNow() + finishTime - Milliseconds(isFinishBeforeEnd ? 0 : 1));
    execute(run, run.policy, 1, isIdempotent, true, {});
    CHECK(run.journal.executed == (isFinishBeforeEnd ? 1 : 0));
    CHECK(run.policy.startedAttempts == (isFinishBeforeEnd ? 1 : 0));
    CHECK(run.keys.settledCount == (isIdempotent ? 0 : 1));
    if (isFinishBeforeEnd) {
        CHECK(run.report.code == ResultCode::Ok);
        return;
    }
    REQUIRE(run.answer->error);
    CHECK(run.answer->error->code == ResultCode::AdmissionStopping);
    CHECK(run.answer->error->outcome == Outcome::NotRun);
    CHECK(run.answer->error->retryAfter == Milliseconds(0));
}

TEST_CASE("a request that is open when its process ends gets its final answer before")
{
    // Guards against connections that end with the process, without a word on whether the request has run.
    disableLog();
    const bool isIdempotent = GENERATE(true, false);
    FaultRates rates;
    rates.silent = 1;
    Run run;
    const MonoTime stopsAt = run.clock.monotonicNow() + Milliseconds(5000);
    StoppingPolicy policy(run.stopDeadline, stopsAt);
    execute(run, policy, 1, isIdempotent, true, rates);
    CHECK(run.stopDeadline.cutRequestCount() == 1);
    CHECK(run.answer->endCount == 1);
    CHECK(run.answer->endedAt <= stopsAt + maxWait + Milliseconds(50));
    CHECK(policy.startedAttempts == policy.endedAttempts);
    REQUIRE(run.answer->error);
    CHECK(run.answer->error->code == (isIdempotent ? ResultCode::AdmissionStopping : ResultCode::KeyOutcomeUnknown));
    CHECK(run.answer->error->outcome == Outcome::Unknown);
    CHECK(run.keys.settledCount == (isIdempotent ? 0 : 1));
}

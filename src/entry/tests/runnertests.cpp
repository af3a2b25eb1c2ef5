// The runner before engines with every fault at once: each request ends within its class's time, with the whole answer
// or an honest error, and work that must not run twice does not.
#include "entry/activerequests.h"
#include "entry/cancelqueue.h"
#include "entry/icalleranswer.h"
#include "entry/idispatchpolicy.h"
#include "entry/ikeygate.h"
#include "entry/internal/run/streamreader.h"
#include "entry/requestrunner.h"
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

/** What the caller saw. */
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
    void sendWhole(int status, const std::string & /*contentType*/, std::string_view body) override
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
    [[nodiscard]] bool isGone() override
    {
        return false;
    }

    std::string stream;
    std::string whole;
    int wholeStatus = 0;
    std::optional<Error> error;
    Outcome thisAttempt = Outcome::Ran;
    int ends = 0;
    MonoTime endedAt{};

private:
    void end()
    {
        ++ends;
        endedAt = m_clock.monotonicNow();
    }

    const FakeClock &m_clock;
};

/** Four engines, tried in turn. */
class FakePolicy : public IDispatchPolicy
{
public:
    [[nodiscard]] Result<UpstreamChoice> admit(const CallerRequest &request, MonoTime now) override
    {
        return retry(request, {}, now);
    }
    [[nodiscard]] Result<UpstreamChoice> retry(
        const CallerRequest & /*request*/, const std::vector<UpstreamId> &tried, MonoTime /*now*/) override
    {
        if (tried.size() >= 4) {
            return makeError(ResultCode::UpstreamNone, "all tried");
        }
        UpstreamChoice choice;
        choice.upstream = UpstreamId("engine-" + std::to_string(tried.size()));
        choice.address = choice.upstream.value();
        ++begun;
        return choice;
    }
    void firstTokenSeen(const CallerRequest & /*request*/, MonoTime /*now*/) override
    {
    }
    void attemptEnded(const CallerRequest & /*request*/, const UpstreamChoice & /*choice*/, AttemptEnd /*end*/,
        Tokens /*generated*/, MonoTime /*now*/) override
    {
        ++ended;
    }

    int begun = 0;
    int ended = 0;
};

/** Grants each key once and remembers how it was settled. */
class FakeKeys : public IKeyGate
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
        ++settled;
    }
    void loseAnswer(const CallerRequest & /*request*/, const KeyGranted & /*grant*/) override
    {
        ++settled;
    }
    void retract(const CallerRequest & /*request*/, const KeyGranted & /*grant*/) override
    {
        isDispatched = false;
    }
    [[nodiscard]] Outcome close(const CallerRequest & /*request*/, const KeyGranted & /*grant*/) override
    {
        ++settled;
        return isDispatched ? Outcome::Unknown : Outcome::NotRun;
    }

    bool isDispatched = false;
    int settled = 0;
};

/** The cancel queue has a thread of its own, which must not draw from the schedule. */
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

std::unique_ptr<Run> runOnce(std::uint64_t seed, bool isIdempotent, bool wantsStream, const FaultRates &rates)
{
    auto run = std::make_unique<Run>();
    run->request.id = RequestId("r-1");
    run->request.workClass = {ClassId("c"), RequestKind::Model, Milliseconds(1000), finishTime, isIdempotent};
    run->request.wantsStream = wantsStream;
    run->request.arrivedAt = run->clock.monotonicNow();
    run->request.upstreamPath = "/v1/completions";
    run->answer = std::make_unique<RecordingAnswer>(run->clock);
    static AcceptingClient cancelClient;
    static CancelQueue cancels(cancelClient);
    ActiveRequests active;
    metrics::MetricsRegistry metrics;
    FakeUpstreams world(run->clock, seed, rates, tokens);
    RequestRunner runner(
        {run->clock, world, run->policy, run->keys, cancels, active, metrics, "entry-1/1", Milliseconds(2000)});
    run->report = runner.run(run->request, *run->answer);
    run->journal = world.journal();
    REQUIRE(active.ids().empty());
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
    REQUIRE(answer.ends == 1);
    REQUIRE(run.policy.begun == run.policy.ended);
    if (run.report.code == ResultCode::Ok && run.request.wantsStream) {
        REQUIRE(answer.stream == expectedStream(tokens) + "data: [DONE]\n\n");
    } else if (run.report.code == ResultCode::Ok) {
        REQUIRE(answer.whole == R"({"request_id":"r-1","text":"t0t1t2t3t4t5t6t7t8t9t10t11","tokens":12})");
    } else {
        REQUIRE(answer.error);
        // What was passed on before is the beginning of the right answer, each token once.
        REQUIRE(expectedStream(tokens).starts_with(answer.stream));
    }
}

void checkTime(const Run &run)
{
    // A wait that has begun ends within its slice; a paused process answers as soon as it wakes.
    const Milliseconds slack = waitSlice + Milliseconds(50) + run.journal.paused;
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

void silenceLog()
{
    logging::setUp("/dev/null", logging::Level::Error, "test");
}

} // namespace

TEST_CASE("every request ends in its time, with the whole answer or an honest error")
{
    silenceLog();
    std::map<ResultCode, int> codes;
    forEachSeed(10000, [&codes](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        const auto run = runOnce(seed, true, seed % 2 == 0, allFaults());
        checkAnswer(*run);
        checkTime(*run);
        checkOutcome(*run);
        ++codes[run->report.code];
    });
    // The schedules reach both ends.
    if (std::getenv("MAGNOLIA_SEED") == nullptr) {
        CHECK(codes[ResultCode::Ok] > 1000);
        CHECK(codes.size() > 3);
    }
}

TEST_CASE("work that must not run twice is executed once at most, whatever the engines do")
{
    silenceLog();
    forEachSeed(10000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        const auto run = runOnce(seed, false, seed % 2 == 0, allFaults());
        checkAnswer(*run);
        checkTime(*run);
        checkOutcome(*run);
        REQUIRE(run->journal.executed <= 1);
        REQUIRE(run->keys.settled == 1);
    });
}

TEST_CASE("the same schedules run idempotent work more than once, so that the check above can fail")
{
    silenceLog();
    int repeated = 0;
    forEachSeed(500, [&repeated](std::uint64_t seed) {
        repeated += runOnce(seed, true, true, allFaults())->journal.executed > 1 ? 1 : 0;
    });
    CHECK(repeated > 0);
}

TEST_CASE("an engine that never answers is given up on at the class's time, not later")
{
    silenceLog();
    FaultRates rates;
    rates.silent = 1;
    const auto run = runOnce(1, true, true, rates);
    checkTime(*run);
    REQUIRE(run->answer->error);
    CHECK(run->answer->error->outcome == Outcome::Unknown);
}

TEST_CASE("without faults the first engine answers")
{
    silenceLog();
    const auto run = runOnce(1, true, true, {});
    CHECK(run->report.code == ResultCode::Ok);
    CHECK(run->report.attempts == 1);
    CHECK(run->journal.executed == 1);
}

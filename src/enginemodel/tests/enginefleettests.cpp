// Compares the pass times of the model with times calculated by hand from the published formula.
#include "enginemodel/enginefleet.h"

#include <catch2/catch.hpp>

#include <map>

using namespace magnolia;
using namespace magnolia::enginemodel;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

/** Easy to calculate with: a step takes 1 ms, 100 tokens are prefilled in 1 ms, and attention pairs cost nothing. */
catalogue::EngineModel makeModel()
{
    catalogue::EngineModel model;
    model.slots = 4;
    model.kvCapacityTokens = 100'000;
    model.stepsPerPass = 10;
    model.stepMs = 1;
    model.prefillTokensPerMs = 100;
    model.chunkTokens = 2000;
    return model;
}

struct Recorder : IEngineFleetListener
{
    void onEvent(JobId job, MonoTime at) override
    {
        events[job].push_back(toMs(at));
    }
    void onDone(JobId job, MonoTime at) override
    {
        done[job] = toMs(at);
    }
    void onRefused(JobId job, MonoTime at) override
    {
        refused[job] = toMs(at);
    }
    void onBroken(JobId job, EngineIndex /*crashed*/, MonoTime at) override
    {
        broken[job] = toMs(at);
    }

    static double toMs(MonoTime at)
    {
        return std::chrono::duration<double, std::milli>(at - start).count();
    }

    std::map<JobId, std::vector<double>> events;
    std::map<JobId, double> done;
    std::map<JobId, double> refused;
    std::map<JobId, double> broken;
};

ModelJob makeJob(JobId id, double promptTokens, double outputTokens, EngineIndex primary = 0)
{
    ModelJob job;
    job.id = id;
    job.primary = primary;
    job.promptTokens = promptTokens;
    job.outputTokens = outputTokens;
    return job;
}

const MonoTime runEnd = start + Seconds(1000);

} // namespace

TEST_CASE("a single prompt is prefilled step by step, and each pass ends with an event")
{
    Recorder recorder;
    EngineFleet fleet(makeModel(), 1, recorder);
    fleet.submit(makeJob(1, 5000, 25), start);
    fleet.advanceTo(runEnd);
    // Three steps with 50 ms of prefill, then passes of 10 steps.
    CHECK(recorder.events[1] == std::vector<double>{53, 63, 73});
    CHECK(recorder.done[1] == 73);
    CHECK(fleet.requestCount(0) == 0);
    CHECK_FALSE(fleet.nextPassEnd());
}

TEST_CASE("the cost of attention pairs makes the end of a prompt slower to prefill than its beginning")
{
    Recorder recorder;
    catalogue::EngineModel model = makeModel();
    model.attentionMsPerMillionPairs = 1;
    EngineFleet fleet(model, 1, recorder);
    fleet.submit(makeJob(1, 10'000, 1), start);
    fleet.advanceTo(runEnd);
    // 100 ms for the tokens, 50 million pairs, and five steps.
    CHECK(recorder.done[1] == Approx(155));
}

TEST_CASE("a long prefill lengthens the gaps of a decoding request by one chunk per step")
{
    Recorder recorder;
    EngineFleet fleet(makeModel(), 1, recorder);
    fleet.submit(makeJob(1, 1000, 30), start);
    fleet.advanceTo(start + Milliseconds(12));
    fleet.submit(makeJob(2, 60'000, 10), start + Milliseconds(12));
    fleet.advanceTo(runEnd);
    // The next pass has ten steps and ten chunks of 2,000 tokens, which take 200 ms.
    CHECK(recorder.events[1] == std::vector<double>{11, 21, 231});
    // The remaining 40,000 tokens are prefilled alone in 20 steps.
    CHECK(recorder.events[2][0] == Approx(651));
}

TEST_CASE("a prompt that is prefilled beside decoding requests gets its first event at the end of their pass")
{
    Recorder recorder;
    EngineFleet fleet(makeModel(), 1, recorder);
    fleet.submit(makeJob(1, 1000, 30), start);
    fleet.advanceTo(start + Milliseconds(12));
    fleet.submit(makeJob(2, 2000, 20), start + Milliseconds(12));
    fleet.advanceTo(runEnd);
    // The second request waits until the current pass ends at 21 ms; the next pass includes its 20 ms of prefill.
    CHECK(recorder.events[2] == std::vector<double>{51, 61});
    CHECK(recorder.events[1].back() == 51);
}

TEST_CASE("several engines prefill a prompt in equal parts, before the prompts of their own requests")
{
    Recorder recorder;
    EngineFleet fleet(makeModel(), 4, recorder);
    fleet.submit(makeJob(9, 4000, 10, 1), start);
    ModelJob job = makeJob(1, 40'000, 10);
    job.helpers = {1, 2, 3};
    fleet.submit(job, start);
    fleet.advanceTo(runEnd);
    // Engine 1 is in a step for its own request when the part arrives.
    CHECK(recorder.events[1][0] == Approx(126));
    CHECK(recorder.events[9][0] == Approx(147));
}

TEST_CASE("each decode step of a divided prompt costs one hop and the context of one part")
{
    Recorder recorder;
    catalogue::EngineModel model = makeModel();
    model.hopMs = 0.5;
    model.decodeStepMsPerThousandTokens = 0.1;
    EngineFleet fleet(model, 2, recorder);
    ModelJob job = makeJob(1, 20'000, 20);
    job.helpers = {1};
    fleet.submit(job, start);
    fleet.advanceTo(runEnd);
    REQUIRE(recorder.events[1].size() == 2);
    // Five steps and 100 ms of prefill for half of the prompt, then ten steps of 1 + 0.5 + 10 x 0.1 ms.
    CHECK(recorder.events[1][0] == Approx(105));
    CHECK(recorder.events[1][1] == Approx(130));
}

TEST_CASE("slots limit the running requests, and the request with the lowest priority value is admitted first")
{
    Recorder recorder;
    catalogue::EngineModel model = makeModel();
    model.slots = 1;
    EngineFleet fleet(model, 1, recorder);
    fleet.submit(makeJob(1, 1000, 10), start);
    ModelJob normal = makeJob(2, 1000, 10);
    normal.priority = 7;
    fleet.submit(normal, start);
    ModelJob urgent = makeJob(3, 1000, 10);
    urgent.priority = 1;
    fleet.submit(urgent, start);
    fleet.advanceTo(runEnd);
    CHECK(recorder.done[1] == 11);
    CHECK(recorder.done[3] == 22);
    CHECK(recorder.done[2] == 33);
}

TEST_CASE("when memory runs out the newest request is preempted and prefilled again")
{
    Recorder recorder;
    catalogue::EngineModel model = makeModel();
    model.kvCapacityTokens = 10'020;
    EngineFleet fleet(model, 1, recorder);
    fleet.submit(makeJob(1, 5000, 100), start);
    fleet.submit(makeJob(2, 5000, 100), start);
    fleet.advanceTo(runEnd);
    CHECK(fleet.preemptionCount() > 0);
    CHECK(recorder.events[1].size() == 10);
    CHECK(recorder.events[2].size() >= 10);
    CHECK(recorder.done[1] < recorder.done[2]);
}

TEST_CASE("a prompt too large for one engine is refused, unless helpers reserve memory for it")
{
    Recorder recorder;
    EngineFleet fleet(makeModel(), 3, recorder);
    fleet.submit(makeJob(1, 150'000, 10), start);
    CHECK(recorder.refused.contains(1));
    ModelJob divided = makeJob(2, 150'000, 10);
    divided.helpers = {1, 2};
    divided.reservedTokensPerHelper = 50'000;
    fleet.submit(divided, start);
    fleet.advanceTo(runEnd);
    CHECK(recorder.done.contains(2));
}

TEST_CASE("a cancelled request is removed from all engines that work on it")
{
    Recorder recorder;
    EngineFleet fleet(makeModel(), 2, recorder);
    ModelJob job = makeJob(1, 80'000, 10);
    job.helpers = {1};
    fleet.submit(job, start);
    fleet.advanceTo(start + Milliseconds(50));
    fleet.cancel(1, start + Milliseconds(50));
    fleet.submit(makeJob(2, 1000, 10, 1), start + Milliseconds(50));
    fleet.advanceTo(runEnd);
    CHECK_FALSE(recorder.done.contains(1));
    // The step that was running is finished first.
    CHECK(recorder.done[2] == Approx(74));
    CHECK(fleet.requestCount(0) == 0);
}

TEST_CASE("an engine with a slowdown of 2 takes twice as long for prefill and decode")
{
    Recorder recorder;
    EngineFleet fleet(makeModel(), 1, recorder);
    fleet.setSlowdown(0, 2);
    fleet.submit(makeJob(1, 5000, 10), start);
    fleet.advanceTo(runEnd);
    CHECK(recorder.done[1] == 106);
}

TEST_CASE("a job that crashes its engine breaks all requests there at the time of its first event")
{
    Recorder recorder;
    EngineFleet fleet(makeModel(), 2, recorder);
    fleet.submit(makeJob(1, 1000, 1000), start);
    ModelJob crashing = makeJob(2, 1000, 1000);
    crashing.isCrashing = true;
    fleet.submit(crashing, start);
    fleet.submit(makeJob(3, 1000, 20, 1), start);
    fleet.advanceTo(start + Seconds(2));
    CHECK(recorder.events[2].empty());
    REQUIRE(recorder.broken.size() == 2);
    CHECK(recorder.broken[1] == recorder.broken[2]);
    CHECK(recorder.done.contains(3));
    CHECK_FALSE(fleet.isRunning(0));
    fleet.submit(makeJob(4, 1000, 20), start + Seconds(2));
    CHECK(recorder.refused.contains(4));
    fleet.restart(0);
    fleet.submit(makeJob(5, 1000, 20), start + Seconds(3));
    fleet.advanceTo(start + Seconds(4));
    CHECK(recorder.done.contains(5));
}

TEST_CASE("the crash of a helper breaks the prompts that it prefills in part")
{
    Recorder recorder;
    EngineFleet fleet(makeModel(), 2, recorder);
    ModelJob shared = makeJob(1, 50'000, 20);
    shared.helpers = {1};
    fleet.submit(shared, start);
    fleet.advanceTo(start + Milliseconds(10));
    fleet.crash(1, start + Milliseconds(10));
    CHECK(recorder.broken.contains(1));
    CHECK(fleet.requestCount(0) == 0);
    fleet.advanceTo(start + Seconds(2));
    CHECK(recorder.done.empty());
}

// The model's passes against times worked out by hand from the published formula.
#include "enginemodel/enginefleet.h"

#include <catch2/catch.hpp>

#include <map>

using namespace magnolia;
using namespace magnolia::enginemodel;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

/** Round figures: a step of 1 ms, 100 tokens read in 1 ms, no pairs. */
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

struct Recorder : IEngineFleetUser
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

    static double toMs(MonoTime at)
    {
        return std::chrono::duration<double, std::milli>(at - start).count();
    }

    std::map<JobId, std::vector<double>> events;
    std::map<JobId, double> done;
    std::map<JobId, double> refused;
};

ModelJob makeJob(JobId id, double prompt, double output, EngineIndex engine = 0)
{
    ModelJob job;
    job.id = id;
    job.engine = engine;
    job.promptTokens = prompt;
    job.outputTokens = output;
    return job;
}

const MonoTime late = start + Seconds(1000);

} // namespace

TEST_CASE("a prompt alone is read step by step, and each pass closes with an event")
{
    Recorder seen;
    EngineFleet fleet(makeModel(), 1, seen);
    fleet.submit(makeJob(1, 5000, 25), start);
    fleet.advanceTo(late);
    // Three steps with 50 ms of reading, then passes of 10 steps.
    CHECK(seen.events[1] == std::vector<double>{53, 63, 73});
    CHECK(seen.done[1] == 73);
    CHECK(fleet.requestsOf(0) == 0);
    CHECK_FALSE(fleet.nextAt());
}

TEST_CASE("pairs make the end of a prompt dearer than its beginning")
{
    Recorder seen;
    catalogue::EngineModel model = makeModel();
    model.attentionMsPerMillionPairs = 1;
    EngineFleet fleet(model, 1, seen);
    fleet.submit(makeJob(1, 10'000, 1), start);
    fleet.advanceTo(late);
    // 100 ms for the tokens, 50 million pairs, and five steps.
    CHECK(seen.done[1] == Approx(155));
}

TEST_CASE("a long read beside a writer lengthens its pauses by a chunk each step")
{
    Recorder seen;
    EngineFleet fleet(makeModel(), 1, seen);
    fleet.submit(makeJob(1, 1000, 30), start);
    fleet.advanceTo(start + Milliseconds(12));
    fleet.submit(makeJob(2, 60'000, 10), start + Milliseconds(12));
    fleet.advanceTo(late);
    // Ten chunks of 2,000 tokens in the pass that follows: 200 ms, and the steps.
    CHECK(seen.events[1] == std::vector<double>{11, 21, 231});
    // The rest alone, in 20 steps.
    CHECK(seen.events[2][0] == Approx(651));
}

TEST_CASE("the first event of a prompt that is read beside writers closes their pass")
{
    Recorder seen;
    EngineFleet fleet(makeModel(), 1, seen);
    fleet.submit(makeJob(1, 1000, 30), start);
    fleet.advanceTo(start + Milliseconds(12));
    fleet.submit(makeJob(2, 2000, 20), start + Milliseconds(12));
    fleet.advanceTo(late);
    // It waits for the pass under way to end at 21; the next holds its 20 ms.
    CHECK(seen.events[2] == std::vector<double>{51, 61});
    CHECK(seen.events[1].back() == 51);
}

TEST_CASE("several engines read a prompt in even parts, ahead of other reads")
{
    Recorder seen;
    EngineFleet fleet(makeModel(), 4, seen);
    fleet.submit(makeJob(9, 4000, 10, 1), start);
    ModelJob job = makeJob(1, 40'000, 10);
    job.helpers = {1, 2, 3};
    fleet.submit(job, start);
    fleet.advanceTo(late);
    // Engine 1 is within a step of its own when the part arrives.
    CHECK(seen.events[1][0] == Approx(126));
    CHECK(seen.events[9][0] == Approx(147));
}

TEST_CASE("each step of a divided prompt costs the hop and the context of its part")
{
    Recorder seen;
    catalogue::EngineModel model = makeModel();
    model.hopMs = 0.5;
    model.decodeStepMsPerThousandTokens = 0.1;
    EngineFleet fleet(model, 2, seen);
    ModelJob job = makeJob(1, 20'000, 20);
    job.helpers = {1};
    fleet.submit(job, start);
    fleet.advanceTo(late);
    REQUIRE(seen.events[1].size() == 2);
    // Five steps and 100 ms for half of it, then ten steps of 1 + 0.5 + 10 x 0.1 ms.
    CHECK(seen.events[1][0] == Approx(105));
    CHECK(seen.events[1][1] == Approx(130));
}

TEST_CASE("slots bound what runs, and the more urgent is admitted first")
{
    Recorder seen;
    catalogue::EngineModel model = makeModel();
    model.slots = 1;
    EngineFleet fleet(model, 1, seen);
    fleet.submit(makeJob(1, 1000, 10), start);
    ModelJob common = makeJob(2, 1000, 10);
    common.priority = 7;
    fleet.submit(common, start);
    ModelJob urgent = makeJob(3, 1000, 10);
    urgent.priority = 1;
    fleet.submit(urgent, start);
    fleet.advanceTo(late);
    CHECK(seen.done[1] == 11);
    CHECK(seen.done[3] == 22);
    CHECK(seen.done[2] == 33);
}

TEST_CASE("where the memory ends the newest is preempted and read again")
{
    Recorder seen;
    catalogue::EngineModel model = makeModel();
    model.kvCapacityTokens = 10'020;
    EngineFleet fleet(model, 1, seen);
    fleet.submit(makeJob(1, 5000, 100), start);
    fleet.submit(makeJob(2, 5000, 100), start);
    fleet.advanceTo(late);
    CHECK(fleet.preemptions() > 0);
    CHECK(seen.events[1].size() == 10);
    CHECK(seen.events[2].size() >= 10);
    CHECK(seen.done[1] < seen.done[2]);
}

TEST_CASE("what no engine can hold is refused, and tickets make room for it")
{
    Recorder seen;
    EngineFleet fleet(makeModel(), 3, seen);
    fleet.submit(makeJob(1, 150'000, 10), start);
    CHECK(seen.refused.contains(1));
    ModelJob held = makeJob(2, 150'000, 10);
    held.helpers = {1, 2};
    held.ticketTokens = 50'000;
    fleet.submit(held, start);
    fleet.advanceTo(late);
    CHECK(seen.done.contains(2));
}

TEST_CASE("a cancelled request leaves all engines that worked on it")
{
    Recorder seen;
    EngineFleet fleet(makeModel(), 2, seen);
    ModelJob job = makeJob(1, 80'000, 10);
    job.helpers = {1};
    fleet.submit(job, start);
    fleet.advanceTo(start + Milliseconds(50));
    fleet.cancel(1, start + Milliseconds(50));
    fleet.submit(makeJob(2, 1000, 10, 1), start + Milliseconds(50));
    fleet.advanceTo(late);
    CHECK_FALSE(seen.done.contains(1));
    // The step that was under way is finished first.
    CHECK(seen.done[2] == Approx(74));
    CHECK(fleet.requestsOf(0) == 0);
}

TEST_CASE("a slow engine takes longer for everything")
{
    Recorder seen;
    EngineFleet fleet(makeModel(), 1, seen);
    fleet.setPace(0, 2);
    fleet.submit(makeJob(1, 5000, 10), start);
    fleet.advanceTo(late);
    CHECK(seen.done[1] == 106);
}

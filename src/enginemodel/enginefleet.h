// Simulates the engines of one service in virtual time, by the published rules for their passes.
//
// An engine works in passes. A pass that decodes requests has a fixed number of steps. At its end it emits one event
// for each decoded request, and the first event of each request whose prompt is now prefilled completely. Each step
// also prefills up to one chunk of prompt tokens: first the parts that the engine prefills as a helper, then the
// prompts of its own requests in the order of their admission. A pass that only prefills is a single step. Requests are
// admitted by priority and arrival while there is a free slot and memory for the prompt. When memory runs out, the
// newest request is preempted and its prompt is prefilled again.
#pragma once

#include "enginemodel/ienginefleetlistener.h"

#include "catalogue/types/enginemodel.h"

#include <memory>
#include <optional>
#include <vector>

namespace magnolia::enginemodel
{

class EngineFleet
{
public:
    /** `listener` must outlive the fleet. All engines have the same model and differ only in their slowdown. */
    EngineFleet(const catalogue::EngineModel &model, std::size_t engineCount, IEngineFleetListener &listener);
    ~EngineFleet();
    EngineFleet(const EngineFleet &) = delete;
    EngineFleet &operator=(const EngineFleet &) = delete;

    /** Sets the factor by which all passes of `engine` take longer than in the model; 1 by default. */
    void setSlowdown(EngineIndex engine, double slowdown);

    /** Adds a request that arrives at `now`. All passes that end before `now` must have been finished by advanceTo().
     */
    void submit(const ModelJob &job, MonoTime now);
    /** Removes a request from all engines; does nothing if `job` is unknown. */
    void cancel(JobId job, MonoTime now);

    /** Ends `engine` with all requests that use it, until it is restarted; requests that are submitted to it are
     * refused. */
    void crash(EngineIndex engine, MonoTime now);
    void restart(EngineIndex engine);
    [[nodiscard]] bool isRunning(EngineIndex engine) const;

    /** Returns when the next pass ends, or nullopt if all engines are idle. */
    [[nodiscard]] std::optional<MonoTime> nextPassEnd() const;
    /** Finishes all passes that end at or before `now`, in the order of their ends. */
    void advanceTo(MonoTime now);

    /** Requests with `engine` as primary that wait, are prefilled or are decoded. */
    [[nodiscard]] std::size_t requestCount(EngineIndex engine) const;
    /** Milliseconds that the passes of `engine` have taken, counted when a pass starts. */
    [[nodiscard]] double busyMs(EngineIndex engine) const;
    /** Number of preemptions on all engines. */
    [[nodiscard]] std::size_t preemptionCount() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace magnolia::enginemodel

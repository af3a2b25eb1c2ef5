// The engines of one service in virtual time, by the published rules of their passes.
//
// An engine does all its waiting work in passes. A pass with writers has a fixed number of steps and closes with one
// event for each writer, and with the first event of each request whose last part it has read; each step reads a chunk
// of the prompts that wait: parts for other engines first, then own prompts in the order of their admission. A pass
// without writers is a single step. Requests are admitted by priority and arrival while there is a slot and memory for
// the prompt; where the memory ends, the newest is preempted and read again.
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
    /** `user` must outlive the fleet. Engines with the same service differ by nothing but their pace. */
    EngineFleet(const catalogue::EngineModel &model, std::size_t engines, IEngineFleetListener &user);
    ~EngineFleet();
    EngineFleet(const EngineFleet &) = delete;
    EngineFleet &operator=(const EngineFleet &) = delete;

    /** Above 1 is slow. */
    void setPace(EngineIndex engine, double pace);

    /** `job` arrives at `now`; all that ends before has to be played already. */
    void submit(const ModelJob &job, MonoTime now);
    /** The caller has gone; an unknown job is ignored. */
    void cancel(JobId job, MonoTime now);

    /** When the next pass ends; nothing where all engines are idle. */
    [[nodiscard]] std::optional<MonoTime> nextPassEnd() const;
    /** Plays all passes that end until `now`. */
    void advanceTo(MonoTime now);

    /** Requests that `engine` reads, writes or keeps waiting. */
    [[nodiscard]] std::size_t requestCount(EngineIndex engine) const;
    /** Milliseconds in which `engine` did anything. */
    [[nodiscard]] double busyMs(EngineIndex engine) const;
    /** Requests that were preempted. */
    [[nodiscard]] std::size_t preemptionCount() const;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace magnolia::enginemodel

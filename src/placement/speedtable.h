// Speeds of engines, measured from the first events of the placements of all known instances.
//
// Designed for fleets in which some engines run at a fraction of their published speed and each of many instances sends
// too few requests to one engine to measure it alone: with 60 instances, 54 engines and 81 requests a second, an
// instance sends an engine one request in 40 seconds. The placements and first events that peers announce anyway let
// every instance measure every engine, without any message or request of its own.
#pragma once

#include "placement/types/placement.h"

#include <span>
#include <unordered_map>

namespace magnolia::placement
{

/** Time to the first event of a placement on one of its engines, at the published speed of the engine. */
struct ExpectedFirstEvent
{
    UpstreamKey upstream = 0;
    double ms = 0;
};

struct SpeedParameters
{
    /** Weight of the published speed, in measurements: one measurement alone does not condemn an engine. */
    double priorWeight = 1;
    /** Share of the earlier measurements' weight that remains after each measurement. */
    double keptShare = 0.85;
    /** Measurements lose their weight with this time constant, so that an engine that is avoided is tried again. */
    Milliseconds memory{20'000};
    /** Ratio that engines of the published speed show under load, by prefills that arrive after the placement. */
    double expectedContention = 1.15;
    /** Bounds of the ratio of a single measurement and of the slowdown. */
    double minRatio = 0.25;
    double maxRatio = 8;
};

class SpeedTable
{
public:
    explicit SpeedTable(SpeedParameters parameters = {});

    /**
     * Records that the first event of a placement has arrived after `elapsedMs`. `members` are its engines. The first
     * event waits for the slowest of them, so the ratio is attributed to those from which it was expected last by their
     * known slowdowns; the others are at most as slow as it shows.
     */
    void recordFirstEvent(std::span<const ExpectedFirstEvent> members, double elapsedMs, MonoTime now);

    /** Returns by how many times the engine is slower than published, at least 1; 1 without measurements. */
    [[nodiscard]] double slowdown(UpstreamKey upstream, MonoTime now) const;
    /** Number of upstreams with a measurement. */
    [[nodiscard]] std::size_t size() const;

private:
    struct Record
    {
        double weight = 0;
        /** Sum of the ratios by their weights. */
        double weightedRatios = 0;
        MonoTime updatedAt{};
    };

    [[nodiscard]] double decayFactor(const Record &record, MonoTime now) const;
    void add(UpstreamKey upstream, double ratio, double weight, MonoTime now);

    SpeedParameters m_parameters;
    // Bounded by the upstreams measured within the last few times of `memory`.
    std::unordered_map<UpstreamKey, Record> m_records;
};

} // namespace magnolia::placement

// Decides whether this instance is cut from all upstreams while it runs.
//
// One instance cannot tell a dead upstream from a broken path to it. Upstreams of several services that can all not be
// reached, without any that can, show that the path is broken. It does no I/O: results of connections, time and random
// numbers are passed in. Only new connections count, because open ones may go on while new ones are refused.
#pragma once

#include "framework/global/random.h"
#include "framework/global/types/time.h"
#include "reachability/types/upstreamref.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::reachability
{

struct PartitionParameters
{
    /** Upstreams that must be out of reach, or all of them if there are fewer. */
    std::size_t minFailedUpstreams = 5;
    /** Services to which these upstreams must belong, or all of them if there are fewer. A service whose upstreams have
     * all crashed is no partition. */
    std::size_t minFailedServices = 2;
    /** Connections that must be established, without new evidence of a partition in between, before it has ended. */
    int minSuccesses = 2;
    /** Older failures do not count, since the network may have changed. */
    Milliseconds failureLifetime{5000};
    /** Time between two probes while the partition lasts. */
    Milliseconds probeInterval{400};
};

class PartitionDetector
{
public:
    explicit PartitionDetector(PartitionParameters parameters = {});

    enum class Change {
        None,
        Began,
        Ended,
    };

    /** Sets the upstreams that should be reachable. Failures of others are forgotten. */
    void setUpstreams(std::vector<UpstreamRef> upstreams);
    /** Records that a connection which was begun at `startedAt` was not established. */
    [[nodiscard]] Change recordFailure(std::uint64_t upstream, MonoTime startedAt, MonoTime now);
    /** Records that a new connection was established. */
    [[nodiscard]] Change recordSuccess(MonoTime now);

    [[nodiscard]] bool isPartitioned() const;
    /** Returns the time at which the present partition was detected. */
    [[nodiscard]] std::optional<MonoTime> partitionedSince() const;
    /** Whether this instance was partitioned at any time since `time`. */
    [[nodiscard]] bool wasPartitionedSince(MonoTime time) const;
    /** Returns the time of the last established connection. */
    [[nodiscard]] MonoTime lastSuccessAt() const;
    /** Returns the upstreams that are out of reach. */
    [[nodiscard]] std::vector<std::uint64_t> failedUpstreams() const;
    /**
     * Returns up to `count` upstreams whose reachability tells most, without `except`: those that have not failed, and
     * among these those of services without a failure first.
     */
    [[nodiscard]] std::vector<std::uint64_t> probeTargets(
        std::size_t count, std::uint64_t except, MonoTime now, Random &random) const;
    [[nodiscard]] Milliseconds probeInterval() const;

private:
    [[nodiscard]] const UpstreamRef *find(std::uint64_t upstream) const;
    void forgetOldFailures(MonoTime now);
    /** Whether the failures since the last success show that no upstream can be reached. */
    [[nodiscard]] bool areFailuresConclusive() const;

    PartitionParameters m_parameters;
    std::vector<UpstreamRef> m_upstreams;
    // Upstreams that could not be reached since `m_lastSuccessAt`, with the time of the last failure.
    std::map<std::uint64_t, MonoTime> m_failures;
    // Connections that were established during the present partition since the last evidence of it.
    int m_successCount = 0;
    MonoTime m_lastSuccessAt{};
    std::optional<MonoTime> m_partitionedSince;
    // End of the last partition.
    std::optional<MonoTime> m_endedAt;
};

} // namespace magnolia::reachability

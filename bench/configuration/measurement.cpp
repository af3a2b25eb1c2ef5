// Counts calls per second of virtual time and takes the size of messages from their encoded form.
#include "measurement.h"

#include "peerlink/binarycodec.h"
#include "peerlink/envelopecodec.h"

#include <algorithm>
#include <ctime>
#include <functional>

namespace magnolia::bench
{

namespace
{

using testing::ConfigurationFleet;

constexpr Seconds settleTime{15};
constexpr Seconds startDuration{10};
constexpr int changesPerBurst = 20;
constexpr Milliseconds burstDuration{2'000};
/** 16,000 changes a day are 800 bursts of 20. */
constexpr Seconds burstInterval{108};
constexpr std::size_t ipAndUdpHeaderBytes = 28;

double cpuMicros()
{
    return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

/** Returns the size of an IP datagram with a typical message. */
std::size_t datagramBytes()
{
    configuration::ConfigurationMessage message;
    message.revision = Revision(1'000'000);
    message.watcher = InstanceId("entry-gt-central-1-17");
    peerlink::Envelope envelope;
    envelope.type = peerlink::MessageType::ConfigurationFetch;
    envelope.sender = message.watcher;
    envelope.recipient = message.watcher;
    envelope.payload = peerlink::encode(message);
    const auto encoded = peerlink::encodeEnvelope(envelope, {{{1, "a key for its size only"}}, 1});
    return encoded ? encoded->size() + ipAndUdpHeaderBytes : 0;
}

void scheduleBursts(ConfigurationFleet &fleet, Seconds duration)
{
    testing::Schedule &schedule = fleet.schedule();
    const MonoTime startedAt = schedule.now();
    for (Seconds offset{5}; offset + Seconds(15) < duration; offset += burstInterval) {
        for (int i = 0; i < changesPerBurst; ++i) {
            const Milliseconds offsetInBurst(
                schedule.random().below(static_cast<std::uint64_t>(burstDuration.count())));
            schedule.at(startedAt + offset + offsetInBurst, [&fleet] {
                fleet.publish(true);
            });
        }
    }
}

void stopService(ConfigurationFleet &fleet)
{
    for (std::size_t i = 0; i < fleet.service().replicas().size(); ++i) {
        fleet.service().setDown(i, true);
    }
}

void prepare(Scenario scenario, ConfigurationFleet &fleet, Seconds duration)
{
    fleet.publish(true);
    fleet.startAll();
    if (scenario != Scenario::StartAll) {
        fleet.schedule().runFor(settleTime);
    }
    if (scenario == Scenario::Bursts) {
        scheduleBursts(fleet, duration);
    }
    if (scenario == Scenario::ServiceDown) {
        stopService(fleet);
    }
}

} // namespace

std::string toString(Scenario scenario)
{
    switch (scenario) {
    case Scenario::Idle:
        return "idle";
    case Scenario::Bursts:
        return "bursts";
    case Scenario::ServiceDown:
        return "service down";
    case Scenario::StartAll:
        return "simultaneous start";
    }
    return "";
}

Measurement measure(Scenario scenario, const testing::FleetShape &shape, Seconds duration, std::uint64_t seed)
{
    ConfigurationFleet fleet(seed, shape);
    if (scenario == Scenario::StartAll) {
        duration = startDuration;
    }
    prepare(scenario, fleet, duration);
    const std::uint64_t callsBefore = fleet.service().callCount();
    const std::uint64_t messagesBefore = fleet.messageCount();
    const std::uint64_t fetchesBefore = fleet.fetchCount();
    const double cpuBefore = cpuMicros();
    Measurement result;
    for (Seconds second{0}; second < duration; ++second) {
        const std::uint64_t before = fleet.service().callCount();
        fleet.schedule().runFor(Seconds(1));
        result.maxCallsInOneSecond = std::max(result.maxCallsInOneSecond, fleet.service().callCount() - before);
    }
    const auto seconds = static_cast<double>(duration.count());
    const auto entries = static_cast<double>(fleet.nodes().size());
    result.entries = fleet.nodes().size();
    result.changes = fleet.publishCount();
    result.callsPerSecond = static_cast<double>(fleet.service().callCount() - callsBefore) / seconds;
    result.messagesPerEntrySecond = static_cast<double>(fleet.messageCount() - messagesBefore) / seconds / entries;
    result.bytesPerEntrySecond = result.messagesPerEntrySecond * static_cast<double>(datagramBytes());
    result.fetchesPerEntrySecond = static_cast<double>(fleet.fetchCount() - fetchesBefore) / seconds / entries;
    result.cpuMicrosPerEntrySecond = (cpuMicros() - cpuBefore) / seconds / entries;
    result.maxPropagationTime = fleet.maxPropagationTime();
    result.violations = fleet.violations().size();
    return result;
}

} // namespace magnolia::bench

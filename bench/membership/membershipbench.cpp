// Measures the cost and speed of the membership protocol by number of members. All members run in one process in
// virtual time; each message is actually encoded, put into an envelope and decoded.
#include "membership/testing/cluster.h"
#include "peerlink/binarycodec.h"
#include "peerlink/envelopecodec.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <exception>
#include <iostream>
#include <malloc.h>
#include <vector>

using namespace magnolia;
using namespace magnolia::membership;
using magnolia::membership::testing::Cluster;

namespace
{

/** IPv4 and UDP headers, which are sent with each datagram. */
constexpr std::size_t datagramHeaderBytes = 28;
const peerlink::PeerKeys keys{{{1, "a secret of thirty-two bytes ...."}}, 1};

struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::size_t maxMessageBytes = 0;
    std::uint64_t decodeFailures = 0;
};

struct Row
{
    std::size_t members = 0;
    Traffic steadyTraffic;
    Traffic churnTraffic;
    double steadySeconds = 0;
    double churnSeconds = 0;
    double steadyCpuSeconds = 0;
    std::vector<double> detectionSeconds;
    std::vector<double> leaveSeconds;
    double partitionHealSeconds = 0;
    double heapKilobytes = 0;
};

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double seconds(MonoTime::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double quantile(std::vector<double> values, double probability)
{
    if (values.empty()) {
        return std::nan("");
    }
    std::sort(values.begin(), values.end());
    const double index = probability * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(index))];
}

// Performs the encoding and decoding that sender and recipient do for one message outside the membership core.
void encodeAndDecode(const std::string &from, const OutgoingMessage &outgoing, Traffic &traffic)
{
    peerlink::Envelope envelope;
    envelope.sender = InstanceId(from);
    envelope.recipient = outgoing.to.instance;
    envelope.payload = peerlink::encode(outgoing.message);
    const auto encoded = peerlink::encodeEnvelope(envelope, keys);
    const auto received = peerlink::decodeEnvelope(*encoded, keys, 1400);
    if (!received || !peerlink::decode<MembershipMessage>(received->payload)) {
        ++traffic.decodeFailures;
    }
    ++traffic.messages;
    traffic.bytes += encoded->size() + datagramHeaderBytes;
    traffic.maxMessageBytes = std::max(traffic.maxMessageBytes, encoded->size());
}

void observeTraffic(Cluster &cluster, Traffic &traffic)
{
    cluster.setMessageObserver([&traffic](const std::string &from, const OutgoingMessage &outgoing) {
        encodeAndDecode(from, outgoing, traffic);
    });
}

bool runUntilConverged(Cluster &cluster)
{
    return cluster.runUntil(
        [&] {
            return cluster.isConverged();
        },
        Seconds(300));
}

void measureSteadyState(Cluster &cluster, Row &row)
{
    observeTraffic(cluster, row.steadyTraffic);
    const double cpuBefore = cpuSeconds();
    const MonoTime before = cluster.schedule().now();
    cluster.schedule().runFor(Seconds(60));
    row.steadyCpuSeconds = cpuSeconds() - cpuBefore;
    row.steadySeconds = seconds(cluster.schedule().now() - before);
}

void measureChurn(Cluster &cluster, Row &row, std::size_t restarts)
{
    observeTraffic(cluster, row.churnTraffic);
    const MonoTime before = cluster.schedule().now();
    for (std::size_t i = 0; i < restarts; ++i) {
        const auto nodes = cluster.runningNodes();
        const std::string &name = nodes[cluster.schedule().random().below(nodes.size())];
        cluster.crash(name);
        cluster.schedule().runFor(Seconds(10));
        cluster.start(name);
        cluster.schedule().runFor(Seconds(10));
    }
    row.churnSeconds = seconds(cluster.schedule().now() - before);
}

void measureDetection(Cluster &cluster, Row &row)
{
    const auto nodes = cluster.runningNodes();
    const std::string &name = nodes[cluster.schedule().random().below(nodes.size())];
    const MonoTime startedAt = cluster.schedule().now();
    const std::size_t first = cluster.changes().size();
    cluster.crash(name);
    cluster.schedule().runFor(Seconds(12));
    for (std::size_t i = first; i < cluster.changes().size(); ++i) {
        const auto &change = cluster.changes()[i];
        if (change.event.kind == EventKind::MemberChanged && change.event.subject == name
            && change.event.newState == PeerState::Dead) {
            row.detectionSeconds.push_back(seconds(change.at - startedAt));
        }
    }
    cluster.start(name);
    runUntilConverged(cluster);
    cluster.schedule().runFor(Seconds(30));
}

void measureLeave(Cluster &cluster, Row &row)
{
    const auto nodes = cluster.runningNodes();
    const std::string &name = nodes[cluster.schedule().random().below(nodes.size())];
    const MonoTime startedAt = cluster.schedule().now();
    announceLeave(cluster.state(name));
    cluster.runUntil(
        [&] {
            return cluster.isSeenByAll(name, PeerState::Leaving);
        },
        Seconds(30));
    row.leaveSeconds.push_back(seconds(cluster.schedule().now() - startedAt));
    cluster.crash(name);
    cluster.schedule().runFor(Seconds(10));
    cluster.start(name);
    runUntilConverged(cluster);
    cluster.schedule().runFor(Seconds(30));
}

void measurePartitionHealing(Cluster &cluster, Row &row)
{
    const auto nodes = cluster.runningNodes();
    cluster.network().partition({nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(nodes.size() / 2)});
    cluster.schedule().runFor(Seconds(120));
    cluster.network().heal();
    const MonoTime startedAt = cluster.schedule().now();
    const bool isHealed = runUntilConverged(cluster);
    row.partitionHealSeconds = isHealed ? seconds(cluster.schedule().now() - startedAt) : std::nan("");
}

// The heap of the whole program, including the test harness and its queue: an upper bound for the members.
double heapKilobytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1024;
}

Row measure(std::size_t members, std::uint64_t seed, std::size_t rounds)
{
    Row row;
    row.members = members;
    Cluster cluster(seed, members);
    cluster.startAll();
    cluster.schedule().runFor(Seconds(2));
    if (!runUntilConverged(cluster)) {
        std::cerr << "the membership did not converge with " << members << " members\n";
    }
    cluster.schedule().runFor(Seconds(120));
    row.heapKilobytes = heapKilobytes();
    measureSteadyState(cluster, row);
    cluster.setMessageObserver({});
    for (std::size_t i = 0; i < rounds; ++i) {
        measureDetection(cluster, row);
        measureLeave(cluster, row);
    }
    measureChurn(cluster, row, 6);
    cluster.setMessageObserver({});
    runUntilConverged(cluster);
    measurePartitionHealing(cluster, row);
    return row;
}

double perMemberAndSecond(std::uint64_t value, const Row &row, double duration)
{
    return static_cast<double>(value) / static_cast<double>(row.members) / duration;
}

void print(const Row &row)
{
    std::printf("%7zu | %8.2f %8.0f %8.0f %7.4f | %8.0f %7zu | %6.2f %6.2f | %6.2f %6.2f | %6.1f | %7.1f\n",
        row.members, perMemberAndSecond(row.steadyTraffic.messages, row, row.steadySeconds),
        perMemberAndSecond(row.steadyTraffic.bytes, row, row.steadySeconds),
        2 * perMemberAndSecond(row.steadyTraffic.bytes, row, row.steadySeconds),
        100 * row.steadyCpuSeconds / static_cast<double>(row.members) / row.steadySeconds,
        perMemberAndSecond(row.churnTraffic.bytes, row, row.churnSeconds),
        std::max(row.steadyTraffic.maxMessageBytes, row.churnTraffic.maxMessageBytes),
        quantile(row.detectionSeconds, 0.5), quantile(row.detectionSeconds, 0.95), quantile(row.leaveSeconds, 0.5),
        quantile(row.leaveSeconds, 1.0), row.partitionHealSeconds,
        row.heapKilobytes / static_cast<double>(row.members));
    std::fflush(stdout);
}

/** Returns the least-squares slope of the steady bytes sent per member and second over the number of members. */
double slope(const std::vector<Row> &rows)
{
    double meanX = 0;
    double meanY = 0;
    const auto y = [](const Row &row) {
        return perMemberAndSecond(row.steadyTraffic.bytes, row, row.steadySeconds);
    };
    for (const Row &row : rows) {
        meanX += static_cast<double>(row.members) / static_cast<double>(rows.size());
        meanY += y(row) / static_cast<double>(rows.size());
    }
    double numerator = 0;
    double denominator = 0;
    for (const Row &row : rows) {
        const double dx = static_cast<double>(row.members) - meanX;
        numerator += dx * (y(row) - meanY);
        denominator += dx * dx;
    }
    return denominator == 0 ? 0 : numerator / denominator;
}

int run(int argc, char **argv)
{
    cxxopts::Options options(
        "bench_membership", "Measures the cost and speed of the membership protocol by number of members");
    auto add = options.add_options();
    add("members", "numbers of members", cxxopts::value<std::vector<std::size_t>>()->default_value("3,9,30,100,330"));
    add("rounds", "number of measured crashes and leaves", cxxopts::value<std::size_t>()->default_value("10"));
    add("seed", "random seed of the simulation", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto arguments = options.parse(argc, argv);

    std::printf("members | steady, per member and second:     | restarts         | detection, s  | leave, s      |"
                " heal, s | heap KB\n");
    std::printf(
        "        | msg sent   B sent   B both  cpu %% |   B sent max msg | median    p95 | median    max |        |\n");
    std::vector<Row> rows;
    for (const std::size_t members : arguments["members"].as<std::vector<std::size_t>>()) {
        rows.push_back(measure(members, arguments["seed"].as<std::uint64_t>(), arguments["rounds"].as<std::size_t>()));
        print(rows.back());
    }
    std::printf("slope of bytes sent in the steady state: %.3f B/s per additional member\n", slope(rows));
    const bool hasNoDecodeFailures = std::all_of(rows.begin(), rows.end(), [](const Row &row) {
        return row.steadyTraffic.decodeFailures + row.churnTraffic.decodeFailures == 0;
    });
    return hasNoDecodeFailures ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &ex) {
        std::cerr << ex.what() << '\n';
        return 2;
    }
}

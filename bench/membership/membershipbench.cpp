// Cost and speed of the membership by number of members: cores in one process under a virtual clock, each message
// really encoded, authenticated, verified and decoded.
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

/** IPv4 and UDP headers, which the link sends beside each datagram. */
constexpr std::size_t datagramHeaderBytes = 28;
const peerlink::PeerKeys keys{{{1, "a secret of thirty-two bytes ...."}}, 1};

struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::size_t largest = 0;
    std::uint64_t failures = 0;
};

struct Row
{
    std::size_t members = 0;
    Traffic steady;
    Traffic churning;
    double steadySeconds = 0;
    double churningSeconds = 0;
    double steadyCpuSeconds = 0;
    std::vector<double> detection;
    std::vector<double> leaving;
    double healing = 0;
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

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return std::nan("");
    }
    std::sort(values.begin(), values.end());
    const double index = share * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(index))];
}

// Stands for what the sender and the recipient do with one message beside the core.
void passThroughLink(const std::string &from, const OutgoingMessage &outgoing, Traffic &traffic)
{
    peerlink::Envelope envelope;
    envelope.sender = InstanceId(from);
    envelope.recipient = outgoing.to.instance;
    envelope.payload = peerlink::encode(outgoing.message);
    const auto sealed = peerlink::encodeEnvelope(envelope, keys);
    const auto received = peerlink::decodeEnvelope(*sealed, keys, 1400);
    if (!received || !peerlink::decode<MembershipMessage>(received->payload)) {
        ++traffic.failures;
    }
    ++traffic.messages;
    traffic.bytes += sealed->size() + datagramHeaderBytes;
    traffic.largest = std::max(traffic.largest, sealed->size());
}

void countInto(Cluster &cluster, Traffic &traffic)
{
    cluster.setMessageObserver([&traffic](const std::string &from, const OutgoingMessage &outgoing) {
        passThroughLink(from, outgoing, traffic);
    });
}

bool converge(Cluster &cluster)
{
    return cluster.runUntil(
        [&] {
            return cluster.isConverged();
        },
        Seconds(300));
}

void measureSteady(Cluster &cluster, Row &row)
{
    countInto(cluster, row.steady);
    const double cpuBefore = cpuSeconds();
    const MonoTime before = cluster.schedule().now();
    cluster.schedule().runFor(Seconds(60));
    row.steadyCpuSeconds = cpuSeconds() - cpuBefore;
    row.steadySeconds = seconds(cluster.schedule().now() - before);
}

void measureChurn(Cluster &cluster, Row &row, std::size_t restarts)
{
    countInto(cluster, row.churning);
    const MonoTime before = cluster.schedule().now();
    for (std::size_t i = 0; i < restarts; ++i) {
        const auto nodes = cluster.runningNodes();
        const std::string &name = nodes[cluster.schedule().random().below(nodes.size())];
        cluster.crash(name);
        cluster.schedule().runFor(Seconds(10));
        cluster.start(name);
        cluster.schedule().runFor(Seconds(10));
    }
    row.churningSeconds = seconds(cluster.schedule().now() - before);
}

void measureDetection(Cluster &cluster, Row &row)
{
    const auto nodes = cluster.runningNodes();
    const std::string &name = nodes[cluster.schedule().random().below(nodes.size())];
    const MonoTime since = cluster.schedule().now();
    const std::size_t first = cluster.changes().size();
    cluster.crash(name);
    cluster.schedule().runFor(Seconds(12));
    for (std::size_t i = first; i < cluster.changes().size(); ++i) {
        const auto &change = cluster.changes()[i];
        if (change.event.kind == EventKind::MemberChanged && change.event.subject == name
            && change.event.newState == PeerState::Dead) {
            row.detection.push_back(seconds(change.at - since));
        }
    }
    cluster.start(name);
    converge(cluster);
    cluster.schedule().runFor(Seconds(30));
}

void measureLeaving(Cluster &cluster, Row &row)
{
    const auto nodes = cluster.runningNodes();
    const std::string &name = nodes[cluster.schedule().random().below(nodes.size())];
    const MonoTime since = cluster.schedule().now();
    announceLeave(cluster.state(name));
    cluster.runUntil(
        [&] {
            return cluster.isSeenByAll(name, PeerState::Leaving);
        },
        Seconds(30));
    row.leaving.push_back(seconds(cluster.schedule().now() - since));
    cluster.crash(name);
    cluster.schedule().runFor(Seconds(10));
    cluster.start(name);
    converge(cluster);
    cluster.schedule().runFor(Seconds(30));
}

void measureHealing(Cluster &cluster, Row &row)
{
    const auto nodes = cluster.runningNodes();
    cluster.network().partition({nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(nodes.size() / 2)});
    cluster.schedule().runFor(Seconds(120));
    cluster.network().heal();
    const MonoTime since = cluster.schedule().now();
    const bool isHealed = converge(cluster);
    row.healing = isHealed ? seconds(cluster.schedule().now() - since) : std::nan("");
}

// Of this whole program, the harness and its queue among it: an upper bound for the cores.
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
    if (!converge(cluster)) {
        std::cerr << "no convergence with " << members << " members\n";
    }
    cluster.schedule().runFor(Seconds(120));
    row.heapKilobytes = heapKilobytes();
    measureSteady(cluster, row);
    cluster.setMessageObserver({});
    for (std::size_t i = 0; i < rounds; ++i) {
        measureDetection(cluster, row);
        measureLeaving(cluster, row);
    }
    measureChurn(cluster, row, 6);
    cluster.setMessageObserver({});
    converge(cluster);
    measureHealing(cluster, row);
    return row;
}

double perMemberSecond(std::uint64_t value, const Row &row, double duration)
{
    return static_cast<double>(value) / static_cast<double>(row.members) / duration;
}

void print(const Row &row)
{
    std::printf("%7zu | %8.2f %8.0f %8.0f %7.4f | %8.0f %7zu | %6.2f %6.2f | %6.2f %6.2f | %6.1f | %7.1f\n",
        row.members, perMemberSecond(row.steady.messages, row, row.steadySeconds),
        perMemberSecond(row.steady.bytes, row, row.steadySeconds),
        2 * perMemberSecond(row.steady.bytes, row, row.steadySeconds),
        100 * row.steadyCpuSeconds / static_cast<double>(row.members) / row.steadySeconds,
        perMemberSecond(row.churning.bytes, row, row.churningSeconds),
        std::max(row.steady.largest, row.churning.largest), quantile(row.detection, 0.5), quantile(row.detection, 0.95),
        quantile(row.leaving, 0.5), quantile(row.leaving, 1.0), row.healing,
        row.heapKilobytes / static_cast<double>(row.members));
    std::fflush(stdout);
}

/** Least squares. */
double slope(const std::vector<Row> &rows)
{
    double meanX = 0;
    double meanY = 0;
    const auto y = [](const Row &row) {
        return perMemberSecond(row.steady.bytes, row, row.steadySeconds);
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
    cxxopts::Options options("bench_membership", "Cost and speed of the membership by number of members");
    auto add = options.add_options();
    add("members", "numbers of members", cxxopts::value<std::vector<std::size_t>>()->default_value("3,9,30,100,330"));
    add("rounds", "deaths and leavings measured", cxxopts::value<std::size_t>()->default_value("10"));
    add("seed", "seed of the schedule", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto arguments = options.parse(argc, argv);

    std::printf("members | steady, a member and second:       | restarts         | death seen, s | leaving, s    |"
                " heal, s | heap KB\n");
    std::printf(
        "        | msg sent   B sent   B both  cpu %% |   B sent max msg | median    p95 | median    max |        |\n");
    std::vector<Row> rows;
    for (const std::size_t members : arguments["members"].as<std::vector<std::size_t>>()) {
        rows.push_back(measure(members, arguments["seed"].as<std::uint64_t>(), arguments["rounds"].as<std::size_t>()));
        print(rows.back());
    }
    std::printf("slope of the steady bytes sent: %.3f B/s for each further member\n", slope(rows));
    const bool isSound = std::all_of(rows.begin(), rows.end(), [](const Row &row) {
        return row.steady.failures + row.churning.failures == 0;
    });
    return isSound ? 0 : 1;
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

// Runs the three modes on a pool of threads with small stacks.
#include "runner.h"

#include "caller.h"
#include "measures.h"

#include <nlohmann/json.hpp>
#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <thread>

namespace magnolia::load
{

namespace
{

constexpr int maxThreads = 6000;
constexpr int threadStackBytes = 128 * 1024;
constexpr int threadIdleSeconds = 60;
// Streams are started over this time, so that their tokens do not arrive all at once.
constexpr Milliseconds streamRampTime{1000};

MonoTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

/** A task for the thread pool that deletes itself after it has run. */
class SelfDeletingTask : public Poco::Runnable
{
public:
    explicit SelfDeletingTask(std::function<void()> action)
        : m_action(std::move(action))
    {
    }
    void run() override
    {
        const std::unique_ptr<SelfDeletingTask> self(this);
        m_action();
    }

private:
    std::function<void()> m_action;
};

/** Runs `action` on a free thread; returns false if there is none. */
bool startTask(Poco::ThreadPool &threads, std::function<void()> action)
{
    auto task = std::make_unique<SelfDeletingTask>(std::move(action));
    try {
        threads.start(*task);
        static_cast<void>(task.release());
        return true;
    } catch (const Poco::NoThreadAvailableException &) {
        return false;
    }
}

CallOptions makeCall(const RunOptions &options, const Target &target, std::uint64_t number, const Arrival &arrival)
{
    CallOptions call;
    call.address = target.addresses[number % target.addresses.size()];
    call.requestId = "load-" + std::to_string(options.seed) + "-" + target.name + "-" + std::to_string(number);
    call.organisation = options.organisationPrefix + std::to_string(arrival.organisation + 1);
    call.requestClass = arrival.promptTokens > longPromptThresholdTokens ? options.longClass : options.shortClass;
    call.model = options.model;
    call.promptTokens = arrival.promptTokens;
    call.maxTokens = options.maxTokens;
    call.promptNumber = number;
    return call;
}

nlohmann::json summarise(const RunOptions &options, const std::deque<Measures> &measures)
{
    nlohmann::json json{{"seed", options.seed}};
    for (std::size_t i = 0; i < options.targets.size(); ++i) {
        json["targets"][options.targets[i].name] = measures[i].toJson();
    }
    return json;
}

double median(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/** Runs streams one after another on the calling thread until `end`. */
void runStreamSlot(
    const RunOptions &options, std::size_t targetIndex, std::uint64_t slot, MonoTime end, Measures &measures)
{
    const std::uint64_t tokens = std::max(options.arrivals.fixedPromptTokens, minPromptTokens);
    for (std::uint64_t number = slot; monotonicNow() < end; number += options.count) {
        const Arrival arrival{Microseconds(0), tokens, slot % options.arrivals.organisations};
        CallOptions call = makeCall(options, options.targets[targetIndex], number, arrival);
        call.intendedStart = monotonicNow();
        measures.add(tokens, runCall(call));
    }
}

} // namespace

nlohmann::json runOpenLoop(const RunOptions &options)
{
    Random random(options.seed);
    const std::vector<Arrival> arrivals = makeArrivals(options.arrivals, random);
    std::deque<Measures> measures(options.targets.size());
    Poco::ThreadPool threads(16, maxThreads, threadIdleSeconds, threadStackBytes);
    const MonoTime begin = monotonicNow();
    for (std::uint64_t number = 0; number < arrivals.size(); ++number) {
        const Arrival &arrival = arrivals[number];
        const std::size_t targetIndex = number % options.targets.size();
        CallOptions call = makeCall(options, options.targets[targetIndex], number, arrival);
        call.intendedStart = begin + arrival.at;
        std::this_thread::sleep_until(call.intendedStart);
        Measures &target = measures[targetIndex];
        if (!startTask(threads, [call, &target] {
                target.add(call.promptTokens, runCall(call));
            })) {
            CallResult unsent;
            unsent.outcome = "unsent";
            target.add(call.promptTokens, unsent);
        }
    }
    threads.joinAll();
    nlohmann::json json = summarise(options, measures);
    json["arrivals"] = arrivals.size();
    return json;
}

nlohmann::json runStreams(const RunOptions &options)
{
    std::deque<Measures> measures(options.targets.size());
    Poco::ThreadPool threads(16, maxThreads, threadIdleSeconds, threadStackBytes);
    const MonoTime end = monotonicNow() + options.arrivals.duration;
    for (std::uint64_t slot = 0; slot < options.count; ++slot) {
        for (std::size_t i = 0; i < options.targets.size(); ++i) {
            startTask(threads, [&options, i, slot, end, &target = measures[i]] {
                runStreamSlot(options, i, slot, end, target);
            });
        }
        std::this_thread::sleep_for(Microseconds(streamRampTime) / options.count);
    }
    threads.joinAll();
    return summarise(options, measures);
}

nlohmann::json runPaired(const RunOptions &options)
{
    std::deque<Measures> measures(options.targets.size());
    std::vector<std::vector<double>> addedFirstTokenMs(options.targets.size());
    const Arrival arrival{Microseconds(0), std::max(options.arrivals.fixedPromptTokens, minPromptTokens), 0};
    for (std::uint64_t round = 0; round < options.count; ++round) {
        double baselineMs = 0;
        for (std::size_t i = 0; i < options.targets.size(); ++i) {
            CallOptions call = makeCall(options, options.targets[i], round, arrival);
            call.intendedStart = monotonicNow();
            const CallResult result = runCall(call);
            measures[i].add(call.promptTokens, result);
            if (result.outcome != "whole") {
                continue;
            }
            baselineMs = i == 0 ? result.firstTokenMs : baselineMs;
            addedFirstTokenMs[i].push_back(result.firstTokenMs - baselineMs);
        }
    }
    nlohmann::json json = summarise(options, measures);
    for (std::size_t i = 1; i < options.targets.size(); ++i) {
        json["targets"][options.targets[i].name]["added_first_token_ms_median"] = median(addedFirstTokenMs[i]);
    }
    return json;
}

} // namespace magnolia::load

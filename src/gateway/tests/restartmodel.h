// Model in virtual time of a fleet that restarts while the store is unavailable: attempts to read the store, transfers
// of the state between instances, and callers with one retry. It runs the decisions of the product.
#pragma once

#include "framework/global/random.h"
#include "framework/global/types/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnolia::gateway::tests
{

/** Behaviour of the store before it returns. */
enum class StoreFault {
    /** Calls are never answered, even after the return. */
    Silent,
    /** Calls are answered with 503. */
    Busy,
    /** Connections are reset. */
    Resets,
    /** Calls run but are never answered; after the return, one answer in five is still lost. */
    LosesAnswers,
};

struct RestartParameters
{
    std::size_t instances = 77;
    StoreFault fault = StoreFault::Silent;
    /** Time from the start of all instances to the return of the store. */
    Milliseconds outage{700};
    double stateBytes = 100'000;
    /** Bandwidth of each instance in each direction: 20 Mbit/s. */
    double linkBytesPerMs = 2500;
    /** Bandwidth of the store: 1 Gbit/s. */
    double storeBytesPerMs = 125'000;
    /** Whether the instances run the rules of the previous build: one call at a time, and no decision before a fetch.
     */
    bool isPreviousBuild = false;
    std::uint64_t seed = 1;
};

struct RestartResult
{
    /** Time from the start of all instances to the readiness of each. */
    std::vector<Milliseconds> readyAt;
    /** Calls to the store until all instances had an answer of their own, and the most in any second. */
    std::size_t storeCalls = 0;
    std::size_t maxStoreCallsPerSecond = 0;
    /** Calls to the store before its return. */
    std::size_t callsDuringOutage = 0;
    std::size_t transfers = 0;
    std::size_t refusedTransfers = 0;
};

[[nodiscard]] RestartResult runRestart(const RestartParameters &parameters);

} // namespace magnolia::gateway::tests

// All state of admission and routing in one entry, as plain data.
#pragma once

#include "admission/types/admissionparameters.h"
#include "limits/types/aimdlimit.h"
#include "limits/types/decayingsum.h"
#include "limits/types/retrybudget.h"
#include "observing/types/learnedrates.h"
#include "observing/types/ownworktable.h"
#include "routing/types/longpromptengines.h"
#include "routing/types/prefixhints.h"
#include "routing/types/routingrequest.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::admission
{

/** Requests that compete for the same capacity at the same time scale. */
enum class CapacityPool {
    Short,
    Long,
    Service,
};

/** Estimated cost in tokens (requests, for services) admitted lately, over a shorter and a longer window. */
struct PoolUsage
{
    limits::DecayingSum recent;
    limits::DecayingSum longTerm;
};

struct OrganisationUsage
{
    std::map<CapacityPool, PoolUsage> admitted;
};

/** Limit of own prefill without first token of one class, in tokens of prompts that do not count as long. */
struct ClassPrefillLimit
{
    limits::AimdLimit limit;
    Tokens pending;
    bool hasLimit = false;
};

/** When the speed that one pool sees was learned last, and when a request was let through to learn it. */
struct ProbeState
{
    std::optional<MonoTime> lastLearnedAt;
    std::optional<MonoTime> lastProbedAt;
};

/** What is sent to one model or service. */
struct TargetState
{
    routing::LongPromptEngines longPromptEngines;
    limits::DecayingSum shortTokens;
    limits::DecayingSum longTokens;
    /** Last request that does not count as long. */
    MonoTime lastAdmittedAt{};
    std::unordered_map<ClassId, ClassPrefillLimit> classes;
    std::map<CapacityPool, ProbeState> probeStates;
};

struct InFlightRequest
{
    routing::RoutingRequest request;
    /** One, or the members of a group. Invariant: never empty. */
    std::vector<UpstreamId> upstreams;
    MonoTime dispatchedAt{};
    MonoTime firstTokenAt{};
    Milliseconds predictedFirstToken{0};
    Tokens prefillAhead;
    /** Requests that were believed to be at the upstream before. */
    std::uint32_t requestsAhead = 0;
    bool hasFirstToken = false;
};

struct AdmissionState
{
    AdmissionParameters parameters;
    observing::LearnedRates rates;
    observing::OwnWorkTable ownWork;
    routing::PrefixHintTable prefixHints;
    limits::RetryBudget retryBudget;
    std::unordered_map<std::string, TargetState> targets;
    std::unordered_map<OrganisationId, OrganisationUsage> organisations;
    // Invariant: a request stands here exactly while the ledger of own work has it.
    std::unordered_map<RequestId, InFlightRequest> inFlight;
    std::uint64_t roundRobinCursor = 0;
    MonoTime lastCleanupAt{};
};

} // namespace magnolia::admission

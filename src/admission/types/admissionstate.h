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

/** Kinds of requests; those of one kind compete for the same capacity on the same time scale. */
enum class CapacityPool {
    Short,
    Long,
    Service,
};

/** Recently admitted cost in tokens (in requests for services), over a shorter and a longer window. */
struct PoolUsage
{
    limits::DecayingSum recent;
    limits::DecayingSum longTerm;
};

struct OrganisationUsage
{
    std::map<CapacityPool, PoolUsage> admitted;
};

/** Adaptive limit on the short prompts of one class that wait for their first token, in tokens. */
struct ClassPrefillLimit
{
    limits::AimdLimit limit;
    Tokens pending;
    bool hasLimit = false;
};

/** When the speed for one pool was last learned, and when a request was last admitted as a probe to learn it. */
struct ProbeState
{
    std::optional<MonoTime> lastLearnedAt;
    std::optional<MonoTime> lastProbedAt;
};

/** Admission state of one model or service. */
struct TargetState
{
    routing::LongPromptEngines longPromptEngines;
    limits::DecayingSum shortTokens;
    limits::DecayingSum longTokens;
    /** When a request of any pool was last admitted. */
    MonoTime lastAdmittedAt{};
    std::unordered_map<ClassId, ClassPrefillLimit> classes;
    std::map<CapacityPool, ProbeState> probeStates;
};

struct InFlightRequest
{
    routing::RoutingRequest request;
    /** The chosen upstream, or the members of the group. Invariant: never empty. */
    std::vector<UpstreamId> upstreams;
    MonoTime dispatchedAt{};
    MonoTime firstTokenAt{};
    Milliseconds predictedFirstToken{0};
    Tokens prefillAhead;
    /** Requests estimated to be at the upstream at dispatch. */
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
    // Invariant: contains exactly the requests that `ownWork` contains.
    std::unordered_map<RequestId, InFlightRequest> inFlight;
    std::uint64_t roundRobinCursor = 0;
    MonoTime lastCleanupAt{};
};

} // namespace magnolia::admission

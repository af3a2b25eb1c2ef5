// Names of the header fields that callers and upstreams use; the deployment's adapter fills them in.
#pragma once

#include <string>

namespace magnolia::gateway
{

struct WireNames
{
    std::string requestId;
    /** Milliseconds for which the sender waits. */
    std::string deadline;
    std::string authorization;
    std::string keyScheme;
    /** Set by the system, whatever the caller sent. */
    std::string organisation;
    /** Id of the upstream that is meant; any other refuses. */
    std::string expectedUpstream;
    /** "PROMPT,MOST OUTPUT" in tokens. */
    std::string tokenUsage;
    /** The caller's estimate of output tokens. */
    std::string outputEstimate;
    std::string lastEventId;
    /** 0 to 9, where 0 is first. */
    std::string enginePriority;
    /** Engines that read parts of the prompt: "ADDRESS" or "ADDRESS/TICKET", separated by commas. */
    std::string helpers;
    /** Present where the upstream did not run the request. */
    std::string notExecuted;
    /** Proves that a success is the upstream's. */
    std::string signature;
    /** Address of the upstream at fault, where one engine speaks of another. */
    std::string upstreamAtFault;
    std::string retryAfter;
    /** "RUNNING,WAITING,SLOTS" of the upstream that answers. */
    std::string upstreamLoad;
};

/** Paths of the calls that are not requests of callers. */
struct WirePaths
{
    /** Answers 200 while the instance takes callers. */
    std::string ready;
    /** Answers which addresses callers should use. */
    std::string locate;
    /** Takes orders at an engine. */
    std::string engineOrder;
};

} // namespace magnolia::gateway

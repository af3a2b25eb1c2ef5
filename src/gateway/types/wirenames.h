// Names of the header fields that callers and upstreams use. The deployment's adapter fills them in.
#pragma once

#include <string>

namespace magnolia::gateway
{

struct WireNames
{
    std::string requestId;
    /** Time in milliseconds for which the sender waits for the response. */
    std::string deadline;
    std::string authorization;
    std::string keyScheme;
    /** Always set by the gateway; a value sent by the caller is dropped. */
    std::string organisation;
    /** Id of the intended upstream. Any other upstream refuses the request. */
    std::string expectedUpstream;
    /** Name of the model that the caller asks for. */
    std::string model;
    /** "PROMPT,MAX_OUTPUT" in tokens. */
    std::string tokenUsage;
    /** The caller's estimate of the number of output tokens. */
    std::string outputEstimate;
    /** The parts of the prompt in order, "ID:TOKENS" each, separated by commas. */
    std::string promptParts;
    std::string lastEventId;
    /** Priority from 0 (highest) to 9 (lowest). */
    std::string enginePriority;
    /** Comma-separated list of engines that prefill parts of the prompt: "ADDRESS" or "ADDRESS/RESERVATION". */
    std::string helpers;
    /** Present when the upstream did not execute the request. */
    std::string notExecuted;
    /** Proves that a success response comes from the upstream. */
    std::string signature;
    /** Address of the upstream at fault when an engine reports a fault of another engine. */
    std::string upstreamAtFault;
    std::string retryAfter;
    /** Load of the responding upstream: "RUNNING,WAITING,SLOTS". */
    std::string upstreamLoad;
    /** "1" when the responding upstream is leaving. */
    std::string upstreamLeaving;
    /** Requests per second that the responding upstream takes of all instances together, as a decimal number. */
    std::string upstreamLimit;
    /** Milliseconds for which the responding upstream stays cold. */
    std::string upstreamCold;
};

/** Paths of control requests and of orders to engines. */
struct WirePaths
{
    /** Returns 200 while the instance accepts callers. */
    std::string ready;
    /** Returns the addresses that callers should use. */
    std::string locate;
    /** Endpoint of an engine that accepts orders. */
    std::string engineOrder;
    /** Query parameters of `locate`: host of the requests, and region and data centre of the caller. */
    std::string locateHost;
    std::string locateRegion;
    std::string locateDataCentre;
};

} // namespace magnolia::gateway

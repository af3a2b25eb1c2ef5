// A published route: the requests it matches, their time limits and their destinations.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <string>
#include <vector>

namespace magnolia::catalogue
{

/** Response type of a route, and whether its requests may run more than once. */
enum class RouteKind {
    /** A plain response; may run any number of times. */
    Idempotent,
    /** A plain response; may run at most once. */
    AtMostOnce,
    /** An event stream; may run at most once unless the route is resumable. */
    Stream,
};

struct Destination
{
    std::string service;
    /** Share of the route's requests, relative to its other destinations. */
    double weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RouteKind kind = RouteKind::AtMostOnce;
    /** Maximum total time of a request. */
    Milliseconds timeout{10'000};
    /** Target time from arrival to the response, or to the first event of a stream. */
    Milliseconds latencyTarget{1000};
    /** Target for the longest gap between two events of a stream; 0 for plain responses. */
    Milliseconds gapTarget{0};
    /** 0 is the most urgent. */
    int priority = 5;
    std::vector<Destination> destinations;
    /** Regions whose upstreams may run the requests; empty if all may. */
    std::vector<RegionId> homes;
    /** Maximum number of upstreams on which one request may run. */
    int maxAttempts = 1;
    /** Requests need no API key. */
    bool isPublic = false;
    /** A broken stream may be continued on another upstream after the last event delivered. */
    bool isResumable = false;

    /** Whether a request may be sent again when it is unknown if it has already run. */
    [[nodiscard]] bool isRepeatable() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
    }
};

} // namespace magnolia::catalogue

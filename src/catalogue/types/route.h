// One published route: which requests it takes, and what they may expect.
#pragma once

#include "framework/global/types/time.h"

#include <string>
#include <vector>

namespace magnolia::catalogue
{

/** What may be done with a request more than once. */
enum class RouteKind {
    /** A plain answer; may run any number of times. */
    Idempotent,
    /** A plain answer; may run at most once. */
    AtMostOnce,
    /** A series of events; may run at most once unless the route is resumable. */
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
    /** Longest time for which a caller is kept waiting. */
    Milliseconds timeout{10'000};
    /** Time within which an answer, or the first event of a stream, is on time. */
    Milliseconds latencyTarget{1000};
    /** Longest pause between events that is still on time; 0 for plain answers. */
    Milliseconds gapTarget{0};
    /** 0 is the most urgent. */
    int priority = 5;
    std::vector<Destination> destinations;
    /** Upstreams that one request may be sent to. */
    int maxAttempts = 1;
    /** Needs no key. */
    bool isPublic = false;
    /** A stream may go on at another upstream after its last event. */
    bool isResumable = false;

    /** Whether a request may be sent again after it may have run. */
    [[nodiscard]] bool isRepeatable() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable);
    }
};

} // namespace magnolia::catalogue

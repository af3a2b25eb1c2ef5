// Decides when an instance that has never had an answer of the store tries to read it.
//
// Answers the load of a fleet whose instances all start while the store is unavailable. Each attempt has a cost, also
// if it is refused or not answered, so all instances together make about ten attempts per second. An instance that
// hears from a peer that the store answers again reads it soon after, spread over a short time. It does no I/O: time
// and random numbers are passed in.
#pragma once

#include "framework/global/random.h"
#include "framework/global/types/time.h"

#include <cstddef>

namespace magnolia::published
{

struct StartupReadParameters
{
    /** Mean time between two attempts of the whole fleet while no instance has had an answer. */
    Milliseconds fleetInterval{100};
    /** Mean time between two attempts of one instance, however small the fleet is. */
    Milliseconds minInterval{250};
    /** Minimum time between two attempts of one instance. */
    Milliseconds minGap{100};
    /**
     * Mean time between the first reads of two instances after the store has answered a peer: 1,000 reads per second,
     * half of what small deployments allow.
     */
    Milliseconds answeringSpread{1};
    /** Mean time between two attempts of the whole fleet while the store answers peers but not these instances. */
    Milliseconds answeringFleetInterval{5};
    /** Time after which an answer that a peer had no longer counts. */
    Milliseconds answeringTime{2500};
};

class StartupReadSchedule
{
public:
    explicit StartupReadSchedule(StartupReadParameters parameters = {});

    /** Records that an attempt begins now. */
    void onAttempt(MonoTime now, Random &random);
    /**
     * Records that the store has answered a peer at the time `at`. Returns whether that is news, so that the next
     * attempt may be due earlier.
     */
    bool onPeerAnswered(MonoTime at, MonoTime now, Random &random);

    /** Returns the time of the next attempt in a fleet of `instances`, including this one. */
    [[nodiscard]] MonoTime dueAt(std::size_t instances, MonoTime now) const;
    /** Whether the store has answered a peer within `answeringTime`. */
    [[nodiscard]] bool isAnsweringPeers(MonoTime now) const;

private:
    StartupReadParameters m_parameters;
    bool m_hasAttempted = false;
    MonoTime m_attemptedAt{};
    // Time to the next attempt as a multiple of the mean. The mean is applied when asked: after a start the fleet that
    // an instance knows grows within the first second.
    double m_intervalFactor = 0;
    MonoTime m_peerAnsweredAt{};
    // Set from the news that the store answers peers until the next attempt.
    bool m_hasNews = false;
    MonoTime m_newsAt{};
    double m_newsFactor = 0;
};

} // namespace magnolia::published

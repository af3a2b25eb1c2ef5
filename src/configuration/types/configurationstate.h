// State of the configuration distribution of one instance.
#pragma once

#include "configuration/types/configurationparameters.h"
#include "configuration/types/digestedsnapshot.h"
#include "framework/global/random.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace magnolia::configuration
{

/** Identity of this instance, and the number of service replicas that it can call. */
struct Self
{
    InstanceId id;
    DataCentreId dataCentre;
    // Invariant: not zero.
    std::size_t replicas = 1;
};

struct KnownPeer
{
    DataCentreId dataCentre;
    /** Weight in the election of watchers; the highest weights win. */
    std::uint64_t weight = 0;
    /** Latest revision that the peer reported. */
    Revision revision;
    std::uint64_t digest = 0;
    MonoTime avoidFetchUntil{};
    bool isQueriedInCatchUp = false;
    bool hasAnsweredCatchUp = false;
    bool isDivergenceReported = false;
};

/** State of this instance's calls to the service. */
struct ServiceCalls
{
    // Invariant: at most one call is in flight.
    bool isInFlight = false;
    std::uint64_t callId = 0;
    MonoTime startedAt{};
    /** Wait time of the call in flight. */
    Milliseconds wait{0};
    /** Earliest start of the next call. */
    MonoTime nextAt{};
    std::uint32_t consecutiveFailures = 0;
    /** Whether the service has been unreachable since its last answer. */
    bool isServiceLost = false;
    /** Number of announcements of the loss to the data centre so far. */
    std::uint32_t lossAnnouncements = 0;
    MonoTime nextLossAnnouncementAt{};
    std::size_t replica = 0;
    /** Last offer below the current revision that was reported. */
    Revision lastReportedStale;
};

/** The instance of the own data centre that last reached the service, and when. */
struct WatcherContact
{
    InstanceId watcher;
    MonoTime reachedAt{};
};

struct PeerFetch
{
    /** Peer of the fetch in flight; empty if there is none. */
    std::optional<InstanceId> from;
    MonoTime startedAt{};
    MonoTime nextAt{};
    /** The last delta did not apply, so the next request asks for the full snapshot. */
    bool isFullSnapshotNeeded = false;
};

/** Queries peers for their revision at start and after a pause. The instance is not ready while this is active. */
struct CatchUp
{
    bool isActive = false;
    std::uint64_t queryId = 0;
    MonoTime startedAt{};
    MonoTime nextQueryAt{};
    bool hasServiceAnswered = false;
};

struct ConfigurationState
{
    ConfigurationState(Self localInstance, ConfigurationParameters initialParameters, std::uint64_t seed)
        : self(std::move(localInstance))
        , parameters(initialParameters)
        , random(seed)
    {
    }

    Self self;
    ConfigurationParameters parameters;
    Random random;

    /** Current snapshot; null if there is none yet. Invariant: it is valid, and its revision never decreases. */
    std::shared_ptr<const DigestedSnapshot> current;
    /** Previous snapshots, latest first. Invariant: at most historyLength. */
    std::deque<std::shared_ptr<const DigestedSnapshot>> history;
    /** Digests of the revisions above the current one that failed validation. */
    std::map<Revision, std::uint64_t> rejected;

    // Invariant: contains live peers only, and not this instance.
    std::map<InstanceId, KnownPeer> peers;
    bool arePeersKnown = false;
    /** Whether this instance is one of the watchers of its data centre. */
    bool isElected = false;

    ServiceCalls calls;
    std::optional<WatcherContact> watcherContact;
    /** Time of the latest message from any peer. */
    MonoTime lastMessageAt{};
    /** When to start calling the service as a fallback watcher; empty if there is no need. */
    std::optional<MonoTime> fallbackStartAt;
    PeerFetch fetch;
    CatchUp catchUp;
    MonoTime nextExchangeAt{};
    MonoTime lastActiveAt{};
};

} // namespace magnolia::configuration

// The state of the distribution of the configuration at one instance.
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

/** Who this instance is. */
struct Self
{
    InstanceId id;
    DataCentreId dataCentre;
    /** Replicas of the configuration service. Invariant: not zero. */
    std::size_t replicas = 1;
};

struct KnownPeer
{
    DataCentreId dataCentre;
    /** Weight in the choice of watchers; higher is chosen first. */
    std::uint64_t weight = 0;
    /** The latest that it told. */
    Revision revision;
    std::uint64_t digest = 0;
    MonoTime avoidFetchUntil{};
    bool isQueriedInCatchUp = false;
    bool hasAnsweredCatchUp = false;
    bool isDivergenceReported = false;
};

/** This instance's own calls of the service. */
struct ServiceCalls
{
    // Invariant: at most one call is under way.
    bool isInFlight = false;
    std::uint64_t callId = 0;
    MonoTime startedAt{};
    /** Of the call under way. */
    Milliseconds wait{0};
    MonoTime nextAt{};
    std::uint32_t consecutiveFailures = 0;
    /** The service is out of reach since its last answer. */
    bool isServiceLost = false;
    /** How often the data centre was told so, and when to tell it again. */
    std::uint32_t lossAnnouncements = 0;
    MonoTime nextLossAnnouncementAt{};
    std::size_t replica = 0;
    /** The latest offer below the revision in force that was reported. */
    Revision lastReportedStale;
};

/** Who of the own data centre was last heard to reach the service. */
struct WatcherContact
{
    InstanceId watcher;
    MonoTime reachedAt{};
};

struct PeerFetch
{
    // Invariant: at most one fetch is under way; empty: none.
    std::optional<InstanceId> from;
    MonoTime startedAt{};
    MonoTime nextAt{};
    /** A difference did not fit, so the next request asks for everything. */
    bool isFullSnapshotNeeded = false;
};

/** Asking peers for their revision, at start and after a pause. The instance is not ready while it is open. */
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
    ConfigurationState(Self me, ConfigurationParameters tuning, std::uint64_t seed)
        : self(std::move(me))
        , parameters(tuning)
        , random(seed)
    {
    }

    Self self;
    ConfigurationParameters parameters;
    Random random;

    /** In force; null: none yet. Invariant: its revision never falls, and it has passed its check. */
    std::shared_ptr<const DigestedSnapshot> current;
    /** Earlier ones in force, latest first. Invariant: at most historyLength. */
    std::deque<std::shared_ptr<const DigestedSnapshot>> history;
    /** Revisions above the one in force that failed their check, with their digests. */
    std::map<Revision, std::uint64_t> rejected;

    // Invariant: alive peers only, without this instance.
    std::map<InstanceId, KnownPeer> peers;
    bool arePeersKnown = false;
    /** Whether this instance is one of the data centre's watchers. */
    bool isElected = false;

    ServiceCalls calls;
    std::optional<WatcherContact> watcherContact;
    /** Latest message of any peer. */
    MonoTime lastMessageAt{};
    /** When to begin calling the service without being a watcher; empty: no need is seen. */
    std::optional<MonoTime> fallbackStartAt;
    PeerFetch fetch;
    CatchUp catchUp;
    MonoTime nextExchangeAt{};
    MonoTime lastActiveAt{};
};

} // namespace magnolia::configuration

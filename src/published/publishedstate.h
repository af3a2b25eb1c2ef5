// The published state as far as this instance knows it: the newest configuration, the upstreams and the evacuations of
// data centres.
//
// It does no I/O: items from the store or from peers, and the time, are passed in. The state never goes back: a
// configuration of a lower version or an item of a lower position changes nothing. That also holds where the store
// itself has come back from an older copy: what it lost is written to it again.
#pragma once

#include "catalogue/types/catalogue.h"
#include "catalogue/types/upstreamentry.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "published/iitemdecoder.h"
#include "published/types/storeitem.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnolia::published
{

struct PublishedStateParameters
{
    /**
     * Time after the store is reachable again in which live upstreams renew the leases that expired meanwhile; until
     * then a missing entry does not count as removed. The specified bound is about two seconds.
     */
    Milliseconds leaseGrace{2000};
    /**
     * Time for which a removed run of an upstream that an older copy of the store has again is not used. The lease of
     * one that is gone expires meanwhile.
     */
    Milliseconds restoredEntryDelay{5000};
    /**
     * Time for which an evacuation that an older copy of the store lacks remains active. The operator's item is written
     * again meanwhile.
     */
    Milliseconds lostEvacuationHold{5000};
};

class PublishedState
{
public:
    struct UpstreamRecord
    {
        catalogue::UpstreamEntry entry;
        StoreItem item;
        /** Removal time of an entry that is missing from the store, but whose lease may only have expired. */
        std::optional<MonoTime> removeAt;
        /** Position at which the entry was missing; set with `removeAt`. */
        StorePosition missingAt;
        /** Time until which the upstream is cold by its entry. */
        MonoTime coldUntil{};
    };

    struct Evacuation
    {
        /** Position of the item that requests the evacuation. */
        StorePosition position;
        /** End of an evacuation whose item a read of a later era of the store did not return. */
        std::optional<MonoTime> endsAt;
        /** Position of that read; set with `endsAt`. */
        StorePosition missingAt;
    };
    struct EvacuationEnd
    {
        DataCentreId dataCentre;
        StorePosition position;
    };

    /** The parts of the state that a change has affected. */
    struct ChangeFlags
    {
        bool hasNewConfiguration = false;
        /** Does not tell that the cold time of an upstream has gone on. */
        bool hasChangedUpstreams = false;
        /** An entry was written by an upstream that is cold. */
        bool hasColdUpstreams = false;
        bool hasChangedEvacuations = false;

        void add(const ChangeFlags &other);
    };

    PublishedState(const IItemDecoder &decoder, PublishedStateParameters parameters = {});

    /** Applies one change from the store or a peer. */
    ChangeFlags apply(const StoreItem &item, MonoTime now);
    /** Applies the whole content of the store at `position`; known upstreams that are not in it are removed. */
    ChangeFlags applyAll(const std::vector<StoreItem> &items, const StorePosition &position, MonoTime now);
    /**
     * Applies a statement of a peer about one evacuation. Unlike apply(), it does not raise position(), since the
     * peer's other changes up to there are not known.
     */
    ChangeFlags applyEvacuation(
        const DataCentreId &dataCentre, const StorePosition &position, bool isEnded, MonoTime now);
    /** Starts the lease grace when the store answers again after a failure. */
    void onStoreReconnected(MonoTime now);
    /**
     * Removes missing entries whose lease grace has ended and evacuations that the store has lost, and adds restored
     * entries that have outlived their leases.
     */
    ChangeFlags removeExpired(MonoTime now);

    [[nodiscard]] std::shared_ptr<const catalogue::Catalogue> configuration() const;
    [[nodiscard]] const std::map<std::string, UpstreamRecord> &upstreams() const;
    /** Returns the evacuations in force. */
    [[nodiscard]] const std::map<DataCentreId, Evacuation> &evacuations() const;
    /** Returns the evacuations that have ended, with the position of the end, the last ends first. */
    [[nodiscard]] std::vector<EvacuationEnd> endedEvacuations() const;
    /** Returns all known items, including removals, for a peer that lacks some of them. */
    [[nodiscard]] std::vector<StoreItem> items() const;
    /** Returns the highest position of all applied changes. */
    [[nodiscard]] StorePosition position() const;
    /** Returns whether the whole state at some position is known. */
    [[nodiscard]] bool isComplete() const;
    /** Marks the state as complete at `position` after the snapshot of a peer was applied. */
    void setComplete(const StorePosition &position);

private:
    ChangeFlags applyItem(const StoreItem &item, MonoTime now);
    /** Whether the item of an upstream was removed before the latest position at which the whole state was known. */
    [[nodiscard]] bool isKnownAsAbsent(const StoreItem &item) const;
    ChangeFlags applyConfiguration(const StoreItem &item);
    ChangeFlags applyUpstream(const StoreItem &item, MonoTime now);
    ChangeFlags removeUpstream(const std::string &key, const StorePosition &position, MonoTime now);
    void recordRemoval(const std::string &key, const StorePosition &position, std::uint64_t startedAt);
    ChangeFlags endEvacuation(const DataCentreId &dataCentre, const StorePosition &position);
    ChangeFlags endMissingEvacuations(
        const std::set<std::string> &present, const StorePosition &position, MonoTime now);
    /** Whether the entry is of a run that was removed in an earlier era, and has not been written since. */
    [[nodiscard]] bool isRestored(const StoreItem &item, const catalogue::UpstreamEntry &entry) const;

    const IItemDecoder &m_decoder;
    PublishedStateParameters m_parameters;
    std::shared_ptr<const catalogue::Catalogue> m_configuration;
    std::optional<StoreItem> m_configurationItem;
    std::map<std::string, UpstreamRecord> m_upstreams;
    struct Removal
    {
        StorePosition position;
        /** Start time of the removed run; 0 if it is not known. */
        std::uint64_t startedAt = 0;
    };
    struct RestoredItem
    {
        StoreItem item;
        MonoTime usableFrom{};
    };
    // Removed keys; an item at or below the position of its removal is not applied again.
    std::map<std::string, Removal> m_removals;
    // Items of removed runs that an older copy of the store has again; see `restoredEntryDelay`.
    std::map<std::string, RestoredItem> m_restored;
    std::map<DataCentreId, Evacuation> m_evacuations;
    // Ends of evacuations; an item at or below the position of its end does not start the evacuation again.
    std::map<DataCentreId, StorePosition> m_evacuationEnds;
    // Position of the last full read of the store by this instance.
    std::optional<StorePosition> m_readPosition;
    MonoTime m_leaseGraceUntil{};
    // Latest position at which the whole state was known. What was written up to there and is not known has been
    // removed. It may be lower than `m_position`: changes after it are known one by one.
    std::optional<StorePosition> m_completePosition;
    StorePosition m_position;
};

} // namespace magnolia::published

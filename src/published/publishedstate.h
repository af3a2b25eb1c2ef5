// The published state as far as this instance knows it: the newest configuration and the upstreams.
//
// It does no I/O: items from the store or from peers, and the time, are passed in. The state never goes back: a
// configuration of a lower version or an item of a lower revision changes nothing.
#pragma once

#include "catalogue/types/catalogue.h"
#include "catalogue/types/upstreamentry.h"
#include "framework/global/types/time.h"
#include "published/iitemdecoder.h"
#include "published/types/storeitem.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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
    };

    /** The parts of the state that a change has affected. */
    struct ChangeFlags
    {
        bool hasNewConfiguration = false;
        bool hasChangedUpstreams = false;

        void add(const ChangeFlags &other);
    };

    PublishedState(const IItemDecoder &decoder, PublishedStateParameters parameters = {});

    /** Applies one change from the store or a peer. */
    ChangeFlags apply(const StoreItem &item, MonoTime now);
    /** Applies the whole content of the store at `revision`; known upstreams that are not in it are removed. */
    ChangeFlags applyAll(const std::vector<StoreItem> &items, std::uint64_t revision, MonoTime now);
    /** Starts the lease grace when the store answers again after a failure. */
    void onStoreReconnected(MonoTime now);
    /** Removes missing entries whose lease grace has ended. */
    ChangeFlags removeExpired(MonoTime now);

    [[nodiscard]] std::shared_ptr<const catalogue::Catalogue> configuration() const;
    [[nodiscard]] const std::map<std::string, UpstreamRecord> &upstreams() const;
    /** Returns all known items, including removals, for a peer that lacks some of them. */
    [[nodiscard]] std::vector<StoreItem> items() const;
    /** Returns the highest revision of all applied changes. */
    [[nodiscard]] std::uint64_t revision() const;
    /** Returns whether the whole state at some revision is known. */
    [[nodiscard]] bool isComplete() const;
    /** Marks the state as complete at `revision` after the snapshot of a peer was applied. */
    void setComplete(std::uint64_t revision);

private:
    ChangeFlags applyConfiguration(const StoreItem &item);
    ChangeFlags applyUpstream(const StoreItem &item, MonoTime now);
    ChangeFlags removeUpstream(const std::string &key, std::uint64_t revision, MonoTime now);

    const IItemDecoder &m_decoder;
    PublishedStateParameters m_parameters;
    std::shared_ptr<const catalogue::Catalogue> m_configuration;
    std::optional<StoreItem> m_configurationItem;
    std::map<std::string, UpstreamRecord> m_upstreams;
    // Removed keys; an item at or below the revision of its removal is not applied again.
    std::map<std::string, std::uint64_t> m_removedRevisions;
    MonoTime m_leaseGraceUntil{};
    std::uint64_t m_revision = 0;
    bool m_isComplete = false;
};

} // namespace magnolia::published

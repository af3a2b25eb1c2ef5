// State that the fleet link requests from its instance, and events that it reports to it.
#pragma once

#include "fleet/types/extensionmessage.h"
#include "fleet/types/peermessage.h"
#include "fleet/types/rejectreason.h"
#include "framework/global/error.h"
#include "framework/global/types/time.h"
#include "published/types/storeitem.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::fleet
{

/** State of this instance that is sent to peers or decides whether it fetches a snapshot. */
struct OwnState
{
    bool isReady = false;
    bool isLeaving = false;
    /** Whether this instance can reach no upstream. */
    bool isPartitioned = false;
    std::uint64_t configurationVersion = 0;
    published::StorePosition storePosition;
    /** Whether this instance reads the store itself and so needs no snapshot from peers. */
    bool isStoreConnected = false;
    /** Whether the whole published state was read at least once. */
    bool isComplete = false;
    /** Time of the last answer of the store. */
    MonoTime storeAnsweredAt{};
    /** Latest time at which a call of this instance showed that it knew all that the store had. */
    MonoTime storeConfirmedAt{};
};

/** The published state as far as one instance knows it. */
struct Snapshot
{
    published::StorePosition position;
    bool isComplete = false;
    std::vector<published::StoreItem> items;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(position, isComplete, items);
    }
};

class IFleetDelegate
{
public:
    virtual ~IFleetDelegate() = default;

    [[nodiscard]] virtual OwnState ownState() const = 0;
    [[nodiscard]] virtual std::vector<PlacementRecord> ownPlacements() const = 0;
    /** Returns what instances that have just started or missed a report need to know. */
    [[nodiscard]] virtual std::vector<QuarantineRecord> ownQuarantine() const = 0;
    [[nodiscard]] virtual Snapshot snapshot() const = 0;

    /** Called for each accepted message of a peer. */
    virtual void onPeerMessage(const PeerMessage &message) = 0;
    /** Called with the published state that a peer sent on request. */
    virtual void onSnapshot(const Snapshot &snapshot) = 0;
    /** Called when a peer states that the store had nothing after `position` at the time `at`. */
    virtual void onStoreConfirmed(const published::StorePosition &position, MonoTime at) = 0;
    /** Called when a peer has restarted: its earlier placements have ended. Silence alone is not reported, as the work
     * of a peer goes on if only its datagrams are lost. */
    virtual void onPeerLost(const std::string &instance) = 0;

    /** Returns the current state of the parts, which each full extension message includes. */
    [[nodiscard]] virtual std::vector<ExtensionRecord> ownExtensionRecords() const
    {
        return {};
    }
    /** Called with the records of an extension message of a known run of a peer; unknown tags are to be skipped. */
    virtual void onExtensionRecords(const std::string & /*instance*/, const std::vector<ExtensionRecord> & /*records*/)
    {
    }
    /** Called for each datagram that is sent, with the format that its second byte states. */
    virtual void onDatagramSent(std::uint8_t /*format*/, std::size_t /*bytes*/)
    {
    }
    /** Called for each datagram or snapshot that is not used, or not in whole. */
    virtual void onRejected(RejectReason /*reason*/)
    {
    }
};

} // namespace magnolia::fleet

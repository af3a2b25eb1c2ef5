// What the fleet link asks of its instance, and tells it.
#pragma once

#include "fleet/types/peermessage.h"
#include "framework/global/error.h"
#include "framework/global/types/time.h"
#include "published/types/storeitem.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::fleet
{

/** What this instance says of itself. */
struct OwnState
{
    bool isReady = false;
    bool isLeaving = false;
    std::uint64_t configurationVersion = 0;
    std::uint64_t storeRevision = 0;
    /** Whether it hears the store itself, so that peers need not pass on what is published. */
    bool isStoreConnected = false;
    bool isComplete = false;
    /** When the store last answered. */
    MonoTime storeAnsweredAt{};
};

/** All that one instance knows of what is published. */
struct Snapshot
{
    std::uint64_t revision = 0;
    bool isComplete = false;
    std::vector<published::StoreItem> items;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(revision, isComplete, items);
    }
};

class IFleetDelegate
{
public:
    virtual ~IFleetDelegate() = default;

    [[nodiscard]] virtual OwnState ownState() const = 0;
    [[nodiscard]] virtual std::vector<PlacementRecord> ownPlacements() const = 0;
    [[nodiscard]] virtual Snapshot snapshot() const = 0;

    virtual void onPeerMessage(const PeerMessage &message) = 0;
    virtual void onSnapshot(const Snapshot &snapshot) = 0;
    /** A peer started anew, fell silent, or was told to be gone: what it placed may have ended. */
    virtual void onPeerLost(const std::string &instance) = 0;
};

} // namespace magnolia::fleet

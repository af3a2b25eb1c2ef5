// What instances tell each other of evacuations in extension messages.
//
// Builds before the extension messages skip the store's items of evacuations and do not pass them on in snapshots, so
// an instance that the store refuses may depend on these records.
#pragma once

#include "fleet/types/extensionmessage.h"
#include "framework/global/error.h"
#include "published/publishedstate.h"

#include <cereal/types/string.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::gateway
{

struct EvacuationRecord
{
    std::string dataCentre;
    /** Position of the item, or of the end of the evacuation. */
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    bool isEnded = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, era, revision, isEnded);
    }
};

/** Upper bound of the records of one instance; evacuations in force precede the latest ends. */
inline constexpr std::size_t maxEvacuationRecords = 16;

/** Returns the records of the evacuations that an instance knows. */
[[nodiscard]] std::vector<fleet::ExtensionRecord> evacuationRecords(const published::PublishedState &state);

/** Error: PeerMessageMalformed (6001), also if the name of the data centre is empty or longer than 256 bytes. */
[[nodiscard]] Result<EvacuationRecord> readEvacuationRecord(const fleet::ExtensionRecord &record);

/**
 * Returns the probability with which an instance announces a change of evacuations to all its live peers. Nearly all
 * instances learn of a change at the same moment; about eight announcements reach each instance in a fleet of any size.
 */
[[nodiscard]] double announcementProbability(std::size_t liveInstances);

} // namespace magnolia::gateway

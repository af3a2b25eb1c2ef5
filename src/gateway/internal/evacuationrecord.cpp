// Writes and reads the records of evacuations.
#include "gateway/internal/evacuationrecord.h"

#include "fleet/extensioncodec.h"

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

constexpr std::size_t maxNameBytes = 256;
/** Expected number of instances that announce a change. */
constexpr double announcementCount = 8;

} // namespace

std::vector<fleet::ExtensionRecord> evacuationRecords(const published::PublishedState &state)
{
    std::vector<fleet::ExtensionRecord> records;
    const auto add = [&](const DataCentreId &dataCentre, const published::StorePosition &position, bool isEnded) {
        if (records.size() < maxEvacuationRecords) {
            records.push_back(fleet::encodeRecord(fleet::extensiontags::evacuation,
                EvacuationRecord{dataCentre.value(), position.era, position.revision, isEnded}));
        }
    };
    for (const auto &[dataCentre, it] : state.evacuations()) {
        add(dataCentre, it.position, false);
    }
    for (const published::PublishedState::EvacuationEnd &it : state.endedEvacuations()) {
        add(it.dataCentre, it.position, true);
    }
    return records;
}

Result<EvacuationRecord> readEvacuationRecord(const fleet::ExtensionRecord &record)
{
    auto decoded = fleet::decodeRecord<EvacuationRecord>(record);
    if (decoded && (decoded->dataCentre.empty() || decoded->dataCentre.size() > maxNameBytes)) {
        return makeError(ResultCode::PeerMessageMalformed, "name of a data centre is empty or exceeds 256 bytes");
    }
    return decoded;
}

double announcementProbability(std::size_t liveInstances)
{
    return std::min(1.0, announcementCount / static_cast<double>(std::max<std::size_t>(liveInstances, 1)));
}

} // namespace magnolia::gateway

// Encodes and decodes the record of cold upstreams.
#include "gateway/internal/coldrecord.h"

#include "peerlink/binarycodec.h"

#include <algorithm>
#include <cstddef>

namespace magnolia::gateway
{

namespace
{

/** 20 bytes each, a third of a datagram. */
constexpr std::size_t maxUpstreams = 1024;
/** With names of up to `maxNameBytes`, a third of a datagram. */
constexpr std::size_t maxSilentInstances = 256;
constexpr std::size_t maxNameBytes = 64;

} // namespace

std::string encodeColdRecord(ColdRecord record)
{
    std::erase_if(record.silentInstances, [](const SilentInstanceRecord &it) {
        return it.instance.size() > maxNameBytes;
    });
    record.upstreams.resize(std::min(record.upstreams.size(), maxUpstreams));
    record.silentInstances.resize(std::min(record.silentInstances.size(), maxSilentInstances));
    return peerlink::encode(record);
}

std::optional<ColdRecord> decodeColdRecord(std::string_view bytes)
{
    auto record = peerlink::decodeBy<ColdRecord>(peerlink::DecodeRule::IgnoreRest, bytes);
    if (!record) {
        return std::nullopt;
    }
    std::erase_if(record->silentInstances, [](const SilentInstanceRecord &it) {
        return it.instance.empty() || it.instance.size() > maxNameBytes;
    });
    return std::move(*record);
}

} // namespace magnolia::gateway

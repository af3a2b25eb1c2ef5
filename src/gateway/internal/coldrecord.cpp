// Encodes and decodes the record of cold upstreams.
#include "gateway/internal/coldrecord.h"

#include "peerlink/binarycodec.h"

#include <algorithm>
#include <cstddef>
#include <exception>

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
    if (bytes.empty() || (bytes.front() != '\0' && bytes.front() != '\1')) {
        return std::nullopt;
    }
    try {
        Poco::MemoryInputStream stream(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        peerlink::BoundedInputArchive archive(stream, bytes.size());
        ColdRecord record;
        archive(record);
        std::erase_if(record.silentInstances, [](const SilentInstanceRecord &it) {
            return it.instance.empty() || it.instance.size() > maxNameBytes;
        });
        return record;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace magnolia::gateway

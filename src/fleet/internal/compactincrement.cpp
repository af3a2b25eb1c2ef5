// Implements the compact form of increments on cereal's archives.
#include "fleet/compactincrement.h"

#include "framework/global/hashing.h"
#include "peerlink/binarycodec.h"

namespace magnolia::fleet
{

namespace
{

/** Bits of the state of the sender and of a placement. */
constexpr std::uint8_t readyBit = 1;
constexpr std::uint8_t leavingBit = 2;
constexpr std::uint8_t partitionedBit = 4;
constexpr std::uint8_t lateBit = 1;
constexpr std::uint8_t decodingBit = 2;

constexpr int bitsPerByte = 7;
constexpr std::uint8_t continuationBit = 0x80;

/** An unsigned integer in groups of seven bits, the lowest first; the high bit of a byte announces another (LEB128). */
template <typename T>
struct VariableLength
{
    T &value;

    template <typename Archive>
    void save(Archive &archive) const
    {
        std::uint64_t rest = value;
        do {
            const auto group = static_cast<std::uint8_t>(rest & (continuationBit - 1U));
            rest >>= bitsPerByte;
            archive(static_cast<std::uint8_t>(rest == 0 ? group : group | continuationBit));
        } while (rest != 0);
    }

    template <typename Archive>
    void load(Archive &archive)
    {
        std::uint64_t result = 0;
        std::uint8_t byte = 0;
        int shift = 0;
        do {
            archive(byte);
            const std::uint64_t group = byte & (continuationBit - 1U);
            if (shift >= 64 || (group << shift) >> shift != group) {
                throw cereal::Exception("an integer is too large");
            }
            result |= group << shift;
            shift += bitsPerByte;
        } while ((byte & continuationBit) != 0);
        value = static_cast<T>(result);
        if (value != result) {
            throw cereal::Exception("an integer is too large");
        }
    }
};

template <typename T>
VariableLength<T> variableLength(T &value)
{
    return {value};
}

/** Writes and reads one increment. `Archive` is an output or an input archive of cereal. */
template <typename Archive>
struct Transfer
{
    Archive &archive;
    static constexpr bool isLoading = Archive::is_loading::value;

    template <typename T>
    void integer(T &value)
    {
        archive(variableLength(value));
    }

    template <typename T, typename Element>
    void list(std::vector<T> &values, Element element)
    {
        std::uint64_t size = values.size();
        integer(size);
        if constexpr (isLoading) {
            // Each element takes at least one byte.
            archive.checkRemaining(size);
            values.resize(size);
        }
        for (T &it : values) {
            element(it);
        }
    }

    void placement(PlacementRecord &it)
    {
        std::uint8_t flags = static_cast<std::uint8_t>((it.isLate ? lateBit : 0) | (it.isDecoding ? decodingBit : 0));
        archive(it.id, it.primary, flags);
        it.isLate = (flags & lateBit) != 0;
        it.isDecoding = (flags & decodingBit) != 0;
        list(it.helpers, [this](std::uint64_t &helper) {
            archive(helper);
        });
        integer(it.promptTokens);
        integer(it.outputTokens);
        integer(it.gapTargetMs);
        integer(it.firstEventLimitMs);
        integer(it.ageMs);
        integer(it.reservedTokensPerHelper);
    }

    void increment(CompactIncrement &it)
    {
        PeerMessage &message = it.message;
        std::uint8_t flags = static_cast<std::uint8_t>((message.isReady ? readyBit : 0)
            | (message.isLeaving ? leavingBit : 0) | (message.isPartitioned ? partitionedBit : 0));
        archive(it.senderHash, flags);
        message.isReady = (flags & readyBit) != 0;
        message.isLeaving = (flags & leavingBit) != 0;
        message.isPartitioned = (flags & partitionedBit) != 0;
        integer(message.incarnation);
        integer(message.sequence);
        integer(message.configurationVersion);
        integer(message.storePosition.era);
        integer(message.storePosition.revision);
        list(message.placements, [this](PlacementRecord &record) {
            placement(record);
        });
        list(message.decoding, [this](std::uint64_t &id) {
            archive(id);
        });
        list(message.ends, [this](PlacementEnd &end) {
            archive(end.id, end.upstream, end.outcome);
        });
    }
};

/** The datagram as cereal sees it. */
struct Datagram
{
    std::uint8_t format = compactIncrementFormat;
    CompactIncrement increment;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format);
        if (format != compactIncrementFormat) {
            throw cereal::Exception("not a compact increment");
        }
        Transfer<Archive>{archive}.increment(increment);
    }
};

} // namespace

std::optional<std::string> encodeCompactIncrement(const PeerMessage &message)
{
    const bool isPlainIncrement = message.callerAddress.empty() && !message.isFullState && message.peers.empty()
        && message.leaving.empty() && message.limits.empty() && message.crashes.empty() && message.succeeded.empty()
        && message.quarantine.empty();
    if (!isPlainIncrement) {
        return std::nullopt;
    }
    Datagram datagram;
    datagram.increment.senderHash = stableHash(message.instance);
    datagram.increment.message = message;
    return peerlink::encode(datagram);
}

Result<CompactIncrement> decodeCompactIncrement(std::string_view bytes)
{
    auto datagram = peerlink::decode<Datagram>(bytes);
    if (!datagram) {
        return tl::unexpected(datagram.error());
    }
    return std::move(datagram->increment);
}

} // namespace magnolia::fleet

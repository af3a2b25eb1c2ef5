// Messages by which an entry hands the keys it no longer owns to their new owner.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "idempotency/types/keyname.h"
#include "idempotency/types/keyrecord.h"

#include <cereal/types/common.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace magnolia::idempotency
{

/** One key that was dispatched or closed. */
struct HandedOverKey
{
    KeyName name;
    KeyState state = KeyState::Unknown;
    std::uint64_t requestHash = 0;
    std::optional<StoredAnswer> answer;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, state, requestHash, answer);
    }
};

/** Names one handover: what a sender held under one list, for one receiver. */
struct HandoverId
{
    InstanceId sender;
    Incarnation senderIncarnation;
    InstanceId receiver;
    /** Last revision of the published list under which the sender acted as owner. */
    std::uint64_t lastOwnedRevision = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 that the compiler compares with for ours.
    friend auto operator<=>(const HandoverId &, const HandoverId &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sender, senderIncarnation, receiver, lastOwnedRevision);
    }
};

/** One part of a handover; the handover is whole when all `count` parts have come, in any order. */
struct HandoverPart
{
    HandoverId name;
    /** A key created later than this that is in no part was never dispatched by or before the sender. */
    std::int64_t completeAfterMs = 0;
    /** When the sender stopped dispatching these keys and took the copy, by its wall clock. */
    std::int64_t snapshotAtMs = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::vector<HandedOverKey> keys;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, completeAfterMs, snapshotAtMs, index, count, keys);
    }
};

/** The receiver has taken the part in; the sender need not send it again. */
struct HandoverAck
{
    HandoverId name;
    std::uint32_t index = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, index);
    }
};

} // namespace magnolia::idempotency

// Messages with which an instance hands over the keys that it no longer owns to their new owner.
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

/** The state of a key that was dispatched or closed. */
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

/** Identifies a handover: the keys that a sender owned under one list and that a receiver now owns. */
struct HandoverId
{
    InstanceId sender;
    Incarnation senderIncarnation;
    InstanceId receiver;
    /** Last revision of the published list under which the sender acted as owner of the keys. */
    std::uint64_t lastOwnedRevision = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 that the compiler compares with for ours.
    friend auto operator<=>(const HandoverId &, const HandoverId &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sender, senderIncarnation, receiver, lastOwnedRevision);
    }
};

/** A part of a handover, which is complete when all `count` parts have arrived, in any order. */
struct HandoverPart
{
    HandoverId name;
    /** A key created after this time that is in no part was never dispatched by the sender or an earlier owner. */
    std::int64_t completeAfterMs = 0;
    /** When the sender stopped dispatching these keys and copied them, by its wall clock. */
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

/** Acknowledges a part, so that the sender does not send it again. */
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

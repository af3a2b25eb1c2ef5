// What an owner remembers of one key.
#pragma once

#include "framework/global/types/time.h"
#include "idempotency/types/storedanswer.h"

#include <cstdint>
#include <optional>

namespace magnolia::idempotency
{

enum class KeyState : std::uint8_t {
    /** An attempt holds the key and has sent nothing yet. */
    Reserved,
    /** Bytes may have left; the answer is awaited. */
    Dispatched,
    Ran,
    /** Bytes may have left, and the answer was lost. */
    Unknown,
    /** A caller was told that this key did not run; it never will. */
    Closed,
};

struct KeyRecord
{
    KeyState state = KeyState::Reserved;
    WallTime createdAt{};
    std::uint64_t requestHash = 0;
    /** The attempt that holds or held the key. */
    std::uint64_t attempt = 0;
    /** Invariant: only in state Ran; empty there once the memory was needed for younger answers. */
    std::optional<StoredAnswer> answer;
};

} // namespace magnolia::idempotency

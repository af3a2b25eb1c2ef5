// The state of one key at its owner.
#pragma once

#include "framework/global/types/time.h"
#include "idempotency/types/storedanswer.h"

#include <cstdint>
#include <optional>

namespace magnolia::idempotency
{

enum class KeyState : std::uint8_t {
    /** An attempt has reserved the key and has sent nothing yet. */
    Reserved,
    /** Bytes may have been sent; the answer is pending. */
    Dispatched,
    Ran,
    /** Bytes may have been sent, and the answer was lost. */
    Unknown,
    /** A caller was told that the request did not run, so it must never run. */
    Closed,
};

struct KeyRecord
{
    KeyState state = KeyState::Reserved;
    WallTime createdAt{};
    std::uint64_t requestHash = 0;
    /** The attempt that last reserved the key; zero for a key from a handover. */
    std::uint64_t attempt = 0;
    /** Invariant: set in state Ran only. Empty if the answer was too large or was evicted for newer answers. */
    std::optional<StoredAnswer> answer;
};

} // namespace magnolia::idempotency

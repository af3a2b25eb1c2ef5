// The part of a non-idempotent request that ownership and the table look at, and what may follow from it.
#pragma once

#include "idempotency/types/keyname.h"
#include "idempotency/types/keyrefusal.h"
#include "idempotency/types/permit.h"
#include "idempotency/types/storedanswer.h"

#include <cstdint>
#include <variant>

namespace magnolia::idempotency
{

struct KeyedRequest
{
    KeyName name;
    /** Hash over method, path and body; a key may not be used for another request. */
    std::uint64_t requestHash = 0;
    /** Another entry sent it here as to the owner; it is not passed on again. */
    bool isRelayed = false;
};

/** Carry it out here: connect, then `confirmDispatch`, then write. */
struct RunLocally
{
    Permit permit;
};

/** Pass the whole request to its owner, and never carry it out here. */
struct RelayTo
{
    InstanceId owner;
};

/** The work has run; answer with what is kept. */
struct Replay
{
    StoredAnswer answer;
};

using BeginDecision = std::variant<RunLocally, RelayTo, Replay, KeyRefusal>;

} // namespace magnolia::idempotency

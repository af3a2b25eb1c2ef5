// The data of a non-idempotent request that decide about its dispatch, and the possible decisions.
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
    /** Hash of method, path and body; a key must not be reused for another request. */
    std::uint64_t requestHash = 0;
    /** Another instance relayed the request to this one as the owner; it is not relayed again. */
    bool isRelayed = false;
};

/** Execute the request on this instance: connect, call `confirmDispatch`, then write. */
struct RunLocally
{
    Permit permit;
};

/** Relay the whole request to the owner of its key and never execute it on this instance. */
struct RelayTo
{
    InstanceId owner;
};

/** The request was executed earlier; return the stored answer. */
struct Replay
{
    StoredAnswer answer;
};

using BeginDecision = std::variant<RunLocally, RelayTo, Replay, KeyRefusal>;

} // namespace magnolia::idempotency

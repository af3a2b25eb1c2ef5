// A request class: the only means by which operators control scheduling.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

namespace magnolia
{

enum class RequestKind {
    Model,
    Service,
};

struct RequestClass
{
    ClassId id;
    RequestKind kind = RequestKind::Model;
    /** Target time from arrival to the first token, or to the first byte of a plain service's response. */
    Milliseconds firstTokenTarget{0};
    /** Target time from arrival to the complete response. Invariant: not below `firstTokenTarget`. */
    Milliseconds finishTarget{0};
    /** Whether a request may be sent again after it may already have run. */
    bool isIdempotent = true;
};

} // namespace magnolia

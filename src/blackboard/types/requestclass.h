// A class of work: the only thing by which operators steer.
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
    /** Time from arrival to the first token, or to the first byte of a plain service's answer. */
    Milliseconds firstTokenTarget{0};
    /** Time from arrival to the whole answer. Invariant: not below firstTokenTarget. */
    Milliseconds finishTarget{0};
    /** Whether a request may be sent to an upstream more than once. */
    bool isIdempotent = true;
};

} // namespace magnolia

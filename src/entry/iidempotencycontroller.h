// Interface to the at-most-once dispatch of requests that carry an idempotency key.
#pragma once

#include "entry/types/callerrequest.h"
#include "framework/global/error.h"
#include "framework/global/types/ids.h"

#include <string>
#include <variant>

namespace magnolia::entry
{

/** The request is refused: `error` has the outcome of the key's work, `thisAttempt` that of this attempt. */
struct KeyRefused
{
    Error error;
    Outcome thisAttempt = Outcome::NotRun;
};

/** The request is run on this instance; `attempt` identifies this run in later calls. */
struct KeyGranted
{
    std::uint64_t attempt = 0;
};

/** The request is forwarded to the instance that owns its key. */
struct KeyOwnedBy
{
    InstanceId owner;
    /** Address `ip:port` at which the owner accepts callers. */
    std::string address;
};

/** The work has already run; this is the stored answer. */
struct KeyReplay
{
    int status = 200;
    std::string contentType;
    std::string body;
};

using KeyDecision = std::variant<KeyGranted, KeyOwnedBy, KeyReplay, KeyRefused>;

class IIdempotencyController
{
public:
    virtual ~IIdempotencyController() = default;

    /** Decides how a request is handled; reserves its key if it is run here. */
    [[nodiscard]] virtual KeyDecision begin(const CallerRequest &request) = 0;
    /** The final check before the first byte is sent. If it returns an error, nothing may be sent. */
    [[nodiscard]] virtual Result<void> confirmDispatch(const CallerRequest &request, const KeyGranted &grant) = 0;
    /** Stores the complete answer. */
    virtual void complete(const CallerRequest &request, const KeyGranted &grant, const KeyReplay &answer) = 0;
    /** Records that bytes may have been sent and no complete answer was received. */
    virtual void loseAnswer(const CallerRequest &request, const KeyGranted &grant) = 0;
    /** Records that the upstream did not run the request. The run may then send it again or be closed. */
    virtual void retract(const CallerRequest &request, const KeyGranted &grant) = 0;
    /**
     * Ends an attempt that sent nothing. Returns NotRun if the work of the key has not run and will never run, Unknown
     * otherwise.
     */
    [[nodiscard]] virtual Outcome close(const CallerRequest &request, const KeyGranted &grant) = 0;
};

} // namespace magnolia::entry

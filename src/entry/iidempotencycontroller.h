// At-most-once dispatch of work that names an idempotency key, as the runner of a request uses it.
#pragma once

#include "entry/types/callerrequest.h"
#include "framework/global/error.h"
#include "framework/global/types/ids.h"

#include <string>
#include <variant>

namespace magnolia::entry
{

/** Why a keyed request is refused, with what is known of this attempt besides the key as a whole. */
struct KeyRefused
{
    Error error;
    Outcome thisAttempt = Outcome::NotRun;
};

/** Carry the request out here; `attempt` names this try in the calls that follow. */
struct KeyGranted
{
    std::uint64_t attempt = 0;
};

/** Pass the whole request on to the instance that owns its key. */
struct KeyOwnedBy
{
    InstanceId owner;
    /** Address `ip:port` of the owner's listener for callers. */
    std::string address;
};

/** The work has run; this is the answer that was kept. */
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

    [[nodiscard]] virtual KeyDecision begin(const CallerRequest &request) = 0;
    /** The last check before the first byte leaves; an error means that nothing may be sent. */
    [[nodiscard]] virtual Result<void> confirmDispatch(const CallerRequest &request, const KeyGranted &grant) = 0;
    /** The whole answer has come. */
    virtual void complete(const CallerRequest &request, const KeyGranted &grant, const KeyReplay &answer) = 0;
    /** Bytes may have left and no whole answer came. */
    virtual void loseAnswer(const CallerRequest &request, const KeyGranted &grant) = 0;
    /** The upstream has said that it did not run what was sent; the attempt may dispatch again or be closed. */
    virtual void retract(const CallerRequest &request, const KeyGranted &grant) = 0;
    /** Nothing was sent. NotRun where this key has not run and never will, else Unknown. */
    [[nodiscard]] virtual Outcome close(const CallerRequest &request, const KeyGranted &grant) = 0;
};

} // namespace magnolia::entry

// The table of result codes: name, HTTP status and a text that says what to do next.
#include "framework/global/resultcode.h"

#include <algorithm>
#include <array>

namespace magnolia
{

namespace
{

using enum ResultCode;

constexpr auto table = std::to_array<ResultCodeInfo>({
    {Ok, "Ok", 200, "Done."},
    {RequestMalformed, "RequestMalformed", 400, "The request cannot be read; correct it before sending it again."},
    {RequestUnknownClass, "RequestUnknownClass", 400, "No such request class; name one of the published classes."},
    {RequestUnknownOrganisation, "RequestUnknownOrganisation", 403, "No such organisation; check the header."},
    {RequestUnauthorised, "RequestUnauthorised", 401, "The bearer key is missing or wrong for this organisation."},
    {RequestBodyTooLarge, "RequestBodyTooLarge", 413, "The body is larger than this instance accepts."},
    {RequestHeadersTooLarge, "RequestHeadersTooLarge", 431, "Too many or too large header fields."},
    {RequestTooSlow, "RequestTooSlow", 408, "The request did not arrive in time; send it again."},
    {RequestUnknownModel, "RequestUnknownModel", 404, "No such model is published."},
    {RequestUnknownPath, "RequestUnknownPath", 404, "No such path on this listener."},
    {RequestCancelled, "RequestCancelled", 499, "The caller disconnected; the upstream was asked to cancel."},
    {AdmissionTargetUnreachable, "AdmissionTargetUnreachable", 503,
        "The class's targets cannot be met now; retry after the time given."},
    {AdmissionOverloaded, "AdmissionOverloaded", 503, "The fleet is at its limit; retry after the time given."},
    {AdmissionOrganisationShare, "AdmissionOrganisationShare", 429,
        "The organisation has used its fair share; retry after the time given."},
    {AdmissionRetryBudget, "AdmissionRetryBudget", 503, "Too many retries at once; retry after the time given."},
    {AdmissionStopping, "AdmissionStopping", 503, "This instance is stopping; use another address."},
    {UpstreamNone, "UpstreamNone", 503, "No upstream can take this request now."},
    {UpstreamConnectFailed, "UpstreamConnectFailed", 502, "The upstream could not be reached."},
    {UpstreamSilent, "UpstreamSilent", 504, "The upstream stopped answering."},
    {UpstreamBroken, "UpstreamBroken", 502, "The upstream closed the connection before its answer was complete."},
    {UpstreamRefused, "UpstreamRefused", 502, "The upstream refused the request."},
    {UpstreamWrongAnswer, "UpstreamWrongAnswer", 502, "The upstream sent the answer of another request."},
    {UpstreamTruncated, "UpstreamTruncated", 502, "The upstream's answer ended too early."},
    {DeadlineExceeded, "DeadlineExceeded", 504, "The class's time to finish has passed."},
    {FirstTokenMissed, "FirstTokenMissed", 504, "The class's time to the first token has passed."},
    {KeyMissing, "KeyMissing", 400, "A non-idempotent class needs the header Idempotency-Key with a UUID version 7."},
    {KeyMalformed, "KeyMalformed", 400, "The idempotency key is not a UUID version 7 (RFC 9562)."},
    {KeyExpired, "KeyExpired", 409,
        "The idempotency key is older than the retention time of keys; verify, then use a new one."},
    {KeyFromFuture, "KeyFromFuture", 400,
        "The time in the idempotency key is ahead of this instance's clock; correct the clock."},
    {KeyInFlight, "KeyInFlight", 409, "The request with this key is still running; retry after the time given."},
    {KeyAlreadyRan, "KeyAlreadyRan", 409, "The request with this key has run; its answer is no longer stored."},
    {KeyOwnerUnreachable, "KeyOwnerUnreachable", 503,
        "The instance that owns this key cannot be reached; send the same key again later."},
    {KeyOwnershipTooNew, "KeyOwnershipTooNew", 503,
        "This instance has owned the key only for a short time; whether an earlier owner ran the request is not "
        "known. If it was not sent before, use a new key; otherwise verify first."},
    {KeyOwnershipUnconfirmed, "KeyOwnershipUnconfirmed", 503,
        "The published list is too old to act on; send the same key again later."},
    {KeyOutcomeUnknown, "KeyOutcomeUnknown", 502,
        "The request was sent and its answer was lost; verify before a retry."},
    {KeyTableFull, "KeyTableFull", 503, "Too many keys are stored; retry after the time given."},
    {KeyReusedForOtherRequest, "KeyReusedForOtherRequest", 422,
        "The idempotency key was used for another request; use a new one."},
    {KeyClosed, "KeyClosed", 409,
        "The request with this key did not run, its caller was told so, and it never will; use a new key."},
    {SettingsUnreadable, "SettingsUnreadable", 500, "The settings file cannot be read."},
    {SettingsInvalid, "SettingsInvalid", 500, "The settings are invalid."},
    {ConfigurationInvalid, "ConfigurationInvalid", 500, "A published configuration is invalid."},
    {ConfigurationUnavailable, "ConfigurationUnavailable", 503, "No configuration is known yet; retry later."},
    {ConfigurationStale, "ConfigurationStale", 503, "The source offers an older revision than the current one."},
    {PeerMessageMalformed, "PeerMessageMalformed", 400, "A message between instances cannot be decoded."},
    {PeerMessageForged, "PeerMessageForged", 403, "A message between instances fails its authentication."},
    {PeerMessageReplayed, "PeerMessageReplayed", 403, "A message between instances was seen before or is too old."},
    {PeerUnreachable, "PeerUnreachable", 502, "Another instance cannot be reached."},
    {PeerUnknownKey, "PeerUnknownKey", 403, "A message names a key that is not in the settings."},
    {OrderFenced, "OrderFenced", 409, "The engine has seen a higher fencing number."},
    {OrderViewInDoubt, "OrderViewInDoubt", 503, "The view of the fleet is in doubt, so no order is given."},
    {OrderRateLimited, "OrderRateLimited", 429, "The weight store's rate limit does not allow this order yet."},
    {OrderFailed, "OrderFailed", 502, "The engine did not carry out the order."},
    {MemoryExhausted, "MemoryExhausted", 503, "No engine has enough free memory for this prompt now."},
    {MemoryReservationExpired, "MemoryReservationExpired", 503, "The memory reservation expired before its use."},
    {MemoryGroupUnavailable, "MemoryGroupUnavailable", 503, "No group of engines can hold this prompt now."},
    {PlatformUnavailable, "PlatformUnavailable", 503, "A service of the platform cannot be reached."},
    {PlatformMalformed, "PlatformMalformed", 502, "A service of the platform sent a malformed answer."},
    {Internal, "Internal", 500, "Internal error of this instance; see its log."},
    {ListenFailed, "ListenFailed", 500, "A listener cannot be opened; check the address in the settings."},
});

static_assert(std::is_sorted(table.begin(), table.end(), [](const auto &a, const auto &b) {
    return a.code < b.code;
}));

} // namespace

std::span<const ResultCodeInfo> resultCodeTable()
{
    return table;
}

const ResultCodeInfo &resultCodeInfo(ResultCode code)
{
    const auto less = [](const ResultCodeInfo &info, ResultCode wanted) {
        return info.code < wanted;
    };
    const auto *it = std::lower_bound(table.begin(), table.end(), code, less);
    if (it == table.end() || it->code != code) {
        return *std::lower_bound(table.begin(), table.end(), Internal, less);
    }
    return *it;
}

} // namespace magnolia

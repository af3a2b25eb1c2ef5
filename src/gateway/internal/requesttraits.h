// Describes a request by fingerprints, so that it can be compared with requests that crashed their upstreams.
#pragma once

#include "quarantine/types/requesttraits.h"

#include "catalogue/types/catalogue.h"

#include <optional>
#include <string_view>

namespace magnolia::httpwire
{
struct RequestHead;
}

namespace magnolia::gateway
{

struct WireNames;

/**
 * Suspects are the request as such and the parts of its prompt that other requests share. The context is the
 * organisation, the model and the request's own part of the prompt. The id of a part is the caller's word: with the
 * organisation as context, the requests of one organisation do not put those of another one into quarantine.
 */
[[nodiscard]] quarantine::RequestTraits requestTraits(const httpwire::RequestHead &head,
    quarantine::Fingerprint request, const WireNames &names,
    const std::optional<catalogue::OrganisationEntry> &organisation);

/** Identifies requests that are the same to an upstream: path and query, organisation and body. */
[[nodiscard]] quarantine::Fingerprint requestFingerprint(const httpwire::RequestHead &head, std::string_view body,
    const std::optional<catalogue::OrganisationEntry> &organisation);

} // namespace magnolia::gateway

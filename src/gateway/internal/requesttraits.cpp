// Computes the traits of requests.
#include "gateway/internal/requesttraits.h"

#include "framework/httpwire/types/messagehead.h"
#include "gateway/internal/promptparts.h"
#include "gateway/types/wirenames.h"

namespace magnolia::gateway
{

namespace
{

std::string_view nameOf(const std::optional<catalogue::OrganisationEntry> &organisation)
{
    return organisation ? std::string_view(organisation->name.value()) : std::string_view();
}

} // namespace

quarantine::RequestTraits requestTraits(const httpwire::RequestHead &head, quarantine::Fingerprint request,
    const WireNames &names, const std::optional<catalogue::OrganisationEntry> &organisation)
{
    quarantine::RequestTraits traits;
    traits.suspects.push_back(request);
    const std::string_view parts = head.fields.value(names.promptParts);
    for (const std::string_view id : sharedPromptParts(parts)) {
        traits.suspects.push_back(quarantine::makeFingerprint("part", {id}));
    }
    traits.context.push_back(quarantine::makeFingerprint("organisation", {nameOf(organisation)}));
    traits.context.push_back(quarantine::makeFingerprint("model", {head.fields.value(names.model)}));
    const std::size_t lastComma = parts.rfind(',');
    if (lastComma != std::string_view::npos) {
        traits.context.push_back(quarantine::makeFingerprint("own part", {parts.substr(lastComma + 1)}));
    }
    quarantine::normalise(traits);
    return traits;
}

quarantine::Fingerprint requestFingerprint(const httpwire::RequestHead &head, std::string_view body,
    const std::optional<catalogue::OrganisationEntry> &organisation)
{
    return quarantine::makeFingerprint("request", {head.method, head.target, nameOf(organisation), body});
}

} // namespace magnolia::gateway

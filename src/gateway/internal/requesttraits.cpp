// Computes the traits of requests.
#include "gateway/internal/requesttraits.h"

#include "framework/httpwire/types/messagehead.h"
#include "gateway/internal/promptparts.h"
#include "gateway/types/wirenames.h"

namespace magnolia::gateway
{

quarantine::RequestTraits requestTraits(const httpwire::RequestHead &head, const WireNames &names,
    const std::optional<catalogue::OrganisationEntry> &organisation)
{
    quarantine::RequestTraits traits;
    const std::string_view parts = head.fields.value(names.promptParts);
    for (const std::string_view id : sharedPromptParts(parts)) {
        traits.suspects.push_back(quarantine::makeFingerprint("part", {id}));
    }
    const std::string_view organisationName
        = organisation ? std::string_view(organisation->name.value()) : std::string_view();
    traits.context.push_back(quarantine::makeFingerprint("organisation", {organisationName}));
    traits.context.push_back(quarantine::makeFingerprint("model", {head.fields.value(names.model)}));
    const std::size_t lastComma = parts.rfind(',');
    if (lastComma != std::string_view::npos) {
        traits.context.push_back(quarantine::makeFingerprint("own part", {parts.substr(lastComma + 1)}));
    }
    quarantine::normalise(traits);
    return traits;
}

} // namespace magnolia::gateway

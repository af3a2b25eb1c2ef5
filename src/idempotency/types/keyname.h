// Identifies a non-idempotent request. The same key in two organisations identifies two requests.
#pragma once

#include "framework/global/types/ids.h"

#include <compare>
#include <string>

namespace magnolia::idempotency
{

struct KeyName
{
    OrganisationId organisation;
    IdempotencyKey key;

    /** Input of the rendezvous hash; neither part contains the separator. */
    [[nodiscard]] std::string hashInput() const
    {
        return organisation.value() + '\n' + key.value();
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 that the compiler compares with for ours.
    friend auto operator<=>(const KeyName &, const KeyName &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(organisation, key);
    }
};

} // namespace magnolia::idempotency

// Decodes the platform's items into what the product knows.
#pragma once

#include "catalogue/types/catalogue.h"
#include "catalogue/types/upstreamentry.h"
#include "published/types/storeitem.h"

#include <optional>

namespace magnolia::published
{

class IItemDecoder
{
public:
    virtual ~IItemDecoder() = default;

    enum class ItemKind {
        Configuration,
        Upstream,
        Other,
    };

    /** What an item of that key is about. */
    [[nodiscard]] virtual ItemKind kindOf(const std::string &key) const = 0;
    /** Empty where the bytes are no valid configuration. */
    [[nodiscard]] virtual std::optional<catalogue::Catalogue> decodeConfiguration(const StoreItem &item) const = 0;
    /** Empty where the bytes name no upstream that may be used. */
    [[nodiscard]] virtual std::optional<catalogue::UpstreamEntry> decodeUpstream(const StoreItem &item) const = 0;
};

} // namespace magnolia::published

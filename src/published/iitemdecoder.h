// Decodes items of the platform's store into the catalogue types.
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

    /** Returns the kind of the items with this key. */
    [[nodiscard]] virtual ItemKind kindOf(const std::string &key) const = 0;
    /** Returns nothing if the bytes are not a valid configuration. */
    [[nodiscard]] virtual std::optional<catalogue::Catalogue> decodeConfiguration(const StoreItem &item) const = 0;
    /** Returns nothing if the bytes do not describe a usable upstream. */
    [[nodiscard]] virtual std::optional<catalogue::UpstreamEntry> decodeUpstream(const StoreItem &item) const = 0;
};

} // namespace magnolia::published

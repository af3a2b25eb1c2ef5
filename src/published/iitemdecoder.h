// Decodes items of the platform's store into the catalogue types.
#pragma once

#include "catalogue/types/catalogue.h"
#include "catalogue/types/upstreamentry.h"
#include "framework/global/types/ids.h"
#include "published/types/storeitem.h"

#include <optional>
#include <string>

namespace magnolia::published
{

class IItemDecoder
{
public:
    virtual ~IItemDecoder() = default;

    enum class ItemKind {
        Configuration,
        Upstream,
        /** The item requests the evacuation of a data centre as long as it exists, whatever its bytes are. */
        Evacuation,
        Other,
    };

    /** Returns the kind of the items with this key. */
    [[nodiscard]] virtual ItemKind kindOf(const std::string &key) const = 0;
    /** Returns nothing if the bytes are not a valid configuration. */
    [[nodiscard]] virtual std::optional<catalogue::Catalogue> decodeConfiguration(const StoreItem &item) const = 0;
    /** Returns nothing if the bytes do not describe a usable upstream. */
    [[nodiscard]] virtual std::optional<catalogue::UpstreamEntry> decodeUpstream(const StoreItem &item) const = 0;
    /** Returns the data centre that an item of the kind `Evacuation` names. */
    [[nodiscard]] virtual DataCentreId evacuatedDataCentre(const std::string &key) const = 0;
    /** Returns the key of the item that requests the evacuation of a data centre. */
    [[nodiscard]] virtual std::string evacuationKey(const DataCentreId &dataCentre) const = 0;
};

} // namespace magnolia::published

// The platform's weight store. All instances share its rate limit.
#pragma once

#include "framework/global/error.h"
#include "framework/global/types/ids.h"

#include <string>
#include <string_view>

namespace magnolia::ports
{

class IWeightStore
{
public:
    virtual ~IWeightStore() = default;

    /**
     * Reads the store's description of a version's weights, at most 64 KiB. Blocks and counts against the rate limit.
     * Errors: OrderRateLimited (with `retryAfter`), OrderFailed (no such version), PlatformUnavailable,
     * PlatformMalformed.
     */
    [[nodiscard]] virtual Result<std::string> read(const ModelId &model, std::string_view version) = 0;
};

} // namespace magnolia::ports

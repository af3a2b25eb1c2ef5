// The listener for callers.
#pragma once

#include "settings/types/tlsfiles.h"

#include <optional>
#include <string>

namespace magnolia::settings
{

struct CallerSettings
{
    /** Address `ip:port` to listen on. */
    std::string address;
    /** Address `ip:port` that callers are told; the same as `address` where the settings name none. */
    // Invariant: never a wildcard address.
    std::string advertisedAddress;
    std::optional<TlsFiles> tls;
};

} // namespace magnolia::settings

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
    /** Address `ip:port` announced to callers; defaults to `address`. Invariant: never a wildcard address. */
    std::string advertisedAddress;
    std::optional<TlsFiles> tls;
};

} // namespace magnolia::settings

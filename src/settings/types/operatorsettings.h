// The listener for operators.
#pragma once

#include "settings/types/tlsfiles.h"

#include <optional>
#include <string>

namespace magnolia::settings
{

struct OperatorSettings
{
    /** Address `ip:port` to listen on. */
    std::string address;
    std::optional<TlsFiles> tls;
};

} // namespace magnolia::settings

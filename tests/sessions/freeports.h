// Free ports for processes whose addresses must be known before they start.
#pragma once

#include <cstdint>
#include <string>

namespace magnolia::sessions
{

/**
 * Returns an address `127.0.0.1:port` that is free for TCP and UDP and was not recently returned in this process.
 * The ports lie below the kernel's range for outgoing connections, and the search starts at a port that depends on the
 * process id. Throws if no port is free.
 */
[[nodiscard]] std::string findFreeAddress();

} // namespace magnolia::sessions

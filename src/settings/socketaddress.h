// Parses socket addresses of the form `ip:port` or `[ipv6]:port`. Does not resolve host names.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::settings
{

struct SocketAddress
{
    /** IP address without brackets. */
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(const SocketAddress &, const SocketAddress &) = default;
};

/** Returns an empty value if `text` is not a numeric IP address with a port from 1 to 65535. */
[[nodiscard]] std::optional<SocketAddress> parseSocketAddress(std::string_view text);

/** Whether the address means all addresses of the machine. */
[[nodiscard]] bool isWildcard(const SocketAddress &address);

/** Whether two listeners cannot listen on these addresses at the same time. */
[[nodiscard]] bool areConflicting(const SocketAddress &a, const SocketAddress &b);

} // namespace magnolia::settings

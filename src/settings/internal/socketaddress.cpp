// Parses and compares socket addresses.
#include "settings/socketaddress.h"

#include <arpa/inet.h>
#include <charconv>

namespace magnolia::settings
{

namespace
{

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (ec != std::errc() || end != text.data() + text.size() || port == 0) {
        return std::nullopt;
    }
    return port;
}

bool isIpAddress(int family, const std::string &text)
{
    in6_addr buf{};
    return inet_pton(family, text.c_str(), &buf) == 1;
}

} // namespace

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view ip = text.substr(0, colon);
    const bool isBracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (isBracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    const auto port = parsePort(text.substr(colon + 1));
    const std::string numericIp(ip);
    if (!port || !isIpAddress(isBracketed ? AF_INET6 : AF_INET, numericIp)) {
        return std::nullopt;
    }
    return SocketAddress{numericIp, *port};
}

bool isWildcard(const SocketAddress &address)
{
    return address.ip == "0.0.0.0" || address.ip == "::";
}

bool areConflicting(const SocketAddress &a, const SocketAddress &b)
{
    return a.port == b.port && (a.ip == b.ip || isWildcard(a) || isWildcard(b));
}

} // namespace magnolia::settings

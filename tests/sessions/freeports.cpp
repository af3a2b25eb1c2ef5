// Finds free ports by binding to them.
#include "freeports.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>

#include <stdexcept>
#include <unistd.h>

namespace magnolia::sessions
{

namespace
{

constexpr std::uint32_t minPort = 20'000;
constexpr std::uint32_t portCount = 12'000;
// More ports than one test uses, so that concurrent tests with successive process ids rarely use the same ports.
constexpr std::uint32_t portsPerProcess = 61;

bool isFree(const std::string &address)
{
    try {
        const Poco::Net::SocketAddress socketAddress(address);
        const Poco::Net::ServerSocket tcp(socketAddress);
        const Poco::Net::DatagramSocket udp(socketAddress);
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace

std::string findFreeAddress()
{
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * portsPerProcess;
    for (std::uint32_t tries = 0; tries < portCount; ++tries) {
        std::string address = "127.0.0.1:" + std::to_string(minPort + next++ % portCount);
        if (isFree(address)) {
            return address;
        }
    }
    throw std::runtime_error("no free port from 20000 to 31999");
}

} // namespace magnolia::sessions

// Limits the log lines about datagrams that are not used.
#pragma once

#include "framework/global/types/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace magnolia::fleet
{

/** Lets one log line pass per sender address and `interval`. */
class RejectionLog
{
public:
    static constexpr Milliseconds interval{60'000};
    /** Upper bound of the addresses that are kept; further ones are not logged until the interval of one has passed. */
    static constexpr std::size_t maxAddresses = 1024;

    /** Returns whether to log now, and records that it was logged. */
    [[nodiscard]] bool shouldLog(const std::string &address, MonoTime now);

private:
    std::map<std::string, MonoTime> m_loggedAt;
};

} // namespace magnolia::fleet

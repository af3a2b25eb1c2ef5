// Reads the list of instances over HTTP.
#pragma once

#include "ports/iinstancelist.h"
#include "ports/types/calltimeouts.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::ports
{

class HttpInstanceList : public IInstanceList
{
public:
    HttpInstanceList(std::vector<std::string> addresses, CallTimeouts timeouts);

    [[nodiscard]] std::size_t replicaCount() const override;
    [[nodiscard]] Result<PublishedList> read(std::size_t firstReplica) override;

private:
    const std::vector<std::string> m_addresses;
    const CallTimeouts m_timeouts;
    /** Last revision whose rejected rows were logged, so that each revision is logged once. */
    std::atomic<std::uint64_t> m_loggedRevision{0};
};

} // namespace magnolia::ports

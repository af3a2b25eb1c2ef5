// Accesses the configuration service over HTTP.
#pragma once

#include "ports/iconfigurationservice.h"
#include "ports/types/calltimeouts.h"

#include <string>
#include <vector>

namespace magnolia::ports
{

class HttpConfigurationService : public IConfigurationService
{
public:
    HttpConfigurationService(std::vector<std::string> addresses, CallTimeouts timeouts);

    [[nodiscard]] std::size_t replicaCount() const override;
    [[nodiscard]] Result<ConfigurationSnapshot> read(std::size_t firstReplica) override;
    [[nodiscard]] Result<std::optional<ConfigurationSnapshot>> watch(
        Revision after, Milliseconds wait, std::size_t firstReplica) override;

private:
    const std::vector<std::string> m_addresses;
    const CallTimeouts m_timeouts;
};

} // namespace magnolia::ports

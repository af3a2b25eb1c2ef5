// Creates the HTTP adapters.
#include "ports/ports.h"

#include "ports/internal/httpconfigurationservice.h"
#include "ports/internal/httpinstancelist.h"
#include "ports/internal/httpweightstore.h"

namespace magnolia::ports
{

std::unique_ptr<IConfigurationService> makeConfigurationService(
    std::vector<std::string> addresses, CallTimeouts timeouts)
{
    return std::make_unique<HttpConfigurationService>(std::move(addresses), timeouts);
}

std::unique_ptr<IInstanceList> makeInstanceList(std::vector<std::string> addresses, CallTimeouts timeouts)
{
    return std::make_unique<HttpInstanceList>(std::move(addresses), timeouts);
}

std::unique_ptr<IWeightStore> makeWeightStore(std::string address, CallTimeouts timeouts)
{
    return std::make_unique<HttpWeightStore>(std::move(address), timeouts);
}

} // namespace magnolia::ports

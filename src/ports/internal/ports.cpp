// Hands the HTTP adapters out behind their interfaces.
#include "ports/ports.h"

#include "ports/internal/httpconfigurationservice.h"
#include "ports/internal/httpinstancelist.h"
#include "ports/internal/httpweightstore.h"

namespace magnolia::ports
{

std::unique_ptr<IConfigurationService> makeConfigurationService(
    std::vector<std::string> addresses, CallParameters parameters)
{
    return std::make_unique<HttpConfigurationService>(std::move(addresses), parameters);
}

std::unique_ptr<IInstanceList> makeInstanceList(std::vector<std::string> addresses, CallParameters parameters)
{
    return std::make_unique<HttpInstanceList>(std::move(addresses), parameters);
}

std::unique_ptr<IWeightStore> makeWeightStore(std::string address, CallParameters parameters)
{
    return std::make_unique<HttpWeightStore>(std::move(address), parameters);
}

} // namespace magnolia::ports

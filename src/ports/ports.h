// Creates the HTTP adapters to the platform's services.
#pragma once

#include "ports/iconfigurationservice.h"
#include "ports/iinstancelist.h"
#include "ports/iweightstore.h"
#include "ports/types/calltimeouts.h"

#include <memory>
#include <string>
#include <vector>

namespace magnolia::ports
{

/** `addresses` holds one `ip:port` per replica and must not be empty. The adapters are thread-safe. */
[[nodiscard]] std::unique_ptr<IConfigurationService> makeConfigurationService(
    std::vector<std::string> addresses, CallTimeouts timeouts = {});
[[nodiscard]] std::unique_ptr<IInstanceList> makeInstanceList(
    std::vector<std::string> addresses, CallTimeouts timeouts = {});
[[nodiscard]] std::unique_ptr<IWeightStore> makeWeightStore(std::string address, CallTimeouts timeouts = {});

} // namespace magnolia::ports

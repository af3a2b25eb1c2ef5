// Builds the adapters to the platform's services over HTTP.
#pragma once

#include "ports/iconfigurationservice.h"
#include "ports/iinstancelist.h"
#include "ports/iweightstore.h"
#include "ports/types/callparameters.h"

#include <memory>
#include <string>
#include <vector>

namespace magnolia::ports
{

/** `addresses` are `ip:port`, one a replica, and not empty. The adapters may be called from several threads. */
[[nodiscard]] std::unique_ptr<IConfigurationService> makeConfigurationService(
    std::vector<std::string> addresses, CallParameters parameters = {});
[[nodiscard]] std::unique_ptr<IInstanceList> makeInstanceList(
    std::vector<std::string> addresses, CallParameters parameters = {});
[[nodiscard]] std::unique_ptr<IWeightStore> makeWeightStore(std::string address, CallParameters parameters = {});

} // namespace magnolia::ports

// Reads the weight store over HTTP.
#pragma once

#include "ports/iweightstore.h"
#include "ports/types/calltimeouts.h"

#include <string>

namespace magnolia::ports
{

class HttpWeightStore : public IWeightStore
{
public:
    HttpWeightStore(std::string address, CallTimeouts timeouts);

    [[nodiscard]] Result<std::string> read(const ModelId &model, std::string_view version) override;

private:
    const std::string m_address;
    const CallTimeouts m_timeouts;
};

} // namespace magnolia::ports

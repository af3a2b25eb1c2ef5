// The weight store over HTTP.
#pragma once

#include "ports/iweightstore.h"
#include "ports/types/callparameters.h"

#include <string>

namespace magnolia::ports
{

class HttpWeightStore : public IWeightStore
{
public:
    HttpWeightStore(std::string address, CallParameters parameters);

    [[nodiscard]] Result<std::string> read(const ModelId &model, std::string_view version) override;

private:
    const std::string m_address;
    const CallParameters m_parameters;
};

} // namespace magnolia::ports

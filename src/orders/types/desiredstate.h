// The state that an engine is ordered to have. An engine's report describes its current state in the same form.
#pragma once

#include "framework/global/types/ids.h"

#include <string>

namespace magnolia::orders
{

/** Must be a pure function of one revision of the configuration, so that an order can be repeated safely. */
struct DesiredState
{
    ModelId model;
    std::string version;
    std::string role;

    friend bool operator==(const DesiredState &, const DesiredState &) = default;
};

} // namespace magnolia::orders

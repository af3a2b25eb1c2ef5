// Sends the load rows of observed upstreams to the other entries of the data centre; other modules implement it.
#pragma once

#include "observing/types/loadrow.h"

#include <span>

namespace magnolia::observing
{

class ILoadPublisher
{
public:
    virtual ~ILoadPublisher() = default;

    /** Sends the rows once without blocking; rows may be lost. */
    virtual void publish(std::span<const LoadRow> rows) = 0;
};

} // namespace magnolia::observing

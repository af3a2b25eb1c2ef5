// Clock interface, so that tests can replace the time.
#pragma once

#include "framework/global/types/time.h"

namespace magnolia
{

class IClock
{
public:
    virtual ~IClock() = default;

    [[nodiscard]] virtual MonoTime monotonicNow() const = 0;
    [[nodiscard]] virtual WallTime wallNow() const = 0;
};

} // namespace magnolia

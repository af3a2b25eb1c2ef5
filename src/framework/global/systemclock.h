// The operating system's clocks behind IClock.
#pragma once

#include "framework/global/iclock.h"

namespace magnolia
{

class SystemClock : public IClock
{
public:
    [[nodiscard]] MonoTime monotonicNow() const override;
    [[nodiscard]] WallTime wallNow() const override;
};

} // namespace magnolia

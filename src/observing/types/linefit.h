// Running sums of a linear regression with exponential forgetting.
#pragma once

namespace magnolia::observing
{

struct LineFit
{
    // Invariant: all sums are over the same samples, with the same decay; `weight` is not negative.
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
};

} // namespace magnolia::observing

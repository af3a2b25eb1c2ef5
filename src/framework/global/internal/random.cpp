// SplitMix64 and the distributions based on it.
#include "framework/global/random.h"

#include <cmath>

namespace magnolia
{

std::uint64_t Random::next()
{
    m_state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t z = m_state;
    z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31U);
}

std::uint64_t Random::below(std::uint64_t bound)
{
    return bound == 0 ? 0 : next() % bound;
}

double Random::unit()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(next() >> 11U) * scale;
}

bool Random::chance(double probability)
{
    return unit() < probability;
}

double Random::exponential(double mean)
{
    return -mean * std::log1p(-unit());
}

} // namespace magnolia

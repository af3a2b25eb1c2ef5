// A small seeded pseudorandom generator. The core never uses a random device; its callers pass a generator.
#pragma once

#include <cstdint>

namespace magnolia
{

/** SplitMix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number Generators", OOPSLA 2014). */
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    [[nodiscard]] std::uint64_t next();
    /** Returns a uniform value in [0, bound); 0 if `bound` is 0. */
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);
    /** Returns a uniform value in [0, 1). */
    [[nodiscard]] double unit();
    /** Returns true with the given probability. */
    [[nodiscard]] bool chance(double probability);
    /** Returns an exponentially distributed value with the given mean. */
    [[nodiscard]] double exponential(double mean);

private:
    std::uint64_t m_state;
};

} // namespace magnolia

// Seeded mutations of valid input, for fuzz tests of decoders. Test code only.
#pragma once

#include "framework/global/random.h"

#include <cstddef>
#include <string>

namespace magnolia::peerlink::testing
{

[[nodiscard]] inline std::string randomBytes(Random &random, std::size_t maxBytes)
{
    std::string bytes(random.below(maxBytes + 1), '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random.next());
    }
    return bytes;
}

[[nodiscard]] inline std::string truncated(Random &random, const std::string &valid)
{
    return valid.substr(0, random.below(valid.size()));
}

/** Flips one to four bits; never equal to `valid`. */
[[nodiscard]] inline std::string bitFlipped(Random &random, const std::string &valid)
{
    std::string bytes = valid;
    const std::uint64_t count = 1 + random.below(4);
    while (bytes == valid) {
        for (std::uint64_t i = 0; i < count; ++i) {
            bytes[random.below(bytes.size())] ^= static_cast<char>(1U << random.below(8));
        }
    }
    return bytes;
}

/** Up to eight bytes in a row replaced by those of a huge size field; may equal `valid`. */
[[nodiscard]] inline std::string withHugeSize(Random &random, const std::string &valid)
{
    std::string bytes = valid;
    const std::size_t start = random.below(bytes.size());
    for (std::size_t i = start; i < bytes.size() && i < start + 8; ++i) {
        bytes[i] = static_cast<char>(i == start + 7 ? 0x0F : 0xFF);
    }
    return bytes;
}

/** Applies one of the mutations above, or returns random bytes. */
[[nodiscard]] inline std::string mutated(Random &random, const std::string &valid)
{
    switch (random.below(4)) {
    case 0:
        return randomBytes(random, 2 * valid.size());
    case 1:
        return truncated(random, valid);
    case 2:
        return bitFlipped(random, valid);
    default:
        return withHugeSize(random, valid);
    }
}

} // namespace magnolia::peerlink::testing

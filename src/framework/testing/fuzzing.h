// Mutated inputs for decoders. MAGNOLIA_FUZZ_ROUNDS overrides the number of inputs, for long manual runs.
#pragma once

#include "framework/global/random.h"

#include <cstdlib>
#include <string>

namespace magnolia::testing
{

/** Returns the number of inputs of a fuzz test. */
[[nodiscard]] inline int fuzzRounds()
{
    constexpr int defaultRounds = 3000;
    const char *text = std::getenv("MAGNOLIA_FUZZ_ROUNDS");
    return text == nullptr ? defaultRounds : std::atoi(text);
}

/** Returns `text` after one to eight changes: a replaced byte, a removed part or a part copied elsewhere. */
[[nodiscard]] inline std::string mutated(std::string text, Random &random)
{
    constexpr std::uint64_t maxChanges = 8;
    constexpr std::uint64_t maxErasedBytes = 12;
    constexpr std::uint64_t maxCopiedBytes = 20;
    for (std::uint64_t changes = 1 + random.below(maxChanges); changes > 0 && !text.empty(); --changes) {
        const std::size_t at = random.below(text.size());
        switch (random.below(3)) {
        case 0:
            text[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.erase(at, 1 + random.below(maxErasedBytes));
            break;
        default:
            text.insert(at, text.substr(random.below(text.size()), random.below(maxCopiedBytes)));
        }
    }
    return text;
}

} // namespace magnolia::testing

// Mutated input for decoders. MAGNOLIA_FUZZ_ROUNDS sets another number of inputs, for long runs by hand.
#pragma once

#include "framework/global/random.h"

#include <cstdlib>
#include <string>

namespace magnolia::testing
{

[[nodiscard]] inline int fuzzRounds()
{
    constexpr int usual = 3000;
    const char *text = std::getenv("MAGNOLIA_FUZZ_ROUNDS");
    return text == nullptr ? usual : std::atoi(text);
}

/** `text` with up to eight bytes changed, parts cut out or parts repeated elsewhere. */
[[nodiscard]] inline std::string mutated(std::string text, Random &random)
{
    constexpr std::uint64_t mostChanges = 8;
    constexpr std::uint64_t mostCut = 12;
    constexpr std::uint64_t mostRepeated = 20;
    for (std::uint64_t changes = 1 + random.below(mostChanges); changes > 0 && !text.empty(); --changes) {
        const std::size_t at = random.below(text.size());
        switch (random.below(3)) {
        case 0:
            text[at] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.erase(at, 1 + random.below(mostCut));
            break;
        default:
            text.insert(at, text.substr(random.below(text.size()), random.below(mostRepeated)));
        }
    }
    return text;
}

} // namespace magnolia::testing

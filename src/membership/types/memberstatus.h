// The status of a member. With equal incarnations and refutation numbers the higher status overrides the lower one.
#pragma once

#include <cstdint>

namespace magnolia::membership
{

enum class MemberStatus : std::uint8_t {
    Alive = 0,
    Suspect = 1,
    Dead = 2,
};

} // namespace magnolia::membership

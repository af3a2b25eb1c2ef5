// Sends one streamed completion and measures it from its intended start to its last event.
#pragma once

#include "measures.h"

#include "framework/global/types/time.h"

#include <cstdint>
#include <string>

namespace magnolia::load
{

struct CallOptions
{
    /** `ip:port`. */
    std::string address;
    std::string requestId;
    std::string organisation;
    std::string requestClass;
    std::string model;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    /** Written at the start of the prompt, so that it differs from other prompts of the same length. */
    std::uint64_t promptNumber = 0;
    MonoTime intendedStart{};
};

/** Sends the completion on a new connection and reads its response. Errors are reported in the outcome. */
[[nodiscard]] CallResult runCall(const CallOptions &options);

} // namespace magnolia::load

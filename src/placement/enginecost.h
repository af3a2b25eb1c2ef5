// Prefill and decode times of an engine by its published performance model.
#pragma once

#include "catalogue/types/enginemodel.h"

#include <cstdint>

namespace magnolia::placement
{

/** Returns the prefill time of a prompt on an otherwise idle engine, in milliseconds. */
[[nodiscard]] double prefillMs(const catalogue::EngineModel &engine, double promptTokens);

/**
 * Returns the estimated output tokens that are still to be written of a response of `outputTokens`, of which the caller
 * has `receivedEvents` events, one a pass. At least one pass remains.
 */
[[nodiscard]] double remainingOutputTokens(
    const catalogue::EngineModel &engine, double outputTokens, std::uint64_t receivedEvents);

/**
 * Returns the time of a pass that decodes for `decodingRequests` requests with `contextTokens` in total and does no
 * prefill, in milliseconds.
 */
[[nodiscard]] double decodePassMs(const catalogue::EngineModel &engine, int decodingRequests, double contextTokens);

/** Returns the longest prefill of a prompt that one pass with decoding requests can contain, in milliseconds. */
[[nodiscard]] double maxPrefillMsInPass(const catalogue::EngineModel &engine, double promptTokens);

} // namespace magnolia::placement

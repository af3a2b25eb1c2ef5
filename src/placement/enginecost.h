// Times of one engine by the published formula of its passes.
#pragma once

#include "catalogue/types/enginemodel.h"

namespace magnolia::placement
{

/** Milliseconds in which one engine that does nothing else reads a prompt. */
[[nodiscard]] double prefillMs(const catalogue::EngineModel &engine, double promptTokens);

/** Milliseconds of a pass that writes one event for each of `decodingRequests` with `contextTokens` together, and reads
 * nothing.
 */
[[nodiscard]] double decodePassMs(const catalogue::EngineModel &engine, int decodingRequests, double contextTokens);

/** Most milliseconds of reading that one pass with decoding requests can hold, for parts of `prompt` tokens. */
[[nodiscard]] double maxPrefillMsInPass(const catalogue::EngineModel &engine, double promptTokens);

} // namespace magnolia::placement

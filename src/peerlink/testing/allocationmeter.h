// Records a test program's largest allocation, to check that decoders don't trust sizes in the input. Test code only.
#pragma once

#include <cstddef>

namespace magnolia::peerlink::testing
{

void resetLargestAllocation();
/** Size in bytes of the largest single allocation by any thread since the last reset. */
[[nodiscard]] std::size_t largestAllocation();

} // namespace magnolia::peerlink::testing

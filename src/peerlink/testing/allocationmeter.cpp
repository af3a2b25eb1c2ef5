// Replaces the program's allocation functions by ones that record the largest size. In a separate file because, when
// they are inlined into allocating code, the compiler warns about mismatched allocation and deallocation functions.
#include "peerlink/testing/allocationmeter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::size_t> largest = 0;

} // namespace

// With the address sanitizer its own functions stay and nothing is recorded: it detects excessive sizes itself.
#ifndef __SANITIZE_ADDRESS__
void *operator new(std::size_t size)
{
    std::size_t known = largest;
    while (size > known && !largest.compare_exchange_weak(known, size)) { }
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

#endif

namespace magnolia::peerlink::testing
{

void resetLargestAllocation()
{
    largest = 0;
}

std::size_t largestAllocation()
{
    return largest;
}

} // namespace magnolia::peerlink::testing

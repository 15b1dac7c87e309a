// Replaces the global operator new with one that counts its calls per thread.
#include "support/allocations.h"

#include <cstdlib>
#include <new>

namespace {

thread_local std::uint64_t callCount = 0;

}

namespace waxwinglug::test {

std::uint64_t allocationCount() { return callCount; }

} // namespace waxwinglug::test

void* operator new(std::size_t size)
{
    ++callCount;
    if (void* memory = std::malloc(size == 0 ? 1 : size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

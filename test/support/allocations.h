// Counts memory allocations, for tests of code that must not allocate and for benchmarks.
#pragma once

#include <cstdint>

namespace waxwinglug::test {

// Number of calls of operator new on this thread since it started.
std::uint64_t allocationCount();

} // namespace waxwinglug::test

// Counts the allocations of the test binary, for tests that allow none.
#pragma once

#include <cstdint>

namespace waxwinglug::test {

// Calls of operator new of this thread since the start.
std::uint64_t allocationCount();

} // namespace waxwinglug::test

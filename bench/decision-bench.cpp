// Time and allocations of one admission decision with its dispatch, at the size of section 1.6 of the design page.
//
// Counts are checked in test/request/decision-count-test.cpp; times are only printed.
#include "support/allocations.h"
#include "support/decision-load.h"

#include <benchmark/benchmark.h>

namespace waxwinglug {
namespace {

    // A request is admitted, the next one is granted and starts, and the oldest running one ends.
    void decide(benchmark::State& state)
    {
        test::DecisionLoad load;
        for (int i = 0; i < 100'000; ++i)
            load.step();
        const auto allocations = test::allocationCount();
        const auto steps = load.stepCount();
        for (auto _ : state)
            load.step();
        const auto iterations = static_cast<double>(state.iterations());
        state.counters["allocations"] = static_cast<double>(test::allocationCount() - allocations) / iterations;
        state.counters["steps"] = static_cast<double>(load.stepCount() - steps) / iterations;
        state.counters["waiting"] = static_cast<double>(load.waitingCount());
    }
    BENCHMARK(decide);

} // namespace
} // namespace waxwinglug

BENCHMARK_MAIN();

// Time and allocations of one admission decision with its dispatch, at the fleet size of section 1.6 of the design
// page.
//
// The counts are checked by test/request/decision-count-test.cpp; times are printed only.
#include "support/allocations.h"
#include "support/decision-load.h"

#include <benchmark/benchmark.h>

namespace waxwinglug {
namespace {

    // One iteration submits a request, starts the requests that get a slot, and ends those whose run time is over.
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

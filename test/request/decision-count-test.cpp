// Bounds on what a decision costs, as counts that repeat exactly; times are in bench/decision-bench.cpp.
#include "support/allocations.h"
#include "support/decision-load.h"

#include <gtest/gtest.h>

namespace waxwinglug {
namespace {

    // Guards against allocations on the request path, and against effort that grows with the number of waiting
    // requests.
    TEST(Decision, allocatesNothingAfterWarmUpAndTakesBoundedSteps)
    {
        test::DecisionLoad load;
        for (int i = 0; i < 100'000; ++i)
            load.step();
        const auto allocations = test::allocationCount();
        const auto steps = load.stepCount();
        const auto granted = load.grantedCount();
        constexpr int rounds = 50'000;
        for (int i = 0; i < rounds; ++i)
            load.step();
        EXPECT_EQ(test::allocationCount() - allocations, 0U);
        EXPECT_GT(load.waitingCount(), 5'000U);
        const auto grants = load.grantedCount() - granted;
        EXPECT_GT(grants, 1'000U);
        // Each call of next() looks at each team at most once per class, and one call per round finds nothing.
        EXPECT_LE(load.stepCount() - steps, (grants + rounds) * 2 * test::DecisionLoad::teamCount);
    }

} // namespace
} // namespace waxwinglug

// Bounds on the cost of an admission decision, as reproducible counts; bench/decision-bench.cpp prints times.
#include "support/allocations.h"
#include "support/decision-load.h"

#include <gtest/gtest.h>

namespace waxwinglug {
namespace {

    // Guards against allocations on the request path and against a cost that grows with the number of waiting requests.
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
        // Each call of grantNext() examines each team at most once per class, and the last call of each round finds no
        // request.
        EXPECT_LE(load.stepCount() - steps, (grants + rounds) * 2 * test::DecisionLoad::teamCount);
    }

} // namespace
} // namespace waxwinglug

// Bounds on the cost of scheduling at a peak, as reproducible counts; bench/scheduling-bench.cpp prints times.
#include "support/scheduling-load.h"

#include <gtest/gtest.h>

namespace waxwinglug {
namespace {

    // While a queue has more work than its servers can take, each of the hundreds of waiting steps was compared with
    // all servers every 5 ms: the leader spends its processor when it needs it most.
    TEST(SchedulingCost, waitingStepsAreNotComparedWithAllServersInEachDispatch)
    {
        constexpr int serversPerService = 85;
        test::SchedulingLoad load(serversPerService);
        load.setRate(200); // about twice what the servers can take
        for (int step = 0; step < 400; ++step)
            load.step();
        ASSERT_GT(load.unfinishedJobs(), 300U);
        const auto starts = load.starts();
        const auto examined = load.jobScheduler().examinedServerCount();
        constexpr int steps = 400;
        for (int step = 0; step < steps; ++step)
            load.step();
        const auto started = load.starts() - starts;
        ASSERT_GT(started, 500U);
        // Each start chooses among all servers; besides, a dispatch may find some needs that fit nowhere.
        constexpr std::uint64_t failedChoices = 16;
        const auto dispatches = static_cast<std::uint64_t>(steps) * test::SchedulingLoad::services;
        EXPECT_LE(load.jobScheduler().examinedServerCount() - examined,
            (started + dispatches * failedChoices) * serversPerService);
    }

} // namespace
} // namespace waxwinglug

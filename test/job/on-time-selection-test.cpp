#include "job/on-time-selection.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    using Jobs = std::vector<OnTimeCandidate>;

    long countInTime(const Jobs& jobs, std::int64_t processor)
    {
        return std::ranges::count(selectOnTimeJobs(jobs, processor), true);
    }

} // namespace

// Guards against dropping a job although all jobs fit.
TEST(OnTimeSelection, keepsEveryJobThatFits)
{
    const Jobs jobs { { Duration(1000), Duration(500), 400'000 }, { Duration(2000), Duration(500), 600'000 } };
    EXPECT_EQ(countInTime(jobs, 1000), 2);
}

// Guards against the collapse under overload: in deadline order alone, a large job at the front makes all others late.
TEST(OnTimeSelection, dropsTheLargestJobThatIsInTheWay)
{
    const Jobs jobs { { Duration(1000), Duration(200), 900'000 }, { Duration(1100), Duration(200), 400'000 },
        { Duration(1200), Duration(200), 400'000 } };
    EXPECT_EQ(selectOnTimeJobs(jobs, 1000), (std::vector<bool> { false, true, true }));
}

// Guards against spending capacity on a job whose critical path exceeds its remaining time.
TEST(OnTimeSelection, dropsAJobWhoseChainIsTooLong)
{
    const Jobs jobs { { Duration(300), Duration(500), 1000 }, { Duration(1000), Duration(500), 1000 } };
    EXPECT_EQ(selectOnTimeJobs(jobs, 1000), (std::vector<bool> { false, true }));
}

// Load: demand of five times the mean for 4.5 s, with servers for four fifths of it. Guards against a selection whose
// jobs cannot all meet their soft deadlines.
TEST(OnTimeSelection, selectionUnderPeakLoadMeetsDeadlines)
{
    Jobs jobs;
    for (int number = 0; number < 100; ++number)
        jobs.push_back({ Duration(3000 + number * 45), Duration(1500), 20'000'000 + number % 7 * 9'000'000LL });
    constexpr std::int64_t processor = 576'000;
    const auto chosen = selectOnTimeJobs(jobs, processor);
    std::int64_t work = 0;
    for (std::size_t number = 0; number < jobs.size(); ++number) {
        if (!chosen[number])
            continue;
        work += jobs[number].work;
        EXPECT_LE(work / processor, jobs[number].timeLeft.count());
    }
    EXPECT_GE(std::ranges::count(chosen, true), 70);
}

TEST(OnTimeSelection, choosesNothingWithoutServers)
{
    EXPECT_EQ(countInTime({ { Duration(1000), Duration(1), 1 } }, 0), 0);
}

} // namespace waxwinglug

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

// Guards against jobs that are pushed back although there is room for all of them.
TEST(Triage, keepsEveryJobThatFits)
{
    const Jobs jobs { { Duration(1000), Duration(500), 400'000 }, { Duration(2000), Duration(500), 600'000 } };
    EXPECT_EQ(countInTime(jobs, 1000), 2);
}

// Guards against the collapse in a peak: served by objective alone, a large job in front makes all others late.
TEST(Triage, dropsTheLargestJobThatIsInTheWay)
{
    const Jobs jobs { { Duration(1000), Duration(200), 900'000 }, { Duration(1100), Duration(200), 400'000 },
        { Duration(1200), Duration(200), 400'000 } };
    EXPECT_EQ(selectOnTimeJobs(jobs, 1000), (std::vector<bool> { false, true, true }));
}

// Guards against time that is spent on a job whose chain cannot end in time any more.
TEST(Triage, dropsAJobWhoseChainIsTooLong)
{
    const Jobs jobs { { Duration(300), Duration(500), 1000 }, { Duration(1000), Duration(500), 1000 } };
    EXPECT_EQ(selectOnTimeJobs(jobs, 1000), (std::vector<bool> { false, true }));
}

// Load: five times the mean for 4.5 s against servers for four fifths of it. Guards against a choice whose jobs cannot
// all be run by their objectives.
TEST(Triage, choiceOfAPeakCanBeRunInOrder)
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

TEST(Triage, choosesNothingWithoutServers) { EXPECT_EQ(countInTime({ { Duration(1000), Duration(1), 1 } }, 0), 0); }

} // namespace waxwinglug

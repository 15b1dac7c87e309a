// Guards against stored progress that exceeds the largest row of the store, for jobs of any shape, and against progress
// that is lost to make it fit.
#include "job/job-table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace waxwinglug::detail {
namespace {

    constexpr std::size_t maxBytes = 49'152;

    JobSpec makeJob(std::vector<int> counts, int occurrences)
    {
        JobSpec spec;
        spec.id = "job";
        spec.occurrences = occurrences;
        spec.interval = Duration(1);
        for (const int count : counts) {
            spec.steps.emplace_back();
            spec.steps.back().count = count;
        }
        return spec;
    }

    // Visits the tasks of all active occurrences in their order.
    void forEachTask(JobRecord& job, const std::function<void(StepProgress&, Task&)>& visit)
    {
        for (auto& [number, occurrence] : job.activeOccurrences) {
            for (auto& step : occurrence.steps) {
                for (auto& task : step.tasks)
                    visit(step, task);
            }
        }
    }

    std::size_t countCheckpoints(JobRecord& job)
    {
        std::size_t count = 0;
        forEachTask(job, [&count](StepProgress&, const Task& task) {
            count += task.phase != TaskPhase::Done && !task.checkpoint.empty();
        });
        return count;
    }

} // namespace

RC_GTEST_PROP(JobProgress, fitsInARowAndIsReadBack, ())
{
    const auto stepCount = *rc::gen::inRange<std::size_t>(1, 12);
    const auto counts = *rc::gen::container<std::vector<int>>(stepCount, rc::gen::inRange(1, 1600));
    const auto spec = makeJob(counts, *rc::gen::element(0, 1, 3, 100));
    validateJob(spec);
    JobRecord job(spec);
    JobTable::activateDueOccurrences(job, WallTime(Duration(1000)));
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    const auto pick = [&random](int max) { return std::uniform_int_distribution<int>(0, max)(random); };
    const auto donePercent = pick(100);
    const auto checkpointBytes = static_cast<std::size_t>(pick(300));
    int failuresLeft = 1000;
    forEachTask(job, [&](StepProgress& step, Task& task) {
        if (pick(99) < donePercent)
            setPhase(step, task, TaskPhase::Done);
        if (pick(9) == 0 && --failuresLeft > 0)
            task.failedRuns.push_back(pick(2'000'000'000));
        if (pick(1) == 0)
            task.checkpoint = std::string(checkpointBytes, pick(5) == 0 ? '\n' : 'c');
    });
    const auto saved = JobTable::save(job, maxBytes);
    RC_ASSERT(saved.text.size() <= maxBytes);
    JobRecord read(spec);
    JobTable::load(read, saved.text, 1);
    std::vector<std::tuple<TaskPhase, std::vector<int>, std::string>> expected;
    forEachTask(job,
        [&](StepProgress&, const Task& task) { expected.emplace_back(task.phase, task.failedRuns, task.checkpoint); });
    std::size_t index = 0;
    forEachTask(read, [&](StepProgress&, const Task& task) {
        const auto& [phase, failedRuns, checkpoint] = expected.at(index++);
        RC_ASSERT(task.phase == phase);
        RC_ASSERT(task.failedRuns == failedRuns);
        RC_ASSERT(task.checkpoint.empty() || task.checkpoint == checkpoint);
    });
    RC_ASSERT(index == expected.size());
    RC_ASSERT(countCheckpoints(read) + saved.omittedCheckpoints == countCheckpoints(job));
}

// Guards against checkpoints that are left out although the row has room for them.
TEST(JobProgress, keepsAsManyCheckpointsAsFit)
{
    JobRecord job(makeJob({ 1400, 1400 }, 0));
    JobTable::activateDueOccurrences(job, WallTime(Duration(1000)));
    forEachTask(job, [](StepProgress&, Task& task) { task.checkpoint = "00000bb87a21d94b"; });
    const auto saved = JobTable::save(job, maxBytes);
    EXPECT_GT(saved.text.size(), maxBytes * 9 / 10);
    EXPECT_GT(saved.omittedCheckpoints, 0U);
    EXPECT_EQ(JobTable::save(job).omittedCheckpoints, 0U);
}

// Guards against a job that uses up the memory of a VM, and whose progress no row can hold.
TEST(JobProgress, jobsWithTooManyTasksAreRefused)
{
    EXPECT_NO_THROW(validateJob(makeJob(std::vector<int>(10, 2000), 0)));
    EXPECT_THROW(validateJob(makeJob(std::vector<int>(11, 2000), 0)), Error);
}

// Guards against the same by occurrences that are active at the same time.
TEST(JobProgress, wideOccurrencesWaitForEarlierOnes)
{
    JobRecord wide(makeJob(std::vector<int>(10, 1000), 100));
    JobTable::activateDueOccurrences(wide, WallTime(Duration(1000)));
    EXPECT_EQ(wide.activeOccurrences.size(), 2U);
    JobRecord narrow(makeJob({ 3 }, 100));
    JobTable::activateDueOccurrences(narrow, WallTime(Duration(1000)));
    EXPECT_EQ(narrow.activeOccurrences.size(), 50U);
}

} // namespace waxwinglug::detail

// Tests the values that replace the rows of ended jobs.
#include "job/ended-job.h"

#include <gtest/gtest.h>

namespace waxwinglug {

// Guards against a final state that is lost when the row of a job is replaced.
TEST(EndedJob, finalStatesAreRestored)
{
    for (const auto state : { JobStatus::Completed, JobStatus::Failed, JobStatus::Cancelled })
        EXPECT_EQ(decodeEndedJob(encodeEndedJob(state)), state);
}

// Guards against a submitted job that is taken for an ended one and never runs.
TEST(EndedJob, otherValuesAreNotTakenForEndedJobs)
{
    JobSpec job;
    job.id = "ended";
    job.command = encodeEndedJob(JobStatus::Completed);
    job.steps.resize(1);
    job.steps[0].count = 1;
    EXPECT_FALSE(decodeEndedJob(toJson(job)));
    for (const auto* text : { "", "{}", R"({"ended":"running"})", R"({"ended":"")", R"({"ended":"completed")" })
        EXPECT_FALSE(decodeEndedJob(text)) << text;
}

} // namespace waxwinglug

// Tests of backend servers that are suspected of failing what they start.
#include "job/server-suspicion.h"

#include <gtest/gtest.h>

#include <string>

namespace waxwinglug::detail {
namespace {

    struct ServerSuspicionTest : testing::Test {
        ManualClock clock;
        ServerSuspicion suspicion;

        TimePoint now() const { return this->clock.now(); }
        bool fail(const std::string& job, Duration runTime = Duration(20))
        {
            const auto startedAt = this->now();
            this->clock.advance(runTime);
            return this->suspicion.recordFailure(job, startedAt, this->now());
        }
        void eject()
        {
            for (const auto* job : { "a", "b", "c" })
                this->fail(job);
            this->suspicion.eject(this->now());
        }
        TaskId task(const std::string& job) const { return { job, 0, 0, 0 }; }
    };

} // namespace

// Guards against a server that is ejected because two jobs fail on it again and again.
TEST_F(ServerSuspicionTest, onlyFailuresOfDifferentJobsCount)
{
    for (int round = 0; round < 5; ++round) {
        EXPECT_FALSE(this->fail("a"));
        EXPECT_FALSE(this->fail("b"));
    }
    EXPECT_TRUE(this->fail("c"));
}

// Guards against a server that is ejected for failures between which its tasks have ended well.
TEST_F(ServerSuspicionTest, runThatEndedWellForgetsTheFailures)
{
    this->fail("a");
    this->fail("b");
    EXPECT_FALSE(this->suspicion.recordSuccess(this->now()));
    EXPECT_FALSE(this->fail("c"));
}

// Guards against ejections that grow because tasks which had started before still fail.
TEST_F(ServerSuspicionTest, failuresOfOlderRunsDoNotExtendAnEjection)
{
    const auto startedBefore = this->now();
    this->eject();
    this->clock.advance(Duration(100));
    EXPECT_FALSE(this->suspicion.recordFailure("d", startedBefore, this->now()));
    EXPECT_FALSE(this->suspicion.recordSuccess(startedBefore)) << "it proves nothing about the time since either";
    EXPECT_TRUE(this->suspicion.isSuspect());
}

// Guards against a server that fails all it starts and gets more than one task at a time, or gets them often.
TEST_F(ServerSuspicionTest, ejectionsGrowAndOneTaskProbes)
{
    this->eject();
    for (const auto length : { Duration(2000), Duration(4000), Duration(8000), Duration(16'000), Duration(16'000) }) {
        EXPECT_EQ(this->suspicion.ejectionTime(), length);
        this->clock.advance(length - Duration(1));
        EXPECT_FALSE(this->suspicion.mayGetTask(this->now()));
        this->clock.advance(Duration(1));
        EXPECT_TRUE(this->suspicion.mayGetTask(this->now()));
        this->suspicion.taskStarted(this->task("p"), this->now());
        EXPECT_FALSE(this->suspicion.mayGetTask(this->now()));
        EXPECT_TRUE(this->fail("p"));
        this->suspicion.eject(this->now());
    }
}

// Guards against a server that stays out because its probe was stopped and gave no verdict.
TEST_F(ServerSuspicionTest, probeWithoutVerdictMakesRoomForAnother)
{
    this->eject();
    this->clock.advance(Duration(2000));
    this->suspicion.taskStarted(this->task("p"), this->now());
    this->suspicion.taskReleased(this->task("other"));
    EXPECT_FALSE(this->suspicion.mayGetTask(this->now()));
    this->suspicion.taskReleased(this->task("p"));
    EXPECT_TRUE(this->suspicion.mayGetTask(this->now()));
}

// Guards against a probe that never ends and keeps all other tasks away, and against one that is taken for sound before
// the failed runs would have failed.
TEST_F(ServerSuspicionTest, probeIsSoundOnceItOutlivesTheFailures)
{
    for (const auto* job : { "a", "b", "c" })
        this->fail(job, Duration(5000));
    this->suspicion.eject(this->now());
    this->clock.advance(Duration(2000));
    this->suspicion.taskStarted(this->task("p"), this->now());
    this->clock.advance(Duration(5500));
    EXPECT_FALSE(this->suspicion.hasProbeOutlivedFailures(this->now()));
    this->clock.advance(Duration(1000));
    EXPECT_TRUE(this->suspicion.hasProbeOutlivedFailures(this->now()));
}

} // namespace waxwinglug::detail

// Tests of what a leader stores about servers that do not answer, and of the next leader that reads it.
#include "job/scheduler-fixture.h"

#include <rapidcheck/gtest.h>

#include <algorithm>

namespace waxwinglug::test {

struct LostServerTest : SchedulerTest {
    std::map<std::string, JobScheduler::ServerUseRecord> stored;

    std::set<std::string> lost; // servers that answer nothing
    TimePoint changedAt; // when the latest leader began

    void store()
    {
        const auto changes = this->scheduler->takeServerUseChanges(10);
        for (const auto& change : changes) {
            if (change.record)
                this->stored[change.server] = change;
            else
                this->stored.erase(change.server);
        }
        this->scheduler->serverUseSaved(changes);
    }

    void pass(Duration time)
    {
        constexpr Duration interval { 250 };
        for (Duration passed { 0 }; passed < time; passed += interval) {
            this->clock.advance(interval);
            for (const auto& [id, use] : this->stored) {
                if (this->lost.contains(id))
                    this->scheduler->renewAnswered(id, this->clock.now(), OrderStatus::Unknown, {});
                else if (id != "lost")
                    this->answerRenewal(id, {}, {});
            }
            this->scheduler->tick();
            this->store();
        }
    }

    // A new leader that finds what is stored, and a job of an earlier one.
    void changeLeader(std::uint64_t fence)
    {
        this->begin(fence);
        this->changedAt = this->clock.now();
        this->scheduler->addJob(this->job("j", this->step(1)), true);
        for (const auto& [id, use] : this->stored) {
            if (!this->lost.contains(id))
                this->scheduler->addServer(this->record(id));
            this->scheduler->addServerInUse(*use.record);
        }
        for (const auto& [id, use] : this->stored) {
            if (use.leaseEnd)
                this->scheduler->setInheritedLeaseEnd(id, *use.leaseEnd);
            if (use.strayLeaseEnd)
                this->scheduler->setInheritedStrayLeaseEnd(id, *use.strayLeaseEnd);
        }
        this->scheduler->tick();
        for (const auto& [id, use] : this->stored) {
            if (!this->lost.contains(id))
                this->answerRenewal(id, {}, {});
        }
        this->store();
    }

    // Time until the inherited job starts, or more than the maximum.
    Duration waitForStart(Duration maxTime)
    {
        const auto since = this->clock.now();
        while (this->starts.empty() && this->clock.now() - since <= maxTime)
            this->pass(Duration(250));
        return this->clock.now() - since;
    }

    std::optional<ServerClock> grantedLease(const std::string& server)
    {
        this->renewals.erase(server);
        this->answerRenewal(server, {}, {});
        const auto renewal = this->renewals.find(server);
        return renewal == this->renewals.end() ? std::nullopt : renewal->second.leaseUntil;
    }
};

// Guards against work that waits anew in each term for a server that was lost before the first of them (review/9,
// LOST).
TEST_F(LostServerTest, inheritedWorkWaitsOnceForAServerThatIsLost)
{
    this->addServer("a");
    this->stored["a"] = { "a", this->record("a"), {} };
    this->stored["lost"] = { "lost", this->record("lost"), {} };
    this->lost = { "lost" };
    const auto firstChange = this->clock.now();
    for (std::uint64_t fence = 2; fence < 5; ++fence) {
        this->changeLeader(fence);
        this->pass(Duration(2500));
        EXPECT_TRUE(this->starts.empty()) << "the server may still run the job";
    }
    this->changeLeader(5);
    this->waitForStart(Duration(9500));
    ASSERT_EQ(this->starts.size(), 1U);
    EXPECT_GE(this->clock.now() - firstChange, Duration(9500));
    EXPECT_LE(this->clock.now() - firstChange, Duration(9500 + 500));
}

// Guards against a wait that grows with the number of leaders, and against one that ends while the server may still run
// the task: terms of any length, servers that were lost before, with or without an earlier record of their leases.
RC_GTEST_FIXTURE_PROP(LostServerTest, waitForALostServerDoesNotGrowWithTheNumberOfLeaders, ())
{
    this->SetUp();
    this->stored.clear();
    this->addServer("a");
    this->stored["a"] = { "a", this->record("a"), {} };
    this->stored["lost"] = { "lost", this->record("lost"), {} };
    this->lost = { "lost" };
    const auto firstChange = this->clock.now();
    const int changes = *rc::gen::inRange(1, 5);
    // The first term lasts long enough to notice that the server does not answer.
    const auto earliest = firstChange + Duration(9500);
    for (int number = 0; number < changes; ++number) {
        this->changeLeader(static_cast<std::uint64_t>(number) + 2);
        this->pass(Duration(*rc::gen::inRange(number == 0 ? 6 : 0, 16) * 250));
        if (!this->starts.empty())
            RC_ASSERT(this->clock.now() >= earliest);
    }
    this->changeLeader(static_cast<std::uint64_t>(changes) + 2);
    this->waitForStart(Duration(20'000));
    RC_ASSERT(this->starts.size() == 1U);
    RC_ASSERT(this->clock.now() >= earliest);
    RC_ASSERT(this->clock.now() - firstChange <= Duration(9500 + 500)
        || this->clock.now() - this->changedAt <= Duration(500));
}

// Guards against a new leader that waits for longer than the lease of a server that its predecessor had lost.
TEST_F(LostServerTest, leaseOfAServerThatTheEarlierLeaderHasLostBoundsTheWait)
{
    this->addServer("a");
    this->addServer("b");
    this->store();
    for (const auto* id : { "a", "b" })
        this->stored[id] = { id, this->record(id), {} };
    this->lost = { "b" };
    this->pass(Duration(2000));
    ASSERT_TRUE(this->stored.at("b").leaseEnd);
    this->changeLeader(2);
    EXPECT_TRUE(this->starts.empty()) << "the lease lasts 4 s";
    EXPECT_LE(this->waitForStart(Duration(9500)), Duration(3000));
    EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against a lease or a task beyond the end that the next leader has read.
TEST_F(LostServerTest, serverThatAnswersAgainGetsNothingBeforeItsRecordIsCorrected)
{
    this->addServer("a");
    this->addServer("b");
    for (const auto* id : { "a", "b" })
        this->stored[id] = { id, this->record(id), {} };
    this->lost = { "b" };
    this->pass(Duration(2000));
    ASSERT_TRUE(this->stored.at("b").leaseEnd);
    this->lost.clear();
    EXPECT_FALSE(this->grantedLease("b"));
    auto step = this->step(1);
    step.taskResources = { 4000, 4000, 0 };
    this->scheduler->addJob(this->job("first", step), false);
    this->scheduler->addJob(this->job("second", step), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    EXPECT_EQ(this->starts[0].first, "a");
    // A write without an answer may have been carried out or not.
    const auto unanswered = this->scheduler->takeServerUseChanges(10);
    ASSERT_EQ(unanswered.size(), 1U);
    EXPECT_FALSE(unanswered[0].leaseEnd);
    this->scheduler->serverUseNotSaved(unanswered);
    EXPECT_FALSE(this->grantedLease("b"));
    this->store();
    EXPECT_FALSE(this->stored.at("b").leaseEnd);
    EXPECT_TRUE(this->grantedLease("b"));
    EXPECT_EQ(this->starts.size(), 2U);
}

// Guards against an end that was stored for an earlier incarnation of a server and is believed for the present one.
TEST_F(LostServerTest, endOfTheLeasesOfAnotherIncarnationIsNotBelieved)
{
    this->addServer("a");
    this->stored["a"] = { "a", this->record("a"), {} };
    this->stored["lost"] = { "lost", this->record("lost"), this->clock.now() + Duration(100) };
    this->incarnations["lost"] = WallTime(std::chrono::sys_days { std::chrono::year { 2026 } / 1 / 2 });
    this->begin(2);
    this->scheduler->addJob(this->job("j", this->step(1)), true);
    this->scheduler->addServer(this->record("a"));
    this->scheduler->addServer(this->record("lost"));
    this->scheduler->addServerInUse(*this->stored["a"].record);
    this->scheduler->addServerInUse(*this->stored["lost"].record);
    this->scheduler->setInheritedLeaseEnd("lost", *this->stored["lost"].leaseEnd);
    this->lost = { "lost" };
    this->pass(Duration(3000));
    EXPECT_TRUE(this->starts.empty());
}

// Server "b" starts again under its id, and orders meant for its earlier incarnation may have created leases of 10 s on
// the later one; then the leader is killed, and the next one, which knows that it has stopped, does not reach "b".
struct RestartedServerTest : LostServerTest {
    static constexpr Duration maxLease { 10'204 }; // on a slow clock

    TimePoint restartedAt;

    void SetUp() override
    {
        LostServerTest::SetUp();
        this->earlierLeaderStopped = true;
        this->incarnations["b"] = WallTime(std::chrono::sys_days { std::chrono::year { 2026 } / 1 / 1 });
        for (const auto* id : { "a", "b" }) {
            this->addServer(id);
            this->stored[id] = { id, this->record(id), {} };
        }
    }

    void restart()
    {
        this->incarnations["b"] += Duration(5000);
        this->restartedAt = this->clock.now();
    }

    // The next leader waits for as long as a lease of the maximum length lasts, whatever that leader has read.
    void expectLongWait(std::uint64_t fence)
    {
        this->lost = { "b" };
        this->changeLeader(fence);
        this->waitForStart(Duration(40'000));
        ASSERT_EQ(this->starts.size(), 1U);
        EXPECT_GE(this->clock.now() - this->restartedAt, maxLease);
        EXPECT_LE(this->clock.now() - this->restartedAt, Duration(25'000)) << "the wait is bounded";
    }
};

// Guards against a second run of a task while its first one goes on under a lease of the maximum length (recut-kill,
// TWICE): the earlier leader knew that the server had started again.
TEST_F(RestartedServerTest, leaseOfAStrayOrderIsPassedOnToTheNextLeader)
{
    this->restart();
    this->scheduler->addServer(this->record("b"));
    this->scheduler->tick();
    this->answerRenewal("b", {}, {});
    this->store();
    this->expectLongWait(2);
}

// The same, and the earlier leader is killed when it has read the server's row, before the server answers; the row has
// expired when the next leader reads the table.
TEST_F(RestartedServerTest, rowOfALaterIncarnationIsPassedOnToTheNextLeader)
{
    this->restart();
    this->scheduler->addServer(this->record("b"));
    this->scheduler->tick();
    this->store();
    this->expectLongWait(2);
}

// The same, and only the next leader reads the server's row.
TEST_F(RestartedServerTest, rowOfALaterIncarnationThanTheRecordedOneMakesTheNextLeaderWait)
{
    this->restart();
    this->lost = { "b" };
    this->begin(2);
    this->changedAt = this->clock.now();
    this->scheduler->addJob(this->job("j", this->step(1)), true);
    for (const auto* id : { "a", "b" }) {
        this->scheduler->addServer(this->record(id));
        this->scheduler->addServerInUse(*this->stored.at(id).record);
    }
    this->scheduler->tick();
    this->answerRenewal("a", {}, {});
    this->waitForStart(Duration(40'000));
    ASSERT_EQ(this->starts.size(), 1U);
    EXPECT_GE(this->clock.now() - this->restartedAt, maxLease);
}

// Guards against a lease of a stray order that only the next leader knows of, and not the one after it.
TEST_F(RestartedServerTest, leaseOfAStrayOrderIsPassedOnByALeaderThatDoesNotReachTheServer)
{
    this->restart();
    this->scheduler->addServer(this->record("b"));
    this->scheduler->tick();
    this->answerRenewal("b", {}, {});
    this->store();
    this->lost = { "b" };
    this->changeLeader(2);
    this->pass(Duration(1500));
    ASSERT_TRUE(this->starts.empty());
    this->expectLongWait(3);
}

// Guards against a longer wait where no server has started again.
TEST_F(RestartedServerTest, serverThatHasNotStartedAgainIsWaitedForUntilItsOwnLeaseEnds)
{
    this->store();
    this->lost = { "b" };
    this->changeLeader(2);
    EXPECT_LE(this->waitForStart(Duration(40'000)), Duration(5000));
    EXPECT_EQ(this->starts.size(), 1U);
}

} // namespace waxwinglug::test

// Tests of a leader whose orders may have reached a later incarnation of a server before any report of that one.
#include "job/scheduler-fixture.h"

namespace waxwinglug::test {

struct UnnoticedRestartTest : SchedulerTest {
    static constexpr Duration maxLease { 10'204 }; // on a slow clock
    static constexpr Duration maxWait { 23'000 }; // until a start without an answer and its lease are over

    void SetUp() override
    {
        SchedulerTest::SetUp();
        this->clock.advance(Duration(10'000)); // nothing waits for an earlier leader any more
        this->incarnations["a"] = WallTime(Duration(1000));
        this->addServer("a");
        this->scheduler->addJob(this->job("j", this->step(1)), false);
        this->scheduler->tick();
        ASSERT_EQ(this->starts.size(), 1U);
        this->addServer("b");
    }

    const StartOrder& order() const { return this->starts.front().second; }

    // Answers the start on "a", which may have been carried out just before.
    void answerStart(const OrderAnswer& answer)
    {
        this->scheduler->startAnswered("a", this->order().task, this->order().run, answer);
    }

    // "a" answers nothing, and "b" everything, until a second start or for the given time.
    Duration waitForStart(Duration maxTime)
    {
        constexpr Duration interval { 250 };
        const auto since = this->clock.now();
        while (this->starts.size() == 1 && this->clock.now() - since <= maxTime) {
            this->clock.advance(interval);
            this->scheduler->renewAnswered("a", this->clock.now(), OrderStatus::Unknown, {});
            this->answerRenewal("b", {}, {});
        }
        return this->clock.now() - since;
    }

    ServerClock clockOfA() const { return this->clock.now().time_since_epoch().count(); }
};

// Guards against a second run of a task that a later incarnation has started under a lease of the maximum length and
// whose server is cut off before it reports (recut, TWICE): only the clock in its answer shows that it is another one.
TEST_F(UnnoticedRestartTest, leaseOfAStartThatALaterIncarnationHasAnsweredIsWaitedFor)
{
    this->clock.advance(Duration(100));
    this->answerStart({ OrderStatus::Accepted, 300 });
    const auto waited = this->waitForStart(Duration(40'000));
    EXPECT_GE(waited, maxLease);
    EXPECT_LE(waited, maxWait);
    EXPECT_EQ(this->starts.size(), 2U);
}

// The same, and only the answer to a stop shows it.
TEST_F(UnnoticedRestartTest, leaseIsWaitedForOnceALaterIncarnationHasAnsweredAStop)
{
    this->answerStart({ OrderStatus::Accepted, this->clockOfA() });
    this->scheduler->cancelJob("j");
    this->scheduler->tick();
    ASSERT_EQ(this->stops.size(), 1U);
    this->clock.advance(Duration(100));
    this->scheduler->stopAnswered("a", this->order().task, this->order().run, { OrderStatus::Accepted, 300 });
    this->scheduler->addJob(this->job("k", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 2U);
    EXPECT_EQ(this->starts[1].first, "b") << "the later incarnation gets no task before it has reported";
}

// Guards against the same after a change of leaders.
TEST_F(UnnoticedRestartTest, leaseOfALaterIncarnationIsStoredForTheNextLeader)
{
    this->clock.advance(Duration(100));
    this->answerStart({ OrderStatus::Accepted, 300 });
    const auto changes = this->scheduler->takeServerUseChanges(10);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].server, "a");
    ASSERT_TRUE(changes[0].strayLeaseEnd);
    EXPECT_GE(*changes[0].strayLeaseEnd - this->clock.now(), maxLease);
}

// Guards against work that waits although it is known to have ended: the server has listed it before.
TEST_F(UnnoticedRestartTest, runsOfTheEarlierIncarnationStartElsewhereAtOnce)
{
    this->answerStart({ OrderStatus::Accepted, this->clockOfA() });
    this->clock.advance(Duration(10));
    this->answerRenewal("a", { { this->order().task, this->order().run, "", 1, 0 } }, {});
    this->scheduler->addJob(this->job("k", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 2U);
    ASSERT_EQ(this->starts[1].first, "a");
    const auto second = this->starts[1].second;
    this->scheduler->startAnswered("a", second.task, second.run, { OrderStatus::Accepted, 300 });
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 3U);
    EXPECT_EQ(this->starts[2].first, "b");
    EXPECT_EQ(this->starts[2].second.task, this->order().task);
}

// Guards against work that waits for a server which has not started again: its clock may be 2% slow.
TEST_F(UnnoticedRestartTest, slowClockIsNotTakenForALaterIncarnation)
{
    this->answerRenewal("a", {}, {});
    const auto report = this->clockOfA();
    this->clock.advance(Duration(1000));
    this->answerStart({ OrderStatus::Accepted, report + 980 });
    EXPECT_LE(this->waitForStart(Duration(40'000)), Duration(5000));
}

// Guards against a second run of a task whose start got no answer: a later incarnation may have carried it out. What
// the server has reported is started elsewhere when its lease has expired.
TEST_F(UnnoticedRestartTest, startWithoutAnswerIsWaitedForBeyondTheLeaseOfItsServer)
{
    this->clock.advance(Duration(600));
    this->answerStart({ OrderStatus::Unknown });
    const auto waited = this->waitForStart(Duration(40'000));
    EXPECT_GE(waited, maxLease);
    EXPECT_LE(waited, maxWait);
    EXPECT_EQ(this->starts.size(), 2U);
}

// Guards against more orders to a server that may have ended, and against a long wait until its next incarnation is
// known: the renewal in flight may wait for an answer of the earlier one.
TEST_F(UnnoticedRestartTest, serverThatLeavesAStartUnansweredIsAskedAtOnce)
{
    this->clock.advance(Duration(600));
    this->renewals.clear();
    this->answerStart({ OrderStatus::Unknown });
    this->scheduler->addJob(this->job("k", this->step(1)), false);
    this->scheduler->dispatchChanges();
    ASSERT_TRUE(this->renewals.contains("a"));
    EXPECT_FALSE(this->renewals.at("a").leaseUntil);
    EXPECT_EQ(this->renewals.at("a").maxWait, Duration(0));
    EXPECT_EQ(this->renewals.at("a").lastStoredEnd, 0U);
    ASSERT_EQ(this->starts.size(), 2U);
    EXPECT_EQ(this->starts[1].first, "b");
    this->answerRenewal("a", { { this->order().task, this->order().run, "", 1, 0 } }, {});
    EXPECT_TRUE(this->stops.empty());
    EXPECT_TRUE(this->renewals.at("a").leaseUntil);
}

// Guards against a run that a machine list ends although the list was requested before the run was started by a later
// incarnation.
TEST_F(UnnoticedRestartTest, earlierMachineListEndsNoRunThatALaterIncarnationHasAnswered)
{
    this->scheduler->renewAnswered("a", this->clock.now(), OrderStatus::Unknown, {});
    this->clock.advance(Duration(10));
    const auto askedAt = this->clock.now();
    this->clock.advance(Duration(10));
    this->answerStart({ OrderStatus::Accepted });
    this->clock.advance(Duration(10));
    this->scheduler->renewAnswered("a", this->clock.now(), OrderStatus::Unknown, {});
    this->clock.advance(Duration(600));
    this->scheduler->updateMachines(
        std::vector<MachineRecord> { { "machine-a", "press", MachineState::Down, "", {} } }, askedAt);
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
}

} // namespace waxwinglug::test

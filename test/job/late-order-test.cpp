// Tests of orders that are carried out late, by an incarnation of a server that they were not meant for.
#include "job/scheduler-fixture.h"

namespace waxwinglug::test {

struct LateOrderTest : SchedulerTest {
    void SetUp() override
    {
        SchedulerTest::SetUp();
        this->incarnations["a"] = WallTime(Duration(1000));
        this->addServer("a");
        this->scheduler->addJob(this->job("j", this->step(1)), false);
        this->scheduler->tick();
        ASSERT_EQ(this->starts.size(), 1U);
    }

    const StartOrder& order() const { return this->starts.front().second; }
    std::uint64_t renewalFence() const { return this->renewals.at("a").fence; }

    // Reports and stores the end of the task, so that the renewal in flight acknowledges it.
    void sendAcknowledgement()
    {
        this->confirmStarts();
        this->clock.advance(Duration(100));
        this->answerRenewal("a", {}, { this->ended("a", this->order(), RunEnd::Done) });
        this->storeAll();
        this->clock.advance(Duration(200));
        this->scheduler->tick();
        ASSERT_EQ(this->renewals.at("a").lastStoredEnd, 1U);
    }

    // Lets "a" answer as an incarnation that started later, whose row was not read.
    void answerAsLaterIncarnation()
    {
        this->clock.advance(Duration(100));
        this->incarnations["a"] += Duration(5000);
        this->answerRenewal("a", {}, {});
    }
};

// Guards against ends that no leader has seen and that are forgotten: an acknowledgement without an answer reaches the
// server's next incarnation, which numbers its ends anew (review/12, TWICE).
TEST_F(LateOrderTest, acknowledgementWithoutAnswerIsVoidOnceALaterOrderHasArrived)
{
    this->sendAcknowledgement();
    const auto acknowledgement = this->renewals.at("a");
    this->clock.advance(Duration(600));
    this->scheduler->renewAnswered("a", this->clock.now(), OrderStatus::Unknown, {});
    this->clock.advance(Duration(300));
    this->scheduler->tick();
    EXPECT_EQ(this->renewals.at("a").lastStoredEnd, 0U);
    EXPECT_GT(this->renewalFence(), acknowledgement.fence);
}

// Guards against starts and renewals of an earlier incarnation that a later one carries out after it has answered.
TEST_F(LateOrderTest, ordersToAnEarlierIncarnationAreVoidOnceALaterOneHasAnswered)
{
    const auto fence = this->order().fence;
    this->answerAsLaterIncarnation();
    EXPECT_GT(this->renewalFence(), fence);
    this->clock.advance(Duration(500));
    this->incarnations["a"] += Duration(5000);
    const auto second = this->renewalFence();
    this->scheduler->addServer(this->record("a"));
    this->scheduler->tick();
    EXPECT_GT(this->renewalFence(), second) << "the row of a third incarnation was read";
}

// Guards against a leader that ends its term because its own later order overtook an earlier one, and against a task
// that waits for a start which was refused.
TEST_F(LateOrderTest, startThatALaterOrderHasOvertakenStartsElsewhere)
{
    this->answerAsLaterIncarnation();
    this->addServer("b");
    this->scheduler->startAnswered("a", this->order().task, this->order().run, { OrderStatus::FenceTooLow });
    EXPECT_EQ(this->supersededCalls, 0);
    this->clock.advance(Duration(150));
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 2U);
    EXPECT_EQ(this->starts[1].second.task, this->order().task);
}

// Guards against a leader that goes on after a later one has reached a server.
TEST_F(LateOrderTest, orderThatWasSentAfterTheFenceWasRaisedShowsALaterLeader)
{
    this->answerAsLaterIncarnation();
    this->clock.advance(Duration(100));
    this->scheduler->tick();
    this->scheduler->renewAnswered("a", this->clock.now(), OrderStatus::FenceTooLow, {});
    EXPECT_EQ(this->supersededCalls, 1);
}

// Guards against a server that refuses every order because it was forgotten, with the fence that it has seen, and is
// listed again.
TEST_F(LateOrderTest, serverThatIsListedAgainReceivesNoLowerFence)
{
    this->answerAsLaterIncarnation();
    const auto fence = this->renewalFence();
    this->scheduler->cancelJob("j");
    this->scheduler->removeServer("a");
    this->expireLease("a");
    this->clock.advance(Duration(30'000));
    this->scheduler->renewAnswered("a", this->clock.now(), OrderStatus::Unknown, {});
    this->scheduler->tick();
    ASSERT_FALSE(this->scheduler->servers().contains("a"));
    this->renewals.clear();
    this->scheduler->addServer(this->record("a"));
    this->scheduler->tick();
    EXPECT_GE(this->renewalFence(), fence);
}

// Guards against orders of an earlier leader that are carried out after those of a later one.
TEST_F(LateOrderTest, everyFenceOfALaterTermIsHigher)
{
    for (int restart = 0; restart < 100; ++restart)
        this->answerAsLaterIncarnation();
    const auto fence = this->renewalFence();
    this->begin(2);
    this->scheduler->addServer(this->record("a"));
    this->scheduler->tick();
    EXPECT_GT(this->renewalFence(), fence);
}

} // namespace waxwinglug::test

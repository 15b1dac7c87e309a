// Leader election of two or more VMs over one table; the test commits the transactions.
#include "job/leadership.h"

#include <gtest/gtest.h>

#include <array>

namespace waxwinglug {
namespace {

    // The table of leader and heartbeat rows in the store, with the versions of the rows.
    struct LeaderTable {
        std::uint64_t version = 0;
        std::map<std::string, StoredRow> rows;

        TransactionResult commit(const RowTransaction& transaction)
        {
            for (const auto& condition : transaction.conditions) {
                const auto row = this->rows.find(condition.name.key);
                if ((row == this->rows.end() ? 0 : row->second.version) != condition.version)
                    return { CommitStatus::Conflict, 0, this->list() };
            }
            ++this->version;
            for (const auto& write : transaction.writes)
                this->rows[write.name.key] = { write.name, write.value, this->version, false };
            return { CommitStatus::Committed, this->version, {} };
        }

        std::vector<StoredRow> list() const
        {
            std::vector<StoredRow> all;
            all.reserve(this->rows.size());
            for (const auto& [key, row] : this->rows)
                all.push_back(row);
            return all;
        }
    };

    struct LeadershipTest : testing::Test {
        ManualClock clock;
        Random random { 1 };
        LeaderTable store;
        Leadership first { {}, clock.clock(), "first", 250, random };
        Leadership second { {}, clock.clock(), "second", 250, random };

        void readTable(Leadership& node) { node.observe(this->store.list()); }

        void makeFirstLeader()
        {
            this->readTable(this->first);
            this->readTable(this->second);
            this->clock.advance(Duration(500));
            this->first.storeAnswered();
            ASSERT_TRUE(this->first.shouldAcquire());
            this->first.acquireAnswered(this->store.commit(this->first.acquire()));
            ASSERT_TRUE(this->first.isLeader());
            this->readTable(this->second);
        }

        void sendHeartbeat(bool isReleased)
        {
            RowTransaction transaction;
            transaction.conditions.push_back(this->first.leaderCondition());
            transaction.writes.push_back(this->first.heartbeat(isReleased));
            const auto sentAt = this->clock.now();
            if (this->store.commit(transaction).status == CommitStatus::Committed)
                this->first.commitConfirmed(sentAt);
        }
    };

} // namespace

// Guards against two leaders at a time: of two attempts on the same row version only one may succeed.
TEST_F(LeadershipTest, onlyOneNodeAcquiresLeadership)
{
    this->readTable(this->first);
    this->readTable(this->second);
    const auto attempts = std::array { this->first.acquire(), this->second.acquire() };
    this->first.acquireAnswered(this->store.commit(attempts[0]));
    this->second.acquireAnswered(this->store.commit(attempts[1]));
    EXPECT_TRUE(this->first.isLeader());
    EXPECT_FALSE(this->second.isLeader());
    EXPECT_EQ(this->second.leaderName(), "first");
}

// Guards against a takeover from a working leader because the store did not answer either, and against no takeover
// after the leader is gone.
TEST_F(LeadershipTest, heartbeatTimeoutRequiresAnsweringStore)
{
    this->makeFirstLeader();
    this->clock.advance(Duration(1500));
    this->second.storeAnswered();
    EXPECT_FALSE(this->second.shouldAcquire());
    this->clock.advance(Duration(2000));
    EXPECT_FALSE(this->second.shouldAcquire()) << "the store did not answer either";
    for (int times = 0; times < 3; ++times) {
        this->second.storeAnswered();
        this->clock.advance(Duration(500));
    }
    EXPECT_TRUE(this->second.shouldAcquire());
}

// Guards against a wait for the heartbeat timeout after a planned stop of the leader.
TEST_F(LeadershipTest, releasedLeadershipIsAcquiredAtOnce)
{
    this->makeFirstLeader();
    this->sendHeartbeat(true);
    this->readTable(this->second);
    this->clock.advance(Duration(300));
    this->second.storeAnswered();
    EXPECT_TRUE(this->second.shouldAcquire());
}

// Guards against task starts by a leader whose process was paused until another VM acquired leadership.
TEST_F(LeadershipTest, leaderWithoutRecentCommitIsNotValid)
{
    this->makeFirstLeader();
    EXPECT_TRUE(this->first.isValid());
    this->clock.advance(Duration(3500));
    EXPECT_FALSE(this->first.isValid());
    this->sendHeartbeat(false);
    EXPECT_TRUE(this->first.isValid());
}

// Guards against a fleet that starts nothing during a short outage of the store, and against a leader that continues
// without the store for an unlimited time.
TEST_F(LeadershipTest, storeFailureExtendsValidity)
{
    this->makeFirstLeader();
    this->clock.advance(Duration(1000));
    this->first.commitFailed();
    this->clock.advance(Duration(3000));
    EXPECT_TRUE(this->first.isValid());
    this->clock.advance(Duration(1500));
    EXPECT_FALSE(this->first.isValid());
    EXPECT_FALSE(this->first.canRenewLeases());
}

// Guards against a leader change after each outage of the store, which would discard the state of the leader.
TEST_F(LeadershipTest, leaderGetsGraceAfterStoreOutage)
{
    this->makeFirstLeader();
    this->second.storeAnswered();
    this->clock.advance(Duration(5000));
    this->second.storeAnswered();
    EXPECT_FALSE(this->second.shouldAcquire()) << "the leader could not write a heartbeat before";
    this->clock.advance(Duration(500));
    this->second.storeAnswered();
    EXPECT_FALSE(this->second.shouldAcquire());
    this->clock.advance(Duration(900));
    this->second.storeAnswered();
    EXPECT_TRUE(this->second.shouldAcquire()) << "the leader is gone";
}

// Guards against a wait for the heartbeat timeout of a leader that is known to be gone because its VM has restarted.
TEST_F(LeadershipTest, restartedLeaderAcquiresLeadershipAtOnce)
{
    this->makeFirstLeader();
    Leadership restarted { {}, this->clock.clock(), "first", 250, this->random };
    this->clock.advance(Duration(100));
    this->readTable(restarted);
    this->readTable(this->second);
    this->clock.advance(Duration(200));
    restarted.storeAnswered();
    this->second.storeAnswered();
    EXPECT_TRUE(restarted.shouldAcquire());
    EXPECT_FALSE(this->second.shouldAcquire());
    restarted.acquireAnswered(this->store.commit(restarted.acquire()));
    this->readTable(this->second);
    restarted.stepDown();
    EXPECT_FALSE(restarted.shouldAcquire())
        << "a VM that stepped down in this incarnation waits for the heartbeat timeout";
}

// Guards against leadership that its owner does not know of: the write was committed and only its answer was lost.
TEST_F(LeadershipTest, unansweredAttemptIsFoundInTable)
{
    this->readTable(this->first);
    this->store.commit(this->first.acquire());
    this->first.acquireAnswered({ CommitStatus::Unknown, 0, {} });
    EXPECT_FALSE(this->first.isLeader());
    this->readTable(this->first);
    EXPECT_TRUE(this->first.isLeader());
    this->first.stepDown();
    this->readTable(this->first);
    EXPECT_FALSE(this->first.isLeader()) << "an ended term does not come back";
}

// Guards against a fleet of hundreds of servers whose leader stays a VM with an eighth of a core although larger VMs
// are available.
TEST_F(LeadershipTest, largerVmTakesOverFromSmallLeader)
{
    Leadership large { {}, this->clock.clock(), "large", 500, this->random };
    this->makeFirstLeader();
    this->readTable(large);
    EXPECT_FALSE(large.shouldAcquire()) << "no takeover from a leader whose term has just begun";
    for (int heartbeats = 0; heartbeats < 6; ++heartbeats) {
        this->clock.advance(Duration(400));
        this->sendHeartbeat(false);
        this->readTable(this->second);
        this->readTable(large);
    }
    EXPECT_FALSE(this->second.shouldAcquire()) << "no takeover by a VM of the same size";
    EXPECT_TRUE(large.shouldAcquire());
    large.acquireAnswered(this->store.commit(large.acquire()));
    this->readTable(this->first);
    EXPECT_FALSE(this->first.isLeader());
    EXPECT_TRUE(large.isLeader());
}

// Guards against leadership of a small VM only because all VMs detect the loss of the leader at the same moment.
TEST_F(LeadershipTest, smallerVmWaitsLongerAfterLargeLeader)
{
    Leadership small { {}, this->clock.clock(), "small", 60, this->random };
    this->makeFirstLeader();
    this->readTable(small);
    for (int times = 0; times < 2; ++times) {
        this->clock.advance(Duration(850));
        this->second.storeAnswered();
        small.storeAnswered();
    }
    EXPECT_TRUE(this->second.shouldAcquire());
    EXPECT_FALSE(small.shouldAcquire());
    this->clock.advance(Duration(400));
    small.storeAnswered();
    EXPECT_TRUE(small.shouldAcquire()) << "no larger VM has acquired leadership";
}

// Guards against a wait of seconds for leases that have expired, and against no wait while leases of an earlier leader
// may still be valid.
TEST_F(LeadershipTest, newLeaderKnowsWhetherPredecessorStopped)
{
    this->makeFirstLeader();
    this->clock.advance(Duration(5000));
    Leadership early { {}, this->clock.clock(), "first", 250, this->random };
    this->readTable(early);
    early.acquire();
    EXPECT_FALSE(early.hasPredecessorStopped())
        << "its term was short; leases of the leader before it may still be valid";
    this->clock.advance(Duration(10'000));
    Leadership restarted { {}, this->clock.clock(), "first", 250, this->random };
    this->readTable(restarted);
    restarted.acquire();
    EXPECT_TRUE(restarted.hasPredecessorStopped());
    EXPECT_TRUE(restarted.wasPredecessorSelf());
    this->readTable(this->second);
    this->second.acquire();
    EXPECT_FALSE(this->second.hasPredecessorStopped()) << "it may only be unresponsive";
    this->sendHeartbeat(true);
    this->readTable(this->second);
    this->second.acquire();
    EXPECT_TRUE(this->second.hasPredecessorStopped());
    EXPECT_FALSE(this->second.wasPredecessorSelf());
}

// Guards against attempts to acquire leadership during an outage of the store. The store may commit them when it
// recovers; an attempt then replaced a leader that had just written a heartbeat again.
TEST_F(LeadershipTest, noAttemptsWhileStoreFails)
{
    this->makeFirstLeader();
    this->clock.advance(Duration(1000));
    this->second.storeAnswered();
    this->second.storeCallFailed();
    this->clock.advance(Duration(1000));
    EXPECT_FALSE(this->second.shouldAcquire()) << "the latest call failed";
    this->second.storeAnswered();
    this->clock.advance(Duration(700));
    ASSERT_TRUE(this->second.shouldAcquire());
    this->second.acquire();
    this->second.acquireAnswered({ CommitStatus::Unavailable, 0, {} });
    this->clock.advance(Duration(1000));
    EXPECT_FALSE(this->second.shouldAcquire()) << "a failed commit says nothing about the leader";
}

// Load: all VMs of a fleet of hundreds get their first configuration at the same time, seconds after their start.
// Guards against a small VM that becomes the leader because every VM tries at once.
TEST_F(LeadershipTest, largestVmLeadsFirstAfterALateConfiguration)
{
    Leadership large({}, this->clock.clock(), "large", 500, this->random);
    Leadership small({}, this->clock.clock(), "small", 120, this->random);
    for (int read = 0; read < 5; ++read) {
        this->clock.advance(Duration(1000));
        large.observe(this->store.list());
        small.observe(this->store.list());
    }
    small.becomeCandidate();
    this->clock.advance(Duration(60)); // the large VM started a little later
    large.becomeCandidate();
    for (int tick = 0; tick < 20 && !large.isLeader(); ++tick) {
        this->clock.advance(Duration(20));
        large.storeAnswered();
        small.storeAnswered();
        ASSERT_FALSE(small.shouldAcquire()) << "after " << tick << " intervals";
        if (large.shouldAcquire())
            large.acquireAnswered(this->store.commit(large.acquire()));
    }
    EXPECT_TRUE(large.isLeader());
}

// Load: the store refuses a third of the VMs, the leader among them, for some seconds. Guards against waiting for the
// heartbeat timeout, and against a hand-over after a single lost answer.
TEST_F(LeadershipTest, leaderRefusedByTheStoreHandsOverAtOnce)
{
    this->makeFirstLeader();
    this->clock.advance(Duration(400));
    this->sendHeartbeat(false);
    this->clock.advance(Duration(600));
    this->first.commitFailed();
    EXPECT_FALSE(this->first.shouldOfferLeadership()) << "one lost answer";
    this->first.commitFailed();
    this->first.commitFailed();
    EXPECT_TRUE(this->first.shouldOfferLeadership());
    this->readTable(this->second);
    EXPECT_FALSE(this->second.shouldAcquire());
    ASSERT_TRUE(this->second.acceptsLeadership(1));
    this->first.stepDown();
    ASSERT_TRUE(this->second.takeOver(1));
    ASSERT_TRUE(this->second.shouldAcquire());
    this->second.acquireAnswered(this->store.commit(this->second.acquire()));
    EXPECT_TRUE(this->second.isLeader());
    EXPECT_EQ(this->second.fence(), 2U);
}

// Guards against a delayed hand-over message that ends a later term, and against a successor that cannot reach the
// store either.
TEST_F(LeadershipTest, handOverOfAnEarlierTermHasNoEffect)
{
    this->makeFirstLeader();
    this->readTable(this->second);
    this->second.storeCallFailed();
    EXPECT_FALSE(this->second.acceptsLeadership(1));
    this->second.storeAnswered();
    EXPECT_TRUE(this->second.acceptsLeadership(1));
    this->first.stepDown();
    this->clock.advance(Duration(2000));
    this->second.storeAnswered();
    this->second.acquireAnswered(this->store.commit(this->second.acquire()));
    ASSERT_TRUE(this->second.isLeader());
    this->readTable(this->first);
    EXPECT_FALSE(this->first.takeOver(1));
    EXPECT_FALSE(this->second.takeOver(2)) << "it leads itself";
    EXPECT_FALSE(this->first.shouldAcquire());
}

} // namespace waxwinglug

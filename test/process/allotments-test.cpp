// Tests of the allotments: the limit holds through outages, lost answers, network faults, pauses and restarts, and no
// units are lost permanently.
#include "process/allotment-fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;
    using test::CommitFault;
    using test::Fleet;
    using test::Node;
    using test::team;

    // A random step: kind of event, node, and parameter of the event.
    struct Step {
        int kind = 0;
        int node = 0;
        int value = 0;
    };

    std::ostream& operator<<(std::ostream& out, const Step& step)
    {
        return out << '{' << step.kind << ',' << step.node << ',' << step.value << '}';
    }

    void faultStep(Fleet& fleet, Node& node, const Step& step)
    {
        switch (step.kind) {
        case 30:
            fleet.platform.isUnavailable = !fleet.platform.isUnavailable;
            break;
        case 31:
            fleet.fault = static_cast<CommitFault>(step.value % 4);
            break;
        case 32:
            fleet.applyLate();
            break;
        case 33:
            fleet.kill(node);
            break;
        case 34:
            fleet.listedGone.insert(fleet.dead.begin(), fleet.dead.end());
            break;
        case 35:
            node.paused = !node.paused;
            break;
        case 36:
            fleet.changeLimit(node, 1 + step.value % 14);
            break;
        case 37:
            node.allotments->leave();
            break;
        default:
            fleet.clock.advance(1500ms);
            break;
        }
    }

    void oneStep(Fleet& fleet, const Step& step)
    {
        auto& node = *fleet.nodes[static_cast<std::size_t>(step.node)];
        if (!node.allotments) {
            if (step.kind % 4 == 0)
                fleet.start(node);
        } else if (step.kind >= 30) {
            faultStep(fleet, node, step);
        } else if (step.kind >= 20) {
            fleet.platform.deliverOne(static_cast<std::size_t>(step.value));
        } else if (node.paused) {
            return;
        } else if (step.kind < 4) {
            const bool free = node.allotments->holdsFreeUnit(team);
            RC_ASSERT(node.allotments->acquire(team) == free);
        } else if (step.kind < 6) {
            node.allotments->release(team);
        } else if (step.kind == 6) {
            node.allotments->setWaiting(team, step.value % 12);
        } else if (step.kind < 12) {
            fleet.clock.advance(Duration { step.value });
            node.allotments->tick();
        } else if (step.kind < 15) {
            fleet.deliver(node, step.value % 3);
        } else if (step.kind < 18) {
            // Delivers all pending messages and answers of one node.
            fleet.platform.deliver();
            while (!node.inbox.empty())
                fleet.deliver(node, step.value);
        } else {
            fleet.lose(node, step.kind == 18);
        }
    }

    // Runs random steps, ends all faults, and checks that one node can then hold the whole limit.
    void exercise(Fleet& fleet)
    {
        const auto steps = *rc::gen::scale(10.0,
            rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
                rc::gen::set(&Step::kind, rc::gen::inRange(0, 39)), rc::gen::set(&Step::node, rc::gen::inRange(0, 3)),
                rc::gen::set(&Step::value, rc::gen::inRange(0, 400)))));
        for (const auto& step : steps) {
            oneStep(fleet, step);
            fleet.check();
        }
        for (auto& node : fleet.nodes) {
            while (node->allotments && node->allotments->runningCount(team) > 0)
                node->allotments->release(team);
            if (node->allotments)
                node->allotments->setWaiting(team, 0);
        }
        fleet.heal();
        fleet.run(100);
        fleet.check();
        RC_ASSERT(fleet.heldUnits() <= fleet.limit);
        // Nodes that have returned their units are restarted.
        for (auto& node : fleet.nodes) {
            if (node->allotments->hasLeft())
                fleet.start(*node);
        }
        auto& last = *fleet.nodes.front()->allotments;
        last.setWaiting(team, fleet.limit);
        fleet.run(100);
        fleet.check();
        RC_ASSERT(last.heldUnits(team) == fleet.limit);
    }

    // Guards against a team exceeding its limit, and against units that no node can hold any more, under outages, lost
    // answers, late writes, lost, duplicated and reordered messages, restarts, pauses and lowered limits.
    RC_GTEST_PROP(Allotments, limitHoldsThroughAnyOrderOfFaults, ())
    {
        Fleet fleet(3);
        fleet.run(3);
        exercise(fleet);
    }

    // The same, starting while units are lent: one node holds all units, the others request some, and the table is
    // unavailable.
    RC_GTEST_PROP(Allotments, limitHoldsThroughAnyOrderOfFaultsDuringLoans, ())
    {
        Fleet fleet(3);
        fleet.nodes[0]->allotments->setWaiting(team, 9);
        fleet.run(10);
        RC_ASSERT(fleet.heldUnits() == fleet.limit);
        fleet.nodes[0]->allotments->setWaiting(team, 0);
        fleet.nodes[1]->allotments->setWaiting(team, 4);
        fleet.nodes[2]->allotments->setWaiting(team, 3);
        fleet.platform.isUnavailable = true;
        exercise(fleet);
    }

    // Guards against loans that need the table, and against loans that are counted twice after reconciliation.
    TEST(Allotments, unitsAreLentWhileTheTableIsDown)
    {
        Fleet fleet(2);
        auto& first = *fleet.nodes[0]->allotments;
        auto& second = *fleet.nodes[1]->allotments;
        first.setWaiting(team, 9);
        fleet.run(10); // until each node has read the registration of the other
        EXPECT_EQ(first.heldUnits(team), 12);
        first.setWaiting(team, 0);
        second.setWaiting(team, 6);
        fleet.platform.isUnavailable = true;
        fleet.run(5);
        EXPECT_EQ(second.heldUnits(team), 8);
        EXPECT_EQ(first.heldUnits(team), 4);
        EXPECT_EQ(fleet.row().find(fleet.nodes[0]->id)->units, 12);
        fleet.platform.isUnavailable = false;
        fleet.run(10);
        EXPECT_EQ(fleet.row().find(fleet.nodes[1]->id)->units, 8);
        EXPECT_EQ(second.heldUnits(team), 8);
    }

    // Guards against reclaiming the units of a gone node while its work may still run, or before every borrower has
    // confirmed.
    TEST(Allotments, unitsOfGoneNodeReturnOnlyAfterAllConfirm)
    {
        Fleet fleet(3);
        fleet.nodes[0]->allotments->setWaiting(team, 9);
        fleet.run(5);
        const auto gone = fleet.nodes[0]->id;
        fleet.kill(*fleet.nodes[0]);
        fleet.start(*fleet.nodes[0]);
        fleet.run(40);
        EXPECT_TRUE(fleet.row().find(gone)); // the VM list does not report it as gone
        fleet.listedGone.insert(gone);
        fleet.nodes[1]->paused = true;
        for (int i = 0; i < 40; ++i) {
            fleet.clock.advance(200ms);
            fleet.nodes[2]->allotments->tick();
            fleet.platform.deliver();
            fleet.deliver(*fleet.nodes[2], 0);
        }
        EXPECT_TRUE(fleet.row().find(gone)); // a registered node has not confirmed
        fleet.nodes[1]->paused = false;
        fleet.run(15); // a few reads of the row on each node
        EXPECT_FALSE(fleet.row().find(gone));
    }

    // Guards against a node that is starved of units by another one that is always busy.
    TEST(Allotments, busyHolderYieldsDownToEvenShare)
    {
        Fleet fleet(2);
        auto& first = *fleet.nodes[0]->allotments;
        auto& second = *fleet.nodes[1]->allotments;
        first.setWaiting(team, 50);
        fleet.run(5);
        while (first.acquire(team)) { }
        EXPECT_EQ(first.runningCount(team), 12);
        second.setWaiting(team, 50);
        for (int i = 0; i < 40; ++i) {
            fleet.run(1);
            first.release(team);
            while (first.acquire(team)) { }
            while (second.acquire(team)) { }
        }
        EXPECT_EQ(first.heldUnits(team), 6);
        EXPECT_EQ(second.runningCount(team), 6);
    }

    // Guards against a lowered limit that never takes effect on a node that is always busy.
    TEST(Allotments, loweredLimitTakesEffectUnderLoad)
    {
        Fleet fleet(2);
        auto& first = *fleet.nodes[0]->allotments;
        first.setWaiting(team, 50);
        fleet.run(5);
        while (first.acquire(team)) { }
        fleet.changeLimit(*fleet.nodes[0], 5);
        fleet.run(5);
        EXPECT_EQ(first.runningCount(team), 12);
        for (int i = 0; i < 20; ++i) {
            first.release(team);
            while (first.acquire(team)) { }
            fleet.run(1);
        }
        EXPECT_EQ(first.heldUnits(team), 5);
        EXPECT_EQ(first.runningCount(team), 5);
        EXPECT_EQ(fleet.row().totalUnits(), 5);
    }

    // Guards against a chain of unreconciled loans, which would give a holder a negative number of units in the row.
    TEST(Allotments, unreconciledLoansAreNotLentOn)
    {
        Fleet fleet(3);
        auto& first = *fleet.nodes[0]->allotments;
        auto& second = *fleet.nodes[1]->allotments;
        first.setWaiting(team, 9);
        fleet.run(10);
        fleet.platform.isUnavailable = true;
        first.setWaiting(team, 4);
        second.setWaiting(team, 6);
        fleet.run(5);
        ASSERT_EQ(second.heldUnits(team), 8);
        // The donor is killed, so the third node can borrow only from the second.
        fleet.kill(*fleet.nodes[0]);
        fleet.nodes.erase(fleet.nodes.begin());
        second.setWaiting(team, 0);
        auto& third = *fleet.nodes[1]->allotments;
        third.setWaiting(team, 3);
        fleet.run(5);
        EXPECT_EQ(third.heldUnits(team), 0);
        EXPECT_EQ(second.heldUnits(team), 8);
        fleet.platform.isUnavailable = false;
        fleet.run(10);
        EXPECT_GE(third.heldUnits(team), 3);
    }

    // Guards against losing units if the donor reconciles a loan in the row and is killed before the loan message
    // arrives.
    TEST(Allotments, reconciledLoanNeedsNoMessage)
    {
        Fleet fleet(2);
        fleet.nodes[0]->allotments->setWaiting(team, 9);
        fleet.run(10);
        fleet.nodes[0]->allotments->setWaiting(team, 0);
        auto& second = *fleet.nodes[1];
        second.allotments->setWaiting(team, 3);
        fleet.clock.advance(200ms);
        second.allotments->tick();
        while (!fleet.nodes[0]->inbox.empty())
            fleet.deliver(*fleet.nodes[0], 0);
        second.inbox.clear(); // the loan is lost
        fleet.clock.advance(10ms); // less than the resend interval of loans
        fleet.nodes[0]->allotments->tick();
        fleet.kill(*fleet.nodes[0]);
        fleet.start(*fleet.nodes[0]);
        second.inbox.clear();
        EXPECT_EQ(fleet.row().find(second.id)->units, 4);
        fleet.run(10);
        EXPECT_EQ(second.allotments->heldUnits(team), 4);
    }

    // Guards against units that stay unusable after the write that lowered them was lost.
    TEST(Allotments, lostWriteDoesNotKeepUnitsUnusable)
    {
        Fleet fleet(1);
        auto& only = *fleet.nodes[0]->allotments;
        only.setWaiting(team, 9);
        fleet.run(10);
        only.setWaiting(team, 0);
        fleet.fault = CommitFault::LostWrite;
        fleet.run(40);
        EXPECT_EQ(only.heldUnits(team), 0);
        only.setWaiting(team, 9);
        fleet.fault = CommitFault::None;
        fleet.run(10);
        EXPECT_EQ(only.heldUnits(team), 12);
    }

    // Guards against a borrower that the row does not list: the reclaim of a gone donor would not wait for its
    // confirmation.
    TEST(Allotments, unregisteredNodeDoesNotBorrow)
    {
        Fleet fleet(1);
        fleet.nodes[0]->allotments->setWaiting(team, 9);
        fleet.run(10);
        int receipts = 0;
        AllotmentHooks hooks;
        hooks.isGone = [](const NodeId&) { return false; };
        hooks.sendRequest = [](const NodeId&, const UnitRequest&) {};
        hooks.sendLoan = [&](const NodeId&, const UnitLoan&) { ++receipts; };
        const NodeId self { "new", 99 };
        Allotments joining(self, {}, fleet.clock.clock(), fleet.platform.platform().table, hooks);
        joining.setLimit(team, fleet.limit, 1);
        joining.tick();
        fleet.platform.deliverOne(); // the row without this node
        joining.onLoan({ team, fleet.nodes[0]->id, self, 3, false });
        EXPECT_EQ(receipts, 0);
        fleet.platform.deliver();
        joining.onLoan({ team, fleet.nodes[0]->id, self, 3, false });
        EXPECT_EQ(receipts, 1);
    }

    // Guards against units that stay assigned to a leaving node.
    TEST(Allotments, leavingNodeHandsBackItsUnits)
    {
        Fleet fleet(2);
        auto& first = *fleet.nodes[0]->allotments;
        first.setWaiting(team, 6);
        fleet.run(5);
        EXPECT_TRUE(first.acquire(team));
        first.leave();
        EXPECT_FALSE(first.acquire(team));
        fleet.run(5);
        EXPECT_FALSE(first.hasLeft());
        EXPECT_EQ(fleet.row().find(fleet.nodes[0]->id)->units, 1);
        first.release(team);
        fleet.run(5);
        EXPECT_TRUE(first.hasLeft());
        EXPECT_EQ(fleet.row().totalUnits(), 0);
    }

} // namespace
} // namespace waxwinglug

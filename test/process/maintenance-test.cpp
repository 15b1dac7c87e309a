// Tests of maintenance waves: scenarios, and random interleavings of two maintainers with faults.
#include "process/maintenance-world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;
    using test::MaintenanceWorld;

    void run(MaintenanceWorld& world, int seconds)
    {
        for (int count = 0; count < seconds; ++count)
            world.second();
    }

    std::vector<std::string> inPhase(const MaintenanceWorld& world, VmPhase phase)
    {
        std::vector<std::string> found;
        std::copy_if(world.vmNames.begin(), world.vmNames.end(), std::back_inserter(found),
            [&](const auto& name) { return world.vm(name).phase == phase; });
        return found;
    }

    TEST(Maintenance, waveRestartsEveryVmOnce)
    {
        MaintenanceWorld world;
        run(world, 20);
        world.start("w");
        run(world, 400);
        EXPECT_EQ(world.wave("w").state, WaveState::Done);
        auto rebooted = world.platform.rebootedVms;
        std::sort(rebooted.begin(), rebooted.end());
        EXPECT_EQ(rebooted, world.vmNames);
    }

    // Guards against a reboot that interrupts a request, and against a drain that never asks for a checkpoint.
    TEST(Maintenance, runningWorkIsWaitedForAndCheckpointed)
    {
        MaintenanceWorld world;
        run(world, 20);
        for (const auto& name : world.vmNames)
            world.startWork(0, name);
        world.start("w");
        run(world, 60);
        EXPECT_TRUE(world.platform.rebootedVms.empty());
        EXPECT_FALSE(inPhase(world, VmPhase::Draining).empty());
        EXPECT_FALSE(world.checkpoints.empty());
        const auto& waits = world.instances[0].maintainer->progress().at(0).waits;
        ASSERT_FALSE(waits.empty());
        EXPECT_EQ(waits[0].reason, "1 requests or jobs run on it");
    }

    // Guards against a drain that goes on without a living entry VM, or that waits for one that is gone.
    TEST(Maintenance, everyLivingEntryVmConfirms)
    {
        MaintenanceWorld world;
        run(world, 20);
        world.start("w");
        for (int count = 0; count < 30; ++count) {
            world.tick(0);
            world.pollEntry(0);
            world.deliverAll();
            world.clock.advance(1s);
        }
        EXPECT_TRUE(world.platform.rebootedVms.empty());
        world.setEntryAlive(1, false);
        run(world, 10);
        EXPECT_FALSE(world.platform.rebootedVms.empty());
    }

    // Guards against a wave that goes on while its reboots destroy VMs.
    TEST(Maintenance, waveStopsWhenVmsFailTogether)
    {
        MaintenanceWorld world;
        run(world, 20);
        world.start("w");
        run(world, 1);
        for (const auto* name : { "v3", "v8", "v9" })
            world.failVm(name);
        run(world, 5);
        EXPECT_EQ(world.wave("w").state, WaveState::Paused);
        EXPECT_NE(world.wave("w").reason.find("v3, v8, v9"), std::string::npos);
        EXPECT_TRUE(inPhase(world, VmPhase::Draining).empty());
        world.heal();
        run(world, 60);
        EXPECT_EQ(inPhase(world, VmPhase::Serving), world.vmNames);
        world.operate(resumeWave(world.platform.row(waveKey("w"))));
        run(world, 400);
        EXPECT_EQ(world.wave("w").state, WaveState::Done);
    }

    // Guards against a drain that is left half-way when its maintainer ends.
    TEST(Maintenance, anotherInstanceFinishesADrain)
    {
        MaintenanceWorld world;
        run(world, 20);
        ASSERT_TRUE(world.instances[0].maintainer->active());
        world.start("w");
        run(world, 4);
        ASSERT_NE(inPhase(world, VmPhase::Serving), world.vmNames);
        world.setPaused(0, true);
        run(world, 400);
        EXPECT_TRUE(world.instances[1].maintainer->active());
        EXPECT_EQ(world.wave("w").state, WaveState::Done);
        world.setPaused(0, false);
        run(world, 2);
        EXPECT_FALSE(world.instances[0].maintainer->active());
    }

    // Guards against a transaction of a former holder that lands after another instance has taken the lease.
    TEST(Maintenance, lateTransactionOfAFormerHolderIsRefused)
    {
        MaintenanceWorld world;
        run(world, 20);
        world.start("w");
        world.instances[0].holdCommits = true;
        world.tick(0);
        world.deliverAll();
        ASSERT_EQ(world.instances[0].commitsInFlight.size(), 1U);
        // The other instance takes the lease and has decided nothing yet.
        for (int count = 0; count < 12; ++count) {
            world.clock.advance(1s);
            world.tick(1);
            world.deliverAll();
            if (fromJson<LeaseRow>(world.platform.row(std::string(maintainLeaseKey)).value).holder == "m1")
                break;
        }
        ASSERT_EQ(inPhase(world, VmPhase::Serving), world.vmNames);
        world.landCommits(0);
        EXPECT_EQ(inPhase(world, VmPhase::Serving), world.vmNames);
        world.heal();
        run(world, 400);
        EXPECT_EQ(world.wave("w").state, WaveState::Done);
    }

    TEST(Maintenance, nothingIsDrainedOutsideTheWindow)
    {
        MaintenanceWorld world;
        world.config->windows["always"] = { "always", 120min, 240min };
        run(world, 20);
        world.start("w");
        run(world, 60);
        EXPECT_EQ(inPhase(world, VmPhase::Serving), world.vmNames);
        EXPECT_EQ(world.instances[0].maintainer->progress().at(0).reason, "outside window always");
        // A clock change is announced: it is already two hours later, so the window is open.
        auto changed = std::make_shared<Config>(*world.config);
        changed->clock.offset = 120min;
        for (auto& instance : world.instances)
            instance.maintainer->setConfig(changed);
        run(world, 2);
        EXPECT_NE(inPhase(world, VmPhase::Serving), world.vmNames);
    }

    TEST(Maintenance, moveKeepsTheBudgetOfThePoolItLeaves)
    {
        MaintenanceWorld world;
        run(world, 20);
        world.instances[0].maintainer->requestMoves({ { "v9", "q", "p" }, { "v0", "q", "p" } });
        run(world, 2);
        EXPECT_EQ(world.vm("v9").pool, "p");
        EXPECT_EQ(world.vm("v0").pool, "p");
        // With two of the three VMs in q down, the last one that serves may not leave.
        world.failVm("v6");
        world.failVm("v7");
        world.instances[0].maintainer->requestMoves({ { "v8", "q", "p" } });
        run(world, 2);
        EXPECT_EQ(world.vm("v8").pool, "q");
    }

    TEST(Maintenance, secondStartOfAWaveIsAConflict)
    {
        MaintenanceWorld world;
        world.start("w");
        EXPECT_THROW(world.start("w"), Error);
        EXPECT_THROW(resumeWave(world.platform.row(waveKey("w"))), Error);
        world.operate(cancelWave(world.platform.row(waveKey("w"))));
        EXPECT_NO_THROW(world.start("w"));
    }

    struct Action {
        int kind = 0;
        std::size_t number = 0;
    };

    void showValue(const Action& action, std::ostream& out) { out << action.kind << ':' << action.number; }

    void operateWave(MaintenanceWorld& world, std::size_t number)
    {
        const auto row = world.platform.row(waveKey("w"));
        try {
            if (number % 4 == 0)
                world.operate(cancelWave(row));
            else if (number % 4 == 1)
                world.operate(resumeWave(row));
            else
                world.start("w");
        } catch (const Error&) {
            // The operator is told that the wave is in another state.
        }
    }

    void perform(MaintenanceWorld& world, const Action& action)
    {
        const auto two = action.number % 2;
        const auto& vm = world.vmNames[action.number % world.vmNames.size()];
        switch (action.kind) {
        case 0:
            world.setPaused(two, !world.instances[two].paused);
            break;
        case 1:
            world.platform.isUnavailable = !world.platform.isUnavailable;
            break;
        case 2:
            world.platform.loseCommitAnswers = !world.platform.loseCommitAnswers;
            break;
        case 3:
            world.failVm(vm);
            break;
        case 4:
            world.returnVm(vm);
            break;
        case 5:
            world.setEntryAlive(two, !world.entries[two].alive);
            break;
        case 6:
            operateWave(world, action.number);
            break;
        case 7:
            world.restart(two);
            break;
        case 8:
            world.clock.advance(Duration(1000 * (action.number % 45)));
            break;
        case 9:
            world.instances[two].maintainer->requestMoves({ { vm, "q", "p" }, { vm, "p", "q" } });
            break;
        case 10:
        case 11:
            world.startWork(two, vm);
            break;
        case 12:
        case 13:
            world.endWork(vm);
            break;
        case 14:
        case 15:
        case 16:
            world.pollEntry(two);
            break;
        case 17:
            world.instances[two].holdCommits = !world.instances[two].holdCommits;
            break;
        case 18:
            world.landCommits(two);
            break;
        case 22:
        case 23:
            world.second();
            break;
        case 19:
        case 20:
        case 21:
            world.tick(two);
            break;
        default:
            world.platform.deliverOne(action.number);
        }
    }

    rc::Gen<std::vector<Action>> anyActions()
    {
        // From kind 24 on, one queued handler is delivered.
        const auto action = rc::gen::map(rc::gen::pair(rc::gen::resize(100, rc::gen::inRange(0, 44)),
                                             rc::gen::resize(100, rc::gen::inRange(0, 1000))),
            [](const auto& pair) {
                return Action { pair.first, static_cast<std::size_t>(pair.second) };
            });
        return rc::gen::resize(400, rc::gen::container<std::vector<Action>>(action));
    }

    // Guards against a budget broken by a racing, paused or restarted maintainer, a reboot under running work, a VM in
    // two pools, and a wave that never ends once every fault is over.
    RC_GTEST_PROP(Maintenance, invariantsHoldUnderAnyInterleaving, ())
    {
        MaintenanceWorld world;
        run(world, 20);
        world.start("w");
        for (const auto& action : *anyActions()) {
            perform(world, action);
            world.checkRows();
        }
        world.heal();
        run(world, 60);
        const auto row = world.platform.row(waveKey("w"));
        if (fromJson<WaveRow>(row.value).state == WaveState::Paused)
            world.operate(resumeWave(row));
        run(world, 800);
        const auto state = world.wave("w").state;
        RC_ASSERT(state == WaveState::Done || state == WaveState::Cancelled);
        RC_ASSERT(inPhase(world, VmPhase::Serving) == world.vmNames);
    }

} // namespace
} // namespace waxwinglug

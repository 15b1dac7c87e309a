// Tests of maintenance waves: scenarios, and random interleavings of two maintainers with injected faults.
#include "process/maintenance-world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;
    using test::MaintenanceWorld;

    void runSeconds(MaintenanceWorld& world, int seconds)
    {
        for (int count = 0; count < seconds; ++count)
            world.runOneSecond();
    }

    std::vector<std::string> vmsInPhase(const MaintenanceWorld& world, VmPhase phase)
    {
        std::vector<std::string> found;
        std::copy_if(world.vmNames.begin(), world.vmNames.end(), std::back_inserter(found),
            [&](const auto& name) { return world.vmRow(name).phase == phase; });
        return found;
    }

    TEST(Maintenance, waveRestartsEveryVmOnce)
    {
        MaintenanceWorld world;
        runSeconds(world, 20);
        world.startRun("w");
        runSeconds(world, 400);
        EXPECT_EQ(world.waveRow("w").state, WaveState::Done);
        auto rebooted = world.platform.rebootedVms;
        std::sort(rebooted.begin(), rebooted.end());
        EXPECT_EQ(rebooted, world.vmNames);
    }

    // Guards against a reboot that interrupts a request, and against a drain that never asks for a checkpoint.
    TEST(Maintenance, drainWaitsForRunningWorkAndCheckpointsIt)
    {
        MaintenanceWorld world;
        runSeconds(world, 20);
        for (const auto& name : world.vmNames)
            world.startWork(0, name);
        world.startRun("w");
        runSeconds(world, 60);
        EXPECT_TRUE(world.platform.rebootedVms.empty());
        EXPECT_FALSE(vmsInPhase(world, VmPhase::Draining).empty());
        EXPECT_FALSE(world.checkpoints.empty());
        const auto& waits = world.instances[0].maintainer->waveProgress().at(0).waits;
        ASSERT_FALSE(waits.empty());
        EXPECT_EQ(waits[0].reason, "1 requests or jobs run on it");
    }

    // Guards against a drain that proceeds without the confirmation of a running entry VM, or that waits for one that
    // is gone.
    TEST(Maintenance, drainNeedsConfirmationOfEveryRunningEntryVm)
    {
        MaintenanceWorld world;
        runSeconds(world, 20);
        world.startRun("w");
        for (int count = 0; count < 30; ++count) {
            world.tick(0);
            world.pollEntryVm(0);
            world.deliverAll();
            world.clock.advance(1s);
        }
        EXPECT_TRUE(world.platform.rebootedVms.empty());
        world.setEntryVmAlive(1, false);
        runSeconds(world, 10);
        EXPECT_FALSE(world.platform.rebootedVms.empty());
    }

    // Guards against a wave that continues although its reboots make VMs fail.
    TEST(Maintenance, wavePausesAfterTooManyFailures)
    {
        MaintenanceWorld world;
        runSeconds(world, 20);
        world.startRun("w");
        runSeconds(world, 1);
        for (const auto* name : { "v3", "v8", "v9" })
            world.failVm(name);
        runSeconds(world, 5);
        EXPECT_EQ(world.waveRow("w").state, WaveState::Paused);
        EXPECT_NE(world.waveRow("w").reason.find("v3, v8, v9"), std::string::npos);
        EXPECT_TRUE(vmsInPhase(world, VmPhase::Draining).empty());
        world.clearFaults();
        runSeconds(world, 60);
        EXPECT_EQ(vmsInPhase(world, VmPhase::Serving), world.vmNames);
        world.commitAsOperator(resumeWave(world.platform.row(waveKey("w"))));
        runSeconds(world, 400);
        EXPECT_EQ(world.waveRow("w").state, WaveState::Done);
    }

    // Guards against a drain that is never finished after its maintainer stops.
    TEST(Maintenance, anotherInstanceFinishesADrain)
    {
        MaintenanceWorld world;
        runSeconds(world, 20);
        ASSERT_TRUE(world.instances[0].maintainer->isActive());
        world.startRun("w");
        runSeconds(world, 4);
        ASSERT_NE(vmsInPhase(world, VmPhase::Serving), world.vmNames);
        world.setPaused(0, true);
        runSeconds(world, 400);
        EXPECT_TRUE(world.instances[1].maintainer->isActive());
        EXPECT_EQ(world.waveRow("w").state, WaveState::Done);
        world.setPaused(0, false);
        runSeconds(world, 2);
        EXPECT_FALSE(world.instances[0].maintainer->isActive());
    }

    // Guards against a transaction of a former holder that lands after another instance has taken the lease.
    TEST(Maintenance, lateTransactionOfAFormerHolderIsRefused)
    {
        MaintenanceWorld world;
        runSeconds(world, 20);
        world.startRun("w");
        world.instances[0].delayCommits = true;
        world.tick(0);
        world.deliverAll();
        ASSERT_EQ(world.instances[0].delayedCommits.size(), 1U);
        // The other instance acquires the lease but has not run a step yet.
        for (int count = 0; count < 12; ++count) {
            world.clock.advance(1s);
            world.tick(1);
            world.deliverAll();
            if (fromJson<LeaseRow>(world.platform.row(std::string(maintainLeaseKey)).value).holder == "m1")
                break;
        }
        ASSERT_EQ(vmsInPhase(world, VmPhase::Serving), world.vmNames);
        world.deliverDelayedCommits(0);
        EXPECT_EQ(vmsInPhase(world, VmPhase::Serving), world.vmNames);
        world.clearFaults();
        runSeconds(world, 400);
        EXPECT_EQ(world.waveRow("w").state, WaveState::Done);
    }

    TEST(Maintenance, nothingIsDrainedOutsideTheWindow)
    {
        MaintenanceWorld world;
        world.config->windows["always"] = { "always", 120min, 240min };
        runSeconds(world, 20);
        world.startRun("w");
        runSeconds(world, 60);
        EXPECT_EQ(vmsInPhase(world, VmPhase::Serving), world.vmNames);
        EXPECT_EQ(world.instances[0].maintainer->waveProgress().at(0).reason, "outside window always");
        // A configuration with a clock change puts the local time two hours ahead, inside the window.
        auto changed = std::make_shared<Config>(*world.config);
        changed->clock.offset = 120min;
        for (auto& instance : world.instances)
            instance.maintainer->setConfig(changed);
        runSeconds(world, 2);
        EXPECT_NE(vmsInPhase(world, VmPhase::Serving), world.vmNames);
    }

    TEST(Maintenance, moveKeepsTheBudgetOfThePoolItLeaves)
    {
        MaintenanceWorld world;
        runSeconds(world, 20);
        world.instances[0].maintainer->requestMoves({ { "v9", "q", "p" }, { "v0", "q", "p" } });
        runSeconds(world, 2);
        EXPECT_EQ(world.vmRow("v9").pool, "p");
        EXPECT_EQ(world.vmRow("v0").pool, "p");
        // With two of the three VMs in q down, the last serving one may not leave the pool.
        world.failVm("v6");
        world.failVm("v7");
        world.instances[0].maintainer->requestMoves({ { "v8", "q", "p" } });
        runSeconds(world, 2);
        EXPECT_EQ(world.vmRow("v8").pool, "q");
    }

    TEST(Maintenance, secondStartOfAWaveIsAConflict)
    {
        MaintenanceWorld world;
        world.startRun("w");
        EXPECT_THROW(world.startRun("w"), Error);
        EXPECT_THROW(resumeWave(world.platform.row(waveKey("w"))), Error);
        world.commitAsOperator(cancelWave(world.platform.row(waveKey("w"))));
        EXPECT_NO_THROW(world.startRun("w"));
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
                world.commitAsOperator(cancelWave(row));
            else if (number % 4 == 1)
                world.commitAsOperator(resumeWave(row));
            else
                world.startRun("w");
        } catch (const Error&) {
            // Rejected, because the wave is in another state.
        }
    }

    void perform(MaintenanceWorld& world, const Action& action)
    {
        const auto index = action.number % 2;
        const auto& vm = world.vmNames[action.number % world.vmNames.size()];
        switch (action.kind) {
        case 0:
            world.setPaused(index, !world.instances[index].isPaused);
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
            world.setEntryVmAlive(index, !world.entryVms[index].isAlive);
            break;
        case 6:
            operateWave(world, action.number);
            break;
        case 7:
            world.restart(index);
            break;
        case 8:
            world.clock.advance(Duration(1000 * (action.number % 45)));
            break;
        case 9:
            world.instances[index].maintainer->requestMoves({ { vm, "q", "p" }, { vm, "p", "q" } });
            break;
        case 10:
        case 11:
            world.startWork(index, vm);
            break;
        case 12:
        case 13:
            world.endWork(vm);
            break;
        case 14:
        case 15:
        case 16:
            world.pollEntryVm(index);
            break;
        case 17:
            world.instances[index].delayCommits = !world.instances[index].delayCommits;
            break;
        case 18:
            world.deliverDelayedCommits(index);
            break;
        case 22:
        case 23:
            world.runOneSecond();
            break;
        case 19:
        case 20:
        case 21:
            world.tick(index);
            break;
        default:
            world.platform.deliverOne(action.number);
        }
    }

    rc::Gen<std::vector<Action>> anyActions()
    {
        // Kinds from 24 on deliver one queued handler.
        const auto action = rc::gen::map(rc::gen::pair(rc::gen::resize(100, rc::gen::inRange(0, 44)),
                                             rc::gen::resize(100, rc::gen::inRange(0, 1000))),
            [](const auto& pair) {
                return Action { pair.first, static_cast<std::size_t>(pair.second) };
            });
        return rc::gen::resize(400, rc::gen::container<std::vector<Action>>(action));
    }

    // Guards against a budget violated by a racing, paused or restarted maintainer, a reboot while work is running, a
    // VM planned in two pools, and a wave that does not end after all faults are over.
    RC_GTEST_PROP(Maintenance, invariantsHoldUnderAnyInterleaving, ())
    {
        MaintenanceWorld world;
        runSeconds(world, 20);
        world.startRun("w");
        for (const auto& action : *anyActions()) {
            perform(world, action);
            world.checkRows();
        }
        world.clearFaults();
        runSeconds(world, 60);
        const auto row = world.platform.row(waveKey("w"));
        if (fromJson<WaveRow>(row.value).state == WaveState::Paused)
            world.commitAsOperator(resumeWave(row));
        runSeconds(world, 800);
        const auto state = world.waveRow("w").state;
        RC_ASSERT(state == WaveState::Done || state == WaveState::Cancelled);
        RC_ASSERT(vmsInPhase(world, VmPhase::Serving) == world.vmNames);
    }

} // namespace
} // namespace waxwinglug

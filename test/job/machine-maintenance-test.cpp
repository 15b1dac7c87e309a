// Orders of a maintenance wave, their answers, and the completion of the wave.
#include "job/machine-maintenance.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    // A wave of machines without servers; the test answers the orders.
    struct MachineMaintenanceTest : testing::Test {
        ManualClock clock;
        std::vector<std::string> orders;
        int reportCount = 0;
        bool completed = false;
        bool mayOrder = true;
        std::set<std::string> movingMachines;
        std::unique_ptr<JobScheduler> scheduler;
        MachineList machines;
        std::unique_ptr<MachineMaintenance> maintenance;

        void SetUp() override
        {
            JobSchedulerHooks hooks;
            hooks.mayStart = [] { return true; };
            hooks.renewLease = [](const ServerRecord&, const RenewOrder&) {};
            hooks.log = [](std::string_view, std::initializer_list<LogField>) {};
            this->scheduler = std::make_unique<JobScheduler>(JobSchedulerRules { 1 }, this->clock.clock(), hooks);
            this->startMaintenance(Duration(0));
        }

        void startMaintenance(Duration initialQuietPeriod)
        {
            MachineMaintenanceHooks hooks;
            hooks.orderMaintenance = [this](const std::string& machine, int) { this->orders.push_back(machine); };
            hooks.mayOrder = [this] { return this->mayOrder; };
            hooks.requestMachineList = [] {};
            hooks.isMoving = [this](const std::string& machine) { return this->movingMachines.contains(machine); };
            hooks.reportProgress = [this](const MachineWave&, bool done, const std::set<std::string>&) {
                ++this->reportCount;
                this->completed = done;
            };
            hooks.log = [](std::string_view, std::initializer_list<LogField>) {};
            MachineMaintenanceRules rules;
            rules.initialQuietPeriod = initialQuietPeriod;
            this->maintenance = std::make_unique<MachineMaintenance>(
                *this->scheduler, this->machines, rules, this->clock.clock(), hooks);
        }

        void addWave(std::set<std::string> done = {})
        {
            this->maintenance->addWave({ 1, { "m1", "m2", "m3" }, std::chrono::seconds(20), 2 }, done);
        }

        // The platform's answer to orders for these machines.
        void answer(const std::vector<std::string>& names, MachineOrderStatus status)
        {
            for (const auto& name : names)
                this->maintenance->orderAnswered(name, 1, status);
        }

        void registerServer(const std::string& id, const std::string& machine)
        {
            ServerRecord record;
            record.id = id;
            record.machine = machine;
            record.startedAt = this->clock.clock().wallNow();
            this->scheduler->addServer(record);
        }

        void setMachineStates(MachineState state)
        {
            std::vector<MachineRecord> list;
            for (const auto* name : { "m1", "m2", "m3" })
                list.push_back({ name, "spare", state, "", {} });
            this->machines.replace(list, this->clock.now());
        }
    };

} // namespace

// Guards against more machines down at once than the operator allows.
TEST_F(MachineMaintenanceTest, neverOrdersMoreThanAllowedAtOnce)
{
    this->addWave();
    this->maintenance->tick();
    EXPECT_EQ(this->orders.size(), 2U);
    this->answer(std::vector(this->orders), MachineOrderStatus::Accepted);
    this->clock.advance(Duration(1000));
    this->maintenance->tick();
    EXPECT_EQ(this->orders.size(), 2U);
}

// Guards against a wave that is reported as completed while a machine is down or was never taken down.
TEST_F(MachineMaintenanceTest, waveCompletesWhenEveryMachineIsBack)
{
    this->addWave();
    for (int round = 0; round < 4; ++round) {
        this->maintenance->tick();
        this->answer(std::vector(this->orders), MachineOrderStatus::Accepted);
        EXPECT_FALSE(this->completed);
        this->clock.advance(Duration(2500));
        this->setMachineStates(MachineState::Up);
        this->maintenance->tick();
        if (this->completed)
            break;
    }
    EXPECT_TRUE(this->completed);
    EXPECT_EQ(this->orders.size(), 3U);
}

// Guards against a machine that no longer counts as down while its order may still be carried out.
TEST_F(MachineMaintenanceTest, orderWithoutAnswerIsRepeatedForTheSameMachine)
{
    this->addWave();
    this->maintenance->tick();
    const auto first = this->orders;
    this->answer(first, MachineOrderStatus::Unknown);
    this->clock.advance(Duration(500));
    this->maintenance->tick();
    ASSERT_EQ(this->orders.size(), 4U);
    EXPECT_TRUE(std::ranges::is_permutation(std::span(this->orders).subspan(2), first));
}

// Guards against orders of two leaders for one machine in quick succession.
TEST_F(MachineMaintenanceTest, newLeaderWaitsBeforeFirstOrder)
{
    this->startMaintenance(Duration(3000));
    this->addWave();
    this->maintenance->tick();
    EXPECT_TRUE(this->orders.empty());
    this->clock.advance(Duration(3000));
    this->maintenance->tick();
    EXPECT_EQ(this->orders.size(), 2U);
}

// Guards against machines that are taken down twice after a leader change.
TEST_F(MachineMaintenanceTest, machinesMaintainedByEarlierLeaderGetNoOrder)
{
    this->addWave({ "m1", "m2" });
    this->maintenance->tick();
    EXPECT_EQ(this->orders, (std::vector<std::string> { "m3" }));
    EXPECT_FALSE(this->maintenance->isInMaintenance("m1"));
    EXPECT_TRUE(this->maintenance->isInMaintenance("m3"));
}

// Guards against orders of a former leader.
TEST_F(MachineMaintenanceTest, laterFenceEndsAllOrders)
{
    this->addWave();
    this->maintenance->tick();
    this->maintenance->orderAnswered(this->orders[0], 1, MachineOrderStatus::FenceTooLow);
    this->clock.advance(Duration(5000));
    this->maintenance->tick();
    EXPECT_EQ(this->orders.size(), 2U);
}

// Guards against more machines down than allowed. A server that a move started on the machine just before its
// maintenance may be registered late; it must not be taken for the server that starts after the maintenance.
TEST_F(MachineMaintenanceTest, serverOfAnEarlierMoveDoesNotEndTheMaintenance)
{
    this->addWave();
    this->maintenance->tick();
    ASSERT_EQ(this->orders.size(), 2U);
    this->answer(std::vector(this->orders), MachineOrderStatus::Accepted);
    this->clock.advance(Duration(100));
    this->registerServer("moved", this->orders[0]);
    this->maintenance->tick();
    this->clock.advance(Duration(1850));
    this->maintenance->tick();
    EXPECT_EQ(this->orders.size(), 2U);
    this->clock.advance(Duration(300));
    this->registerServer("new", this->orders[0]);
    this->maintenance->tick();
    EXPECT_EQ(this->orders.size(), 3U);
}

// Guards against more machines down than allowed: an unanswered order was carried out, so the platform answers the
// repeated order with Busy.
TEST_F(MachineMaintenanceTest, busyAfterAnOrderWithoutAnswerStillCountsAsDown)
{
    this->addWave();
    this->maintenance->tick();
    const auto first = this->orders;
    this->answer(first, MachineOrderStatus::Unknown);
    this->clock.advance(Duration(500));
    this->maintenance->tick();
    this->answer(first, MachineOrderStatus::Busy);
    this->clock.advance(Duration(100));
    this->maintenance->tick();
    EXPECT_EQ(std::ranges::count(this->orders, "m3"), 0);
}

// Guards against maintenance orders for a machine that is moving to another pool.
TEST_F(MachineMaintenanceTest, movingMachineIsDeferred)
{
    this->movingMachines = { "m1" };
    this->addWave();
    this->maintenance->tick();
    EXPECT_EQ(this->orders, (std::vector<std::string> { "m2", "m3" }));
    EXPECT_FALSE(this->maintenance->isInMaintenance("m1"));
    EXPECT_TRUE(this->maintenance->isInMaintenance("m2"));
}

// Guards against refused orders that are repeated at once for every machine, which uses up the platform's limit.
TEST_F(MachineMaintenanceTest, orderIsSentWhenThePlatformCanTakeIt)
{
    this->mayOrder = false;
    this->addWave();
    this->maintenance->tick();
    EXPECT_TRUE(this->orders.empty());
    this->mayOrder = true;
    this->maintenance->tick();
    EXPECT_EQ(this->orders.size(), 2U);
    this->answer(std::vector(this->orders), MachineOrderStatus::Refused);
    this->mayOrder = false;
    this->clock.advance(Duration(1000));
    this->maintenance->tick();
    EXPECT_EQ(this->orders.size(), 2U);
}

// Guards against a wave that is reported as completed although a machine that stays has had no maintenance: the
// platform said that it is not part of the wave, or does not exist, while the machine is listed.
TEST_F(MachineMaintenanceTest, aMachineThatThePlatformDisownsKeepsTheWaveOpenWhileItIsListed)
{
    for (const auto status : { MachineOrderStatus::NotInWave, MachineOrderStatus::Invalid }) {
        this->orders.clear();
        this->startMaintenance(Duration(0));
        this->addWave({ "m1", "m2" });
        this->maintenance->tick();
        this->answer({ "m3" }, status);
        EXPECT_FALSE(this->completed);
        EXPECT_FALSE(this->maintenance->isInMaintenance("m3"));
        this->clock.advance(Duration(700));
        this->setMachineStates(MachineState::Up);
        this->maintenance->tick();
        EXPECT_FALSE(this->completed);
        EXPECT_EQ(this->orders.size(), 1U);
        this->clock.advance(Duration(5000));
        this->maintenance->tick();
        EXPECT_EQ(this->orders.size(), 2U);
    }
}

// Guards against a wave that never ends because one of its machines has left.
TEST_F(MachineMaintenanceTest, aMachineThatHasLeftDoesNotKeepTheWaveOpen)
{
    this->setMachineStates(MachineState::Up);
    this->addWave({ "m1", "m2" });
    this->maintenance->tick();
    this->answer({ "m3" }, MachineOrderStatus::Invalid);
    this->clock.advance(Duration(700));
    // The list was read before the answer.
    this->maintenance->tick();
    EXPECT_FALSE(this->completed);
    const std::vector<MachineRecord> list { { "m1", "spare", MachineState::Up, "", {} } };
    this->machines.replace(list, this->clock.now());
    this->maintenance->tick();
    EXPECT_TRUE(this->completed);
}

// Guards against a wave that is reported as completed although the operator has added a machine to it.
TEST_F(MachineMaintenanceTest, aWaveThatGainsAMachineIsOpenAgain)
{
    this->addWave({ "m1", "m2", "m3" });
    EXPECT_TRUE(this->completed);
    this->maintenance->addWave({ 1, { "m2", "m3", "m4" }, std::chrono::seconds(20), 2 }, {});
    EXPECT_FALSE(this->completed);
    this->maintenance->tick();
    EXPECT_EQ(this->orders, std::vector<std::string> { "m4" });
    // The same wave again changes nothing.
    const auto reports = this->reportCount;
    this->maintenance->addWave({ 1, { "m2", "m3", "m4" }, std::chrono::seconds(20), 2 }, {});
    EXPECT_EQ(this->reportCount, reports);
}

} // namespace waxwinglug

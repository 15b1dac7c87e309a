// When moves are ordered, and what becomes of refused ones.
#include "job/pool-mover.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    constexpr Duration initialQuietPeriod { 3000 };

    // Two pools of four machines, and two machines in the standby pool. The work of the queue of "press" exceeds the
    // capacity of its pool.
    struct PoolMoverTest : testing::Test {
        ManualClock clock;
        FleetConfig config;
        std::unique_ptr<JobScheduler> scheduler;
        MachineList list;
        std::unique_ptr<PoolMover> mover;
        std::vector<std::string> orders;
        std::vector<MachineRecord> machines;
        bool mayOrder = true;

        void SetUp() override
        {
            JobSchedulerHooks hooks;
            hooks.mayStart = [] { return false; };
            hooks.renewLease = [](const ServerRecord&, const RenewOrder&) {};
            hooks.log = [](std::string_view, std::initializer_list<LogField>) {};
            this->scheduler = std::make_unique<JobScheduler>(JobSchedulerRules { 2 }, this->clock.clock(), hooks);
            this->config.queues.push_back({ "cards", "", "", "press", 0, 2, 2, Duration(500), false, false });
            for (const auto* service : { "press", "sheets" })
                this->config.services.push_back({ service, false, false });
            this->config.services.push_back({ "spare", false, true });
            this->scheduler->setConfig(std::make_shared<FleetConfig>(this->config));
            PoolMoverHooks moverHooks;
            moverHooks.orderMove
                = [this](const std::string& machine, const std::string&) { this->orders.push_back(machine); };
            moverHooks.mayOrder = [this] { return this->mayOrder; };
            moverHooks.requestMachineList = [this] { this->list.replace(this->machines, this->clock.now()); };
            moverHooks.isInMaintenance = [](const std::string&) { return false; };
            moverHooks.log = hooks.log;
            this->mover = std::make_unique<PoolMover>(*this->scheduler, this->list, PoolRules {}, initialQuietPeriod,
                this->clock.clock(), std::move(moverHooks));
            for (int number = 0; number < 4; ++number) {
                this->addServer("press", number, std::chrono::minutes(1));
                this->addServer("sheets", number, number == 0 ? Duration(2000) : std::chrono::minutes(1));
            }
            for (const auto* name : { "spare0", "spare1" })
                this->machines.push_back({ name, "spare", MachineState::Up, "", { 4000, 4000, 0 } });
        }

        void addServer(const std::string& service, int number, Duration age)
        {
            ServerRecord record;
            record.id = fmt::format("{}-server{}", service, number);
            record.service = service;
            record.machine = fmt::format("{}{}", service, number);
            record.capacity = { 4000, 4000, 0 };
            record.startedAt = this->clock.clock().wallNow() - age;
            this->scheduler->addServer(record);
            this->scheduler->renewAnswered(record.id, this->clock.now(), OrderStatus::Accepted, {});
            this->machines.push_back({ record.machine, service, MachineState::Up, record.id, record.capacity });
        }

        void addWork()
        {
            JobSpec job;
            job.id = "large";
            job.queue = "cards";
            job.acceptedAt = this->clock.clock().wallNow();
            job.steps.resize(1);
            job.steps[0].count = 40;
            job.steps[0].taskResources = { 1000, 1000, 0 };
            job.steps[0].estimatedDuration = Duration(1000);
            this->scheduler->addJob(job, false);
        }

        bool isOrdered(const std::string& machine) const { return std::ranges::count(this->orders, machine) > 0; }
    };

} // namespace

// Guards against orders of two leaders for one machine in quick succession, and against a peak that waits 3 s for
// machines after a leader change.
TEST_F(PoolMoverTest, newLeaderFirstMovesOnlyMachinesWithoutRecentMove)
{
    this->addWork();
    this->mover->tick(this->config);
    EXPECT_TRUE(this->orders.empty()) << "the earlier leader may not have learned yet that it lost leadership";
    this->clock.advance(Duration(1100));
    this->mover->tick(this->config);
    EXPECT_FALSE(this->orders.empty());
    EXPECT_FALSE(this->isOrdered("sheets0")) << "its server started 3 s ago, so a move has just ended";
    EXPECT_FALSE(this->isOrdered("spare0")) << "without a server, the time of its last move is unknown";
    this->clock.advance(Duration(2000));
    this->mover->tick(this->config);
    EXPECT_TRUE(this->isOrdered("spare0"));
}

// Guards against machines that stand idle for many seconds, in no pool, while the platform refuses their moves.
TEST_F(PoolMoverTest, machineOfARefusedMoveWorksOn)
{
    this->addWork();
    this->mover->tick(this->config);
    this->clock.advance(Duration(1100)); // machines without a server are not moved yet
    this->mover->tick(this->config);
    ASSERT_FALSE(this->orders.empty());
    const auto machine = this->orders.front();
    EXPECT_TRUE(this->scheduler->serverOnMachine(machine)->cordoned);
    this->mover->orderAnswered(machine, "press", MachineOrderStatus::Refused);
    EXPECT_FALSE(this->mover->isMoving(machine));
    EXPECT_FALSE(this->scheduler->serverOnMachine(machine)->cordoned);
}

// Guards against a second order that is given up although the first one may have been carried out.
TEST_F(PoolMoverTest, refusalAfterAnUnansweredOrderDoesNotEndTheMove)
{
    this->addWork();
    this->mover->tick(this->config);
    this->clock.advance(Duration(1100)); // machines without a server are not moved yet
    this->mover->tick(this->config);
    ASSERT_FALSE(this->orders.empty());
    const auto machine = this->orders.front();
    this->mover->orderAnswered(machine, "press", MachineOrderStatus::Unknown);
    this->mover->orderAnswered(machine, "press", MachineOrderStatus::Refused);
    EXPECT_TRUE(this->mover->isMoving(machine));
}

// Guards against machines that get no tasks while their order waits to be sent.
TEST_F(PoolMoverTest, machinesWorkOnUntilTheirOrderCanBeSent)
{
    this->addWork();
    this->mayOrder = false;
    this->mover->tick(this->config);
    this->clock.advance(Duration(1100));
    this->mover->tick(this->config);
    EXPECT_TRUE(this->orders.empty());
    for (const auto& [id, server] : this->scheduler->servers())
        EXPECT_FALSE(server->cordoned);
    this->mayOrder = true;
    this->mover->tick(this->config);
    ASSERT_FALSE(this->orders.empty());
    EXPECT_TRUE(this->scheduler->serverOnMachine(this->orders.front())->cordoned);
}

} // namespace waxwinglug

// Single decisions of the scheduler, with answers given by hand.
#include "job/scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace waxwinglug {
namespace {

    struct SchedulerTest : testing::Test {
        ManualClock clock;
        std::vector<std::pair<std::string, StartOrder>> starts;
        std::vector<std::pair<std::string, StopOrder>> stops;
        std::map<std::string, RenewOrder> holds;
        bool valid = true;
        int supersededCalls = 0;
        std::unique_ptr<JobScheduler> scheduler;
        std::map<std::string, std::uint64_t> ends; // of each server

        void SetUp() override { this->begin(1); }

        void begin(std::uint64_t fence)
        {
            JobSchedulerHooks hooks;
            hooks.start = [this](const ServerRecord& server, const StartOrder& order) {
                this->starts.emplace_back(server.id, order);
            };
            hooks.stop = [this](const ServerRecord& server, const StopOrder& order) {
                this->stops.emplace_back(server.id, order);
            };
            hooks.renewLease
                = [this](const ServerRecord& server, const RenewOrder& order) { this->holds[server.id] = order; };
            hooks.throttle = [](const ServerRecord&, const ThrottleOrder&) {};
            hooks.mayStart = [this] { return this->valid; };
            hooks.onSuperseded = [this] { ++this->supersededCalls; };
            hooks.log = [](std::string_view, std::initializer_list<LogField>) {};
            JobSchedulerRules rules;
            rules.fence = fence;
            this->starts.clear();
            this->holds.clear();
            this->scheduler = std::make_unique<JobScheduler>(rules, this->clock.clock(), hooks);
            FleetConfig fleet;
            fleet.queues.push_back({ "cards", "", "", "press", 0, 2, 2, Duration(500), false, false });
            fleet.services.push_back({ "press", false, false });
            this->scheduler->setConfig(std::make_shared<FleetConfig>(fleet));
        }

        ServerRecord record(const std::string& id, const std::string& machine = "") const
        {
            ServerRecord server;
            server.id = id;
            server.service = "press";
            server.capacity = { 4000, 4000, 0 };
            server.machine = machine.empty() ? "machine-" + id : machine;
            return server;
        }

        // Makes a server usable.
        void addServer(const std::string& id)
        {
            this->scheduler->addServer(this->record(id));
            this->scheduler->tick();
            this->answerHold(id, {}, {});
            const auto changes = this->scheduler->takeServerUseChanges(10);
            this->scheduler->serverUseSaved(changes);
        }

        void answerHold(const std::string& id, std::vector<RunningTask> running, std::vector<EndedRun> ended)
        {
            RenewReport report;
            report.clock = this->clock.now().time_since_epoch().count();
            report.running = std::move(running);
            report.ended = std::move(ended);
            this->scheduler->renewAnswered(id, this->clock.now(), OrderStatus::Accepted, report);
            this->scheduler->tick();
        }

        JobSpec job(const std::string& id, StepSpec step) const
        {
            JobSpec spec;
            spec.id = id;
            spec.queue = "cards";
            spec.acceptedAt = WallTime(std::chrono::sys_days { std::chrono::year { 2026 } / 1 / 1 });
            spec.steps = { std::move(step) };
            return spec;
        }

        StepSpec step(int count) const
        {
            StepSpec spec;
            spec.count = count;
            spec.taskResources = { 1000, 1000, 0 };
            spec.estimatedDuration = Duration(1000);
            return spec;
        }

        void confirmStarts()
        {
            const auto sent = this->starts;
            for (const auto& [server, order] : sent)
                this->scheduler->startAnswered(server, order.task, order.run, OrderStatus::Accepted);
        }

        EndedRun ended(const std::string& server, const StartOrder& order, RunEnd end)
        {
            return { ++this->ends[server], order.task, order.run, end, "" };
        }

        void storeAll()
        {
            const auto batch = this->scheduler->takeUnsavedProgress(100);
            this->scheduler->progressSaved(batch, 7);
        }

        // Sends a silent server no answers until its lease is surely over.
        void outlastLease(const std::string& id)
        {
            for (int number = 0; number < 12; ++number) {
                this->scheduler->renewAnswered(id, this->clock.now(), OrderStatus::Unknown, {});
                this->clock.advance(Duration(500));
                this->scheduler->tick();
            }
        }
    };

} // namespace

// Guards against an end that is acknowledged, and forgotten by its server, before it is stored.
TEST_F(SchedulerTest, endIsAcknowledgedOnlyWhenItIsStored)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    this->confirmStarts();
    this->clock.advance(Duration(1000));
    this->answerHold("a", {}, { this->ended("a", this->starts[0].second, RunEnd::Done) });
    EXPECT_EQ(this->holds.at("a").lastStoredEnd, 0U);
    this->storeAll();
    this->clock.advance(Duration(200));
    this->scheduler->tick();
    EXPECT_EQ(this->holds.at("a").lastStoredEnd, 1U);
    EXPECT_EQ(this->scheduler->jobStatus("j"), JobStatus::Completed);
}

// Guards against work that is lost with a server that does not come back: repeated calls must not extend its lease.
TEST_F(SchedulerTest, workOfASilentServerStartsElsewhere)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    this->confirmStarts();
    this->addServer("b");
    this->outlastLease("a");
    ASSERT_EQ(this->starts.size(), 2U);
    EXPECT_EQ(this->starts[1].first, "b");
    EXPECT_GT(this->starts[1].second.run, this->starts[0].second.run);
}

// Guards against a task that runs again although it was done before its server became silent.
TEST_F(SchedulerTest, doneEndOfAGivenUpRunCounts)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    this->confirmStarts();
    this->outlastLease("a");
    this->answerHold("a", {}, { this->ended("a", this->starts[0].second, RunEnd::Done) });
    EXPECT_EQ(this->starts.size(), 1U);
    EXPECT_EQ(this->scheduler->jobStatus("j"), JobStatus::Completed);
}

// Guards against more attempts than the queue allows when a failure is seen by the next lead.
TEST_F(SchedulerTest, failuresOfAnEarlierLeadCount)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    this->confirmStarts();
    const auto first = this->ended("a", this->starts[0].second, RunEnd::Failed);
    this->answerHold("a", {}, { first });
    this->clock.advance(Duration(200));
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 2U);
    const auto second = this->starts[1].second;
    // Nothing was stored; the next lead finds one end and one run.
    this->begin(2);
    this->scheduler->addJob(this->job("j", this->step(1)), true);
    this->scheduler->addServer(this->record("a"));
    this->scheduler->tick();
    this->answerHold("a", { { second.task, second.run, "", 10, 0 } }, { first });
    this->answerHold("a", {}, { this->ended("a", second, RunEnd::Failed) });
    EXPECT_EQ(this->scheduler->jobStatus("j"), JobStatus::Failed);
    EXPECT_TRUE(this->starts.empty());
}

// Guards against a second run while a server that an earlier lead used has not said what it runs.
TEST_F(SchedulerTest, inheritedJobsWaitForServersInUse)
{
    this->begin(2);
    this->scheduler->addServerInUse(this->record("old"));
    this->scheduler->addJob(this->job("j", this->step(1)), true);
    this->addServer("a");
    this->scheduler->tick();
    this->clock.advance(Duration(5100));
    this->answerHold("a", {}, {});
    this->scheduler->addJob(this->job("new", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    EXPECT_EQ(this->starts[0].second.task.job, "new");
    this->clock.advance(Duration(4500));
    this->answerHold("a", { { this->starts[0].second.task, this->starts[0].second.run, "", 1, 0 } }, {});
    EXPECT_EQ(this->starts.size(), 2U);
}

// Guards against a start that may still be carried out and a second one elsewhere.
TEST_F(SchedulerTest, unansweredStartIsVoidedBeforeTheNext)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    const auto order = this->starts.at(0).second;
    this->scheduler->startAnswered("a", order.task, order.run, OrderStatus::Unknown);
    this->clock.advance(Duration(20));
    this->answerHold("a", {}, {});
    ASSERT_EQ(this->stops.size(), 1U);
    EXPECT_EQ(this->starts.size(), 1U);
    this->scheduler->stopAnswered("a", order.task, order.run, OrderStatus::Accepted);
    this->clock.advance(Duration(20));
    this->answerHold("a", {}, {});
    EXPECT_EQ(this->starts.size(), 2U);
}

// Guards against new work on a server that is leaving.
TEST_F(SchedulerTest, drainingServerGetsNoTasksAndLosesLastingOnes)
{
    this->addServer("a");
    auto lasting = this->step(1);
    lasting.longRunning = true;
    this->scheduler->addJob(this->job("l", lasting), false);
    this->scheduler->tick();
    this->confirmStarts();
    auto leaving = this->record("a");
    leaving.draining = true;
    this->scheduler->addServer(leaving);
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
    ASSERT_EQ(this->stops.size(), 1U);
    EXPECT_EQ(this->stops[0].second.task.job, "l");
}

// Guards against a lasting step with more tasks away than it allows.
TEST_F(SchedulerTest, evacuationKeepsLastingStepsAtWork)
{
    this->addServer("a");
    this->addServer("b");
    auto lasting = this->step(2);
    lasting.longRunning = true;
    lasting.maxTasksPerServer = 1;
    lasting.maxUnavailable = 1;
    this->scheduler->addJob(this->job("l", lasting), false);
    this->scheduler->tick();
    this->confirmStarts();
    ASSERT_EQ(this->starts.size(), 2U);
    const auto report = [this](int percent) {
        for (const auto& [server, order] : this->starts)
            this->answerHold(server, { { order.task, order.run, "", percent, 0 } }, {});
    };
    report(50);
    this->scheduler->evict("machine-a");
    EXPECT_TRUE(this->stops.empty()) << "the other task is still starting up";
    report(100);
    this->clock.advance(Duration(1200));
    report(100);
    this->scheduler->evict("machine-a");
    EXPECT_EQ(this->stops.size(), 1U);
    this->scheduler->evict("machine-b");
    EXPECT_EQ(this->stops.size(), 1U) << "one task is away already";
}

// Guards against a gang of which only some members start.
TEST_F(SchedulerTest, gangStartsWholeOrNotAtAll)
{
    this->addServer("a");
    auto gang = this->step(5);
    gang.gang = true;
    this->scheduler->addJob(this->job("g", gang), false);
    this->scheduler->tick();
    EXPECT_TRUE(this->starts.empty()) << "four of five fit";
    this->addServer("b");
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 5U);
    EXPECT_TRUE(std::ranges::all_of(
        this->starts, [this](const auto& start) { return start.second.run == this->starts[0].second.run; }));
}

// Guards against an occurrence that starts before its time.
TEST_F(SchedulerTest, occurrencesStartWhenTheyAreDue)
{
    this->addServer("a");
    auto spec = this->job("t", this->step(1));
    spec.occurrences = 2;
    spec.firstDue = spec.acceptedAt + Duration(1000);
    spec.interval = Duration(1000);
    this->scheduler->addJob(spec, false);
    this->scheduler->tick();
    EXPECT_TRUE(this->starts.empty());
    this->clock.advance(Duration(1000));
    this->answerHold("a", {}, {});
    ASSERT_EQ(this->starts.size(), 1U);
    EXPECT_EQ(this->starts[0].second.task.occurrence, 0);
}

// Guards against orders of a former lead.
TEST_F(SchedulerTest, nothingStartsWithoutAValidLeadAndALowFenceIsReported)
{
    this->addServer("a");
    this->valid = false;
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    EXPECT_TRUE(this->starts.empty());
    this->scheduler->renewAnswered("a", this->clock.now(), OrderStatus::FenceTooLow, {});
    EXPECT_EQ(this->supersededCalls, 1);
}

// Guards against starts after a cancellation, and against runs that go on.
TEST_F(SchedulerTest, cancelledJobStopsAndStartsNothing)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(6)), false);
    this->scheduler->tick();
    this->confirmStarts();
    ASSERT_EQ(this->starts.size(), 4U);
    this->scheduler->cancelJob("j");
    this->scheduler->tick();
    EXPECT_EQ(this->stops.size(), 4U);
    EXPECT_EQ(this->starts.size(), 4U);
    EXPECT_EQ(this->scheduler->jobStatus("j"), JobStatus::Cancelled);
}

// Guards against a lead that goes on although it reaches only its own data centre.
TEST_F(SchedulerTest, leadWithMostlySilentServersIsCutOff)
{
    for (const auto* id : { "a", "b", "c", "d" })
        this->addServer(id);
    EXPECT_FALSE(this->scheduler->isPartitioned());
    for (const auto* id : { "a", "b", "c" })
        this->scheduler->renewAnswered(id, this->clock.now(), OrderStatus::Unknown, {});
    EXPECT_TRUE(this->scheduler->isPartitioned());
}

// Guards against a next lead that waits for servers whose work this one has already given up: a rack without power
// would stop all jobs of its service for as long as a lease may last.
TEST_F(SchedulerTest, silentServerLeavesTheServersInUseWhenItsLeaseIsOver)
{
    this->addServer("s1");
    this->addServer("s2");
    this->outlastLease("s1");
    const auto changes = this->scheduler->takeServerUseChanges(10);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].server, "s1");
    EXPECT_FALSE(changes[0].record.has_value());
    this->scheduler->serverUseSaved(changes);
    EXPECT_TRUE(this->scheduler->takeServerUseChanges(10).empty());

    this->answerHold("s1", {}, {});
    this->scheduler->addJob(this->job("j1", this->step(8)), false);
    this->scheduler->tick();
    EXPECT_TRUE(std::ranges::none_of(this->starts, [](const auto& start) { return start.first == "s1"; }))
        << "it is not in use again before that is stored";
    const auto again = this->scheduler->takeServerUseChanges(10);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_TRUE(again[0].record.has_value());
    this->scheduler->serverUseSaved(again);
    this->scheduler->tick();
    EXPECT_TRUE(std::ranges::any_of(this->starts, [](const auto& start) { return start.first == "s1"; }));
}

// Guards against a next lead that waits for servers that a move or maintenance has ended.
TEST_F(SchedulerTest, machineListTellsWhichInheritedServersAreGone)
{
    this->scheduler->addServerInUse(this->record("old", "machine-1"));
    this->scheduler->addServerInUse(this->record("cut", "machine-2"));
    this->scheduler->addServer(this->record("listed", "machine-3"));
    this->scheduler->addServerInUse(this->record("listed", "machine-3"));
    this->addServer("new");
    this->scheduler->updateMachines(std::vector<MachineRecord> { { "machine-1", "spare", MachineState::Up, "", {} },
                                        { "machine-2", "press", MachineState::Up, "cut", {} },
                                        { "machine-3", "other", MachineState::Moving, "", {} },
                                        { "machine-new", "press", MachineState::Moving, "", {} } },
        this->clock.now());
    this->scheduler->tick();
    EXPECT_FALSE(this->scheduler->servers().contains("old"));
    EXPECT_TRUE(this->scheduler->servers().contains("cut"));
    EXPECT_FALSE(this->scheduler->servers().contains("listed")) << "its row is removed seconds later";
    EXPECT_TRUE(this->scheduler->servers().contains("new")) << "it answers; the list is older than it";
}

// Guards against rows that are removed before their time, in bulk, or before the end of the job is stored.
TEST_F(SchedulerTest, endedJobsExpireInTheOrderOfTheirEnds)
{
    for (const auto* id : { "j1", "j2", "j3" }) {
        this->scheduler->addJob(this->job(id, this->step(1)), false);
        this->scheduler->cancelJob(id);
        if (id != std::string_view("j3"))
            this->storeAll();
        this->clock.advance(Duration(1000));
    }
    EXPECT_TRUE(this->scheduler->takeExpiredJobs(10).empty());
    this->clock.advance(std::chrono::minutes(3) - Duration(2500));
    EXPECT_EQ(this->scheduler->takeExpiredJobs(10), std::vector<std::string> { "j1" });
    this->clock.advance(Duration(5000));
    EXPECT_EQ(this->scheduler->takeExpiredJobs(10), std::vector<std::string> { "j2" }) << "the end of j3 is not stored";
    this->storeAll();
    EXPECT_EQ(this->scheduler->takeExpiredJobs(10), std::vector<std::string> { "j3" });
}

// Guards against a trickle of tasks that keeps every machine of a calm pool in use, so that none can be switched off.
TEST_F(SchedulerTest, emptyServersStayEmptyWhileOthersHaveRoom)
{
    for (const auto* id : { "s1", "s2", "s3" })
        this->addServer(id);
    this->scheduler->addJob(this->job("j1", this->step(1)), false);
    this->scheduler->tick();
    this->scheduler->addJob(this->job("j2", this->step(2)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 3U);
    EXPECT_EQ(this->starts[1].first, this->starts[0].first);
    EXPECT_EQ(this->starts[2].first, this->starts[0].first);
}

// Guards against seconds of standstill after a crash: work of a machine that the platform shows as down starts
// elsewhere without a wait for its lease.
TEST_F(SchedulerTest, workOfACrashedMachineStartsElsewhereAtOnce)
{
    this->addServer("s1");
    this->scheduler->addJob(this->job("j1", this->step(1)), false);
    this->scheduler->tick();
    this->confirmStarts();
    this->addServer("s2");
    ASSERT_EQ(this->starts.size(), 1U);
    const std::vector<MachineRecord> down { { "machine-s1", "press", MachineState::Down, "", {} },
        { "machine-s2", "press", MachineState::Up, "s2", {} } };
    const auto asked = this->clock.now();
    this->clock.advance(Duration(100));
    this->scheduler->renewAnswered("s1", this->clock.now(), OrderStatus::Unknown, {});
    EXPECT_TRUE(this->scheduler->waitsForUnresponsiveServer());
    this->scheduler->updateMachines(down, asked);
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U) << "the list is older than the silence; the server may be a newer life";
    this->scheduler->updateMachines(down, this->clock.now());
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 2U);
    EXPECT_EQ(this->starts[1].first, "s2");
    EXPECT_FALSE(this->scheduler->waitsForUnresponsiveServer());
}

// Guards against a second run of a task on a server that is only cut off.
TEST_F(SchedulerTest, workOfAMachineThatIsUpWaitsForItsLease)
{
    this->addServer("s1");
    this->scheduler->addJob(this->job("j1", this->step(1)), false);
    this->scheduler->tick();
    this->confirmStarts();
    this->addServer("s2");
    this->scheduler->renewAnswered("s1", this->clock.now(), OrderStatus::Unknown, {});
    this->scheduler->updateMachines(
        std::vector<MachineRecord> { { "machine-s1", "press", MachineState::Up, "s1", {} } }, this->clock.now());
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against two runs when a start without an answer reaches the next life of a crashed server.
TEST_F(SchedulerTest, startWithoutAnswerStaysInDoubtAfterACrash)
{
    this->addServer("s1");
    this->scheduler->addJob(this->job("j1", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    this->addServer("s2");
    this->scheduler->startAnswered("s1", this->starts[0].second.task, this->starts[0].second.run, OrderStatus::Unknown);
    this->scheduler->renewAnswered("s1", this->clock.now(), OrderStatus::Unknown, {});
    this->scheduler->updateMachines(
        std::vector<MachineRecord> { { "machine-s1", "press", MachineState::Down, "", {} } }, this->clock.now());
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
}

// Load: a lead is lost while many servers are silent. Guards against teams that wait for seconds because servers which
// have not answered might run the tasks of others.
TEST_F(SchedulerTest, unknownRunsCountOnlyForTeamsThatMayHaveThem)
{
    this->begin(2);
    FleetConfig fleet;
    fleet.queues.push_back({ "cards", "", "", "press", 0, 2, 2, Duration(500), false, false });
    fleet.services.push_back({ "press", false, false });
    fleet.teams.push_back({ "north", { "n" }, 1, { 3000, 0, 0 } });
    fleet.teams.push_back({ "south", { "s" }, 1, { 3000, 0, 0 } });
    this->scheduler->setConfig(std::make_shared<FleetConfig>(fleet));
    auto old = this->job("old", this->step(3));
    old.team = "north";
    this->scheduler->addJob(old, true);
    this->scheduler->addServerInUse(this->record("cut"));
    this->addServer("s1");
    this->clock.advance(Duration(5100)); // the earlier lead starts nothing any more
    this->answerHold("s1", {}, {});
    for (const auto* team : { "north", "south" }) {
        auto fresh = this->job(std::string("new-") + team, this->step(1));
        fresh.team = team;
        this->scheduler->addJob(fresh, false);
    }
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    EXPECT_EQ(this->starts[0].second.task.job, "new-south");
    this->clock.advance(Duration(9000));
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 4U) << "then all leases are over, and team north has 3 of 3 cores";
}

// Load: an outage of the store in which the rows of all servers lapse. Guards against two seconds in which no task
// starts after its return, and against a server that is used for longer although its row does not come back.
TEST_F(SchedulerTest, serverWhoseRowLapsedIsUsedWhileItAnswers)
{
    this->addServer("s1");
    this->scheduler->removeServer("s1");
    this->scheduler->addJob(this->job("j1", this->step(1)), false);
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
    this->clock.advance(Duration(2600));
    this->answerHold("s1", {}, {});
    this->scheduler->addJob(this->job("j2", this->step(1)), false);
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against two runs of a job that is accepted while the lead changes: the earlier lead may hear of it first, and
// start it on a server that has not answered yet.
TEST_F(SchedulerTest, jobOfTheFirstSecondsWaitsForSilentServers)
{
    this->begin(2);
    this->scheduler->addServerInUse(this->record("cut"));
    this->addServer("s1");
    this->scheduler->addJob(this->job("early", this->step(1)), false);
    this->scheduler->tick();
    EXPECT_TRUE(this->starts.empty());
    this->clock.advance(Duration(5100));
    this->answerHold("s1", {}, {});
    this->scheduler->addJob(this->job("late", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    EXPECT_EQ(this->starts[0].second.task.job, "late");
    this->answerHold("cut", {}, {});
    EXPECT_EQ(this->starts.size(), 2U);
}

} // namespace waxwinglug

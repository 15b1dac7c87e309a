// Tests of single scheduler decisions, with answers given by the test.
#include "job/scheduler-fixture.h"

#include <algorithm>

namespace waxwinglug::test {

// Guards against acknowledging an end before it is stored: the server would discard it.
TEST_F(SchedulerTest, endIsAcknowledgedOnlyWhenItIsStored)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    this->confirmStarts();
    this->clock.advance(Duration(1000));
    this->answerRenewal("a", {}, { this->ended("a", this->starts[0].second, RunEnd::Done) });
    EXPECT_EQ(this->renewals.at("a").lastStoredEnd, 0U);
    this->storeAll();
    this->clock.advance(Duration(200));
    this->scheduler->tick();
    EXPECT_EQ(this->renewals.at("a").lastStoredEnd, 1U);
    EXPECT_EQ(this->scheduler->jobStatus("j"), JobStatus::Completed);
}

// Guards against the row of a job that is replaced before its end is stored: a new leader would not run the job.
TEST_F(SchedulerTest, endsAreReturnedOnceTheyAreStored)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    this->confirmStarts();
    this->clock.advance(Duration(1000));
    this->storeAll();
    this->answerRenewal("a", {}, { this->ended("a", this->starts.at(0).second, RunEnd::Done) });
    EXPECT_TRUE(this->scheduler->takeStoredEnds().empty());
    const auto batch = this->scheduler->takeUnsavedProgress(100);
    EXPECT_TRUE(this->scheduler->takeStoredEnds().empty());
    this->scheduler->progressNotSaved(batch);
    EXPECT_TRUE(this->scheduler->takeStoredEnds().empty());
    this->storeAll();
    const auto storedEnds = this->scheduler->takeStoredEnds();
    ASSERT_EQ(storedEnds.size(), 1U);
    EXPECT_EQ(storedEnds[0].job, "j");
    EXPECT_EQ(storedEnds[0].finalState, JobStatus::Completed);
    EXPECT_TRUE(this->scheduler->takeStoredEnds().empty());
}

// Guards against a replaced row of a cancelled job whose tasks still run: a later leader would not know what they use.
TEST_F(SchedulerTest, endOfACancelledJobIsReturnedOnceNothingOfItRuns)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    this->confirmStarts();
    this->clock.advance(Duration(10'000));
    this->scheduler->cancelJob("j");
    this->storeAll();
    EXPECT_TRUE(this->scheduler->takeStoredEnds().empty());
    this->answerRenewal("a", {}, { this->ended("a", this->starts.at(0).second, RunEnd::Stopped) });
    this->storeAll();
    ASSERT_EQ(this->scheduler->takeStoredEnds().size(), 1U);
}

// Guards against a replaced row of a cancelled job that may run on a server which has not answered a new leader.
TEST_F(SchedulerTest, endOfAnInheritedCancelledJobIsReturnedOnceInheritedLeasesAreOver)
{
    this->scheduler->addJob(this->job("j", this->step(1)), true);
    this->scheduler->loadProgress("j", R"({"state":"cancelled","next":1,"open":[]})", 3);
    EXPECT_TRUE(this->scheduler->takeStoredEnds().empty());
    this->clock.advance(Duration(9'600));
    ASSERT_EQ(this->scheduler->takeStoredEnds().size(), 1U);
}

// Guards against work that is lost with an unresponsive server: repeated renewals must not extend its lease.
TEST_F(SchedulerTest, workOfAnUnresponsiveServerStartsElsewhere)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    this->confirmStarts();
    this->addServer("b");
    this->expireLease("a");
    ASSERT_EQ(this->starts.size(), 2U);
    EXPECT_EQ(this->starts[1].first, "b");
    EXPECT_GT(this->starts[1].second.run, this->starts[0].second.run);
}

// Guards against running a task again that had completed before its server became unresponsive.
TEST_F(SchedulerTest, doneEndOfAnAbandonedRunCounts)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    this->confirmStarts();
    this->expireLease("a");
    this->answerRenewal("a", {}, { this->ended("a", this->starts[0].second, RunEnd::Done) });
    EXPECT_EQ(this->starts.size(), 1U);
    EXPECT_EQ(this->scheduler->jobStatus("j"), JobStatus::Completed);
}

// Guards against more attempts than the queue allows when the next leader reports the same failure.
TEST_F(SchedulerTest, failuresSeenByAnEarlierLeaderCount)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    this->confirmStarts();
    const auto first = this->ended("a", this->starts[0].second, RunEnd::Failed);
    this->answerRenewal("a", {}, { first });
    this->clock.advance(Duration(200));
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 2U);
    const auto second = this->starts[1].second;
    // Nothing was stored; the next leader finds one end and one run.
    this->begin(2);
    this->scheduler->addJob(this->job("j", this->step(1)), true);
    this->scheduler->addServer(this->record("a"));
    this->scheduler->tick();
    this->answerRenewal("a", { { second.task, second.run, "", 10, 0 } }, { first });
    this->answerRenewal("a", {}, { this->ended("a", second, RunEnd::Failed) });
    EXPECT_EQ(this->scheduler->jobStatus("j"), JobStatus::Failed);
    EXPECT_TRUE(this->starts.empty());
}

// Guards against a second run of a task while a server used by an earlier leader has not reported its runs.
TEST_F(SchedulerTest, inheritedJobsWaitForServersInUse)
{
    this->begin(2);
    this->scheduler->addServerInUse(this->record("old"));
    this->scheduler->addJob(this->job("j", this->step(1)), true);
    this->addServer("a");
    this->scheduler->tick();
    this->clock.advance(Duration(5100));
    this->answerRenewal("a", {}, {});
    this->scheduler->addJob(this->job("new", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    EXPECT_EQ(this->starts[0].second.task.job, "new");
    this->clock.advance(Duration(4500));
    this->answerRenewal("a", { { this->starts[0].second.task, this->starts[0].second.run, "", 1, 0 } }, {});
    EXPECT_EQ(this->starts.size(), 2U);
}

// Guards against starting a task elsewhere while an unanswered start may still be carried out.
TEST_F(SchedulerTest, unconfirmedStartIsStoppedBeforeTheNext)
{
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    const auto order = this->starts.at(0).second;
    this->scheduler->startAnswered("a", order.task, order.run, { OrderStatus::Unknown });
    this->clock.advance(Duration(20));
    this->answerRenewal("a", {}, {});
    ASSERT_EQ(this->stops.size(), 1U);
    EXPECT_EQ(this->starts.size(), 1U);
    this->scheduler->stopAnswered("a", order.task, order.run, { OrderStatus::Accepted });
    this->clock.advance(Duration(20));
    this->answerRenewal("a", {}, {});
    EXPECT_EQ(this->starts.size(), 2U);
}

// Guards against starts in a data centre that the operator evacuates, and against work that stays away afterwards.
TEST_F(SchedulerTest, evacuatedDataCentreGetsNoTasksUntilItIsTakenBack)
{
    for (const auto* id : { "north", "south" }) {
        auto server = this->record(id);
        server.dataCentre = id;
        this->scheduler->addServer(server);
        this->scheduler->tick();
        this->answerRenewal(id, {}, {});
    }
    this->scheduler->serverUseSaved(this->scheduler->takeServerUseChanges(10));
    this->scheduler->setEvacuatedDataCentres({ "north" });
    this->scheduler->addJob(this->job("first", this->step(6)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 4U);
    for (const auto& [server, order] : this->starts)
        EXPECT_EQ(server, "south");
    this->scheduler->setEvacuatedDataCentres({});
    this->scheduler->dispatchChanges();
    ASSERT_EQ(this->starts.size(), 6U);
    EXPECT_EQ(this->starts[4].first, "north");
}

// All data centres evacuated: jobs wait, and nothing is started or given up.
TEST_F(SchedulerTest, jobsWaitWhileAllDataCentresAreEvacuated)
{
    this->addServer("server");
    this->scheduler->setEvacuatedDataCentres({ "", "unknown" });
    this->scheduler->addJob(this->job("first", this->step(1)), false);
    this->scheduler->tick();
    EXPECT_TRUE(this->starts.empty());
    EXPECT_EQ(this->scheduler->jobStatus("first"), JobStatus::Pending);
}

// Guards against an evacuation that takes down more long-running tasks than their step allows, or moves one that no
// other server has room for.
TEST_F(SchedulerTest, evacuationMovesLongRunningTasksWithinTheirLimit)
{
    auto lasting = this->step(3);
    lasting.longRunning = true;
    lasting.maxUnavailable = 1;
    this->addServer("old");
    this->scheduler->addJob(this->job("lasting", lasting), false);
    this->scheduler->tick();
    this->confirmStarts();
    ASSERT_EQ(this->starts.size(), 3U);
    std::vector<RunningTask> running;
    running.reserve(this->starts.size());
    for (const auto& [server, order] : this->starts)
        running.push_back({ order.task, order.run, "", 100, 0 });
    this->answerRenewal("old", running, {});
    this->scheduler->setEvacuatedDataCentres({ "" });
    this->scheduler->tick();
    EXPECT_TRUE(this->stops.empty()) << "no other server has room";
    auto other = this->record("new");
    other.dataCentre = "south";
    this->scheduler->addServer(other);
    this->scheduler->tick();
    this->answerRenewal("new", {}, {});
    this->scheduler->serverUseSaved(this->scheduler->takeServerUseChanges(10));
    this->answerRenewal("old", running, {});
    this->scheduler->tick();
    EXPECT_EQ(this->stops.size(), 1U);
}

// Guards against new work on a draining server.
TEST_F(SchedulerTest, drainingServerGetsNoTasksAndEvictsLongRunningOnes)
{
    this->addServer("a");
    auto longRunning = this->step(1);
    longRunning.longRunning = true;
    this->scheduler->addJob(this->job("l", longRunning), false);
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

// Guards against evicting more tasks of a long-running step than maxUnavailable allows.
TEST_F(SchedulerTest, evictionRespectsMaxUnavailable)
{
    this->addServer("a");
    this->addServer("b");
    auto longRunning = this->step(2);
    longRunning.longRunning = true;
    longRunning.maxTasksPerServer = 1;
    longRunning.maxUnavailable = 1;
    this->scheduler->addJob(this->job("l", longRunning), false);
    this->scheduler->tick();
    this->confirmStarts();
    ASSERT_EQ(this->starts.size(), 2U);
    const auto report = [this](int percent) {
        for (const auto& [server, order] : this->starts)
            this->answerRenewal(server, { { order.task, order.run, "", percent, 0 } }, {});
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
    EXPECT_EQ(this->stops.size(), 1U) << "one task is already unavailable";
}

// Guards against starting only some members of a gang.
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

// Guards against starting an occurrence before it is due.
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
    this->answerRenewal("a", {}, {});
    ASSERT_EQ(this->starts.size(), 1U);
    EXPECT_EQ(this->starts[0].second.task.occurrence, 0);
}

// Guards against orders of a former leader.
TEST_F(SchedulerTest, nothingStartsWithoutLeadershipAndALowFenceIsReported)
{
    this->addServer("a");
    this->mayStart = false;
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    EXPECT_TRUE(this->starts.empty());
    this->scheduler->renewAnswered("a", this->clock.now(), OrderStatus::FenceTooLow, {});
    EXPECT_EQ(this->supersededCalls, 1);
}

// Guards against starts after a cancellation, and against runs that are not stopped.
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

// Guards against a leader that stays in office although it reaches only its own data centre.
TEST_F(SchedulerTest, leaderWithMostlyUnresponsiveServersIsPartitioned)
{
    for (const auto* id : { "a", "b", "c", "d" })
        this->addServer(id);
    EXPECT_FALSE(this->scheduler->isPartitioned());
    for (const auto* id : { "a", "b", "c" })
        this->scheduler->renewAnswered(id, this->clock.now(), OrderStatus::Unknown, {});
    EXPECT_TRUE(this->scheduler->isPartitioned());
}

// Guards against a next leader that waits for servers whose runs were already abandoned. After a power failure of a
// rack, all jobs of its service would wait for the maximum lease.
TEST_F(SchedulerTest, unresponsiveServerIsNoLongerInUseAfterItsLease)
{
    this->addServer("s1");
    this->addServer("s2");
    this->expireLease("s1");
    const auto changes = this->scheduler->takeServerUseChanges(10);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].server, "s1");
    EXPECT_FALSE(changes[0].record.has_value());
    this->scheduler->serverUseSaved(changes);
    EXPECT_TRUE(this->scheduler->takeServerUseChanges(10).empty());

    this->answerRenewal("s1", {}, {});
    this->scheduler->addJob(this->job("j1", this->step(8)), false);
    this->scheduler->tick();
    EXPECT_TRUE(std::ranges::none_of(this->starts, [](const auto& start) { return start.first == "s1"; }))
        << "it gets no tasks before its use is recorded again";
    const auto again = this->scheduler->takeServerUseChanges(10);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_TRUE(again[0].record.has_value());
    this->scheduler->serverUseSaved(again);
    this->scheduler->tick();
    EXPECT_TRUE(std::ranges::any_of(this->starts, [](const auto& start) { return start.first == "s1"; }));
}

// Guards against a next leader that waits for servers that a move or maintenance has ended.
TEST_F(SchedulerTest, machineListRemovesReplacedInheritedServers)
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
    EXPECT_FALSE(this->scheduler->servers().contains("listed"))
        << "its machine is in another pool; its row is removed seconds later";
    EXPECT_TRUE(this->scheduler->servers().contains("new")) << "it answers, so the list is older than the server";
}

// Guards against removing rows before the retention time, in bulk, or before the end of the job is stored.
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

// Guards against spreading few tasks over all machines of a lightly loaded pool, so that none can be powered off.
TEST_F(SchedulerTest, emptyServersStayEmptyWhileOthersHaveCapacity)
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

// Guards against seconds without progress after a crash: tasks of a machine that the platform lists as down start
// elsewhere without waiting for the lease.
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
    EXPECT_EQ(this->starts.size(), 1U)
        << "the list was requested before the server became unresponsive; it may be a newer incarnation";
    this->scheduler->updateMachines(down, this->clock.now());
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 2U);
    EXPECT_EQ(this->starts[1].first, "s2");
    EXPECT_FALSE(this->scheduler->waitsForUnresponsiveServer());
}

// Guards against a second run of a task whose server is only unreachable.
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

// Guards against two runs when an unanswered start reaches the next incarnation of a crashed server.
TEST_F(SchedulerTest, startWithoutAnswerStaysUnconfirmedAfterACrash)
{
    this->addServer("s1");
    this->scheduler->addJob(this->job("j1", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    this->addServer("s2");
    this->scheduler->startAnswered(
        "s1", this->starts[0].second.task, this->starts[0].second.run, { OrderStatus::Unknown });
    this->scheduler->renewAnswered("s1", this->clock.now(), OrderStatus::Unknown, {});
    this->scheduler->updateMachines(
        std::vector<MachineRecord> { { "machine-s1", "press", MachineState::Down, "", {} } }, this->clock.now());
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against two runs of a task when a new incarnation has answered the start before its row is read.
TEST_F(SchedulerTest, runOfAnIncarnationWithoutARowIsNotStartedAgain)
{
    this->clock.advance(Duration(10'000)); // nothing waits for an earlier leader any more
    this->incarnations["a"] = WallTime(Duration(1000));
    this->addServer("a");
    this->addServer("b");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    ASSERT_EQ(this->starts[0].first, "a");
    this->confirmStarts();
    this->incarnations["a"] = WallTime(Duration(2000));
    this->clock.advance(Duration(400));
    this->scheduler->addServer(this->record("a"));
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
    this->clock.advance(Duration(10));
    this->answerRenewal("a", { { this->starts[0].second.task, this->starts[0].second.run, "", 10, 0 } }, {});
    EXPECT_EQ(this->starts.size(), 1U);
    EXPECT_TRUE(this->stops.empty());
}

// Guards against the same when the report of the new incarnation was made before the start and is overtaken by its
// answer.
TEST_F(SchedulerTest, startAnsweredBeforeAnOlderReportOfANewIncarnationIsNotRepeated)
{
    this->clock.advance(Duration(10'000)); // nothing waits for an earlier leader any more
    this->incarnations["a"] = WallTime(Duration(1000));
    this->addServer("a");
    this->addServer("b");
    this->clock.advance(Duration(100));
    const auto requestedAt = this->clock.now();
    this->scheduler->tick();
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->clock.advance(Duration(100));
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    this->confirmStarts();
    RenewReport report;
    report.startedAt = WallTime(Duration(2000));
    this->scheduler->renewAnswered("a", requestedAt, OrderStatus::Accepted, report);
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against work that waits after a restart: runs that the earlier incarnation has listed start elsewhere as soon
// as the server names its new start, and one that only answered its start after a stop is confirmed.
TEST_F(SchedulerTest, runsOfAnEndedIncarnationStartAgainOnceTheServerNamesALaterStart)
{
    this->incarnations["a"] = WallTime(Duration(1000));
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    this->confirmStarts();
    this->clock.advance(Duration(10));
    this->answerRenewal("a", { { this->starts[0].second.task, this->starts[0].second.run, "", 10, 0 } }, {});
    this->scheduler->addJob(this->job("k", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 2U);
    const auto second = this->starts[1].second;
    this->scheduler->startAnswered("a", second.task, second.run, { OrderStatus::Accepted });
    this->clock.advance(Duration(10));
    this->incarnations["a"] = WallTime(Duration(2000));
    this->answerRenewal("a", {}, {});
    this->clock.advance(Duration(10));
    this->answerRenewal("a", {}, {});
    this->scheduler->serverUseSaved(this->scheduler->takeServerUseChanges(10));
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 3U);
    EXPECT_EQ(this->starts[2].second.task.job, "j");
    ASSERT_EQ(this->stops.size(), 1U);
    this->scheduler->stopAnswered("a", second.task, second.run, { OrderStatus::Accepted });
    this->clock.advance(Duration(10));
    this->answerRenewal("a", { { this->starts[2].second.task, this->starts[2].second.run, "", 1, 0 } }, {});
    ASSERT_EQ(this->starts.size(), 4U);
    EXPECT_EQ(this->starts[3].second.task.job, "k");
}

// Guards against two runs after a row with a start that its server denies: the server has not started again.
TEST_F(SchedulerTest, rowWithALaterStartThanTheServerNamesEndsNoRun)
{
    this->clock.advance(Duration(10'000)); // nothing waits for an earlier leader any more
    this->incarnations["a"] = WallTime(Duration(1000));
    this->addServer("a");
    this->addServer("b");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    this->confirmStarts();
    const RunningTask running { this->starts.at(0).second.task, this->starts[0].second.run, "", 10, 0 };
    this->clock.advance(Duration(10));
    this->answerRenewal("a", { running }, {});
    auto odd = this->record("a");
    odd.startedAt = WallTime(Duration::max());
    this->scheduler->addServer(odd);
    this->scheduler->tick();
    this->clock.advance(Duration(10));
    this->answerRenewal("a", { running }, {});
    this->clock.advance(Duration(10));
    this->answerRenewal("a", { running }, {});
    EXPECT_EQ(this->starts.size(), 1U);
    EXPECT_TRUE(this->stops.empty());
    EXPECT_TRUE(this->scheduler->servers().at("a")->isReachable());
}

// Guards against two runs when a list of machines that was made while a machine was down arrives after its new server
// has answered a start.
TEST_F(SchedulerTest, listOfMachinesEndsNoRunThatWasAnsweredAfterTheUnansweredRenewal)
{
    this->clock.advance(Duration(10'000)); // nothing waits for an earlier leader any more
    this->incarnations["a"] = WallTime(Duration(1000));
    this->addServer("a");
    this->addServer("b");
    const auto requestedAt = this->clock.now();
    this->clock.advance(Duration(500));
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    this->confirmStarts();
    this->clock.advance(Duration(10));
    this->scheduler->renewAnswered("a", requestedAt, OrderStatus::Unknown, {});
    const std::vector<MachineRecord> down { { "machine-a", "press", MachineState::Down, "", {} } };
    this->scheduler->updateMachines(down, this->clock.now());
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
    this->clock.advance(Duration(300));
    this->scheduler->tick();
    this->scheduler->renewAnswered("a", this->clock.now(), OrderStatus::Unknown, {});
    this->scheduler->updateMachines(down, this->clock.now());
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 2U) << "the server has left a renewal unanswered that was sent after the answer";
}

// Guards against two runs when an answer from an address that the server had before arrives late.
TEST_F(SchedulerTest, lateAnswerFromAnEarlierAddressEndsNoRun)
{
    this->clock.advance(Duration(10'000)); // nothing waits for an earlier leader any more
    this->incarnations["a"] = WallTime(Duration(1000));
    this->addServer("a");
    this->addServer("b");
    const auto sentAt = this->clock.now();
    this->clock.advance(Duration(100));
    this->incarnations["a"] = WallTime(Duration(2000));
    auto moved = this->record("a");
    moved.address.port = 9;
    this->scheduler->addServer(moved);
    this->clock.advance(Duration(100));
    this->answerRenewal("a", {}, {});
    this->scheduler->serverUseSaved(this->scheduler->takeServerUseChanges(10));
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    ASSERT_EQ(this->starts[0].first, "a");
    this->confirmStarts();
    this->scheduler->renewAnswered("a", sentAt, OrderStatus::OtherIncarnation, {});
    this->scheduler->stopAnswered("a", { "other", 0, 0, 0 }, 1, { OrderStatus::OtherIncarnation });
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against a second run of a task whose end as done a new leader cannot see yet, because the report of its server
// is full of earlier ends, also when the leases of the earlier leader have expired meanwhile.
TEST_F(SchedulerTest, inheritedJobsWaitForEndsBeyondAFullReport)
{
    this->begin(2);
    this->scheduler->addJob(this->job("j", this->step(1)), true);
    this->scheduler->addServerInUse(this->record("a"));
    this->addServer("b");
    std::vector<EndedRun> earlier(500);
    for (auto& each : earlier)
        each = { ++this->ends["a"], { "other", 0, 0, 0 }, 1, RunEnd::Done, "" };
    this->answerRenewal("a", {}, earlier);
    EXPECT_TRUE(this->starts.empty());
    for (int second = 0; second < 12; ++second) {
        this->clock.advance(Duration(1000));
        this->answerRenewal("b", {}, {});
        this->answerRenewal("a", {}, earlier);
    }
    EXPECT_TRUE(this->starts.empty());
    this->answerRenewal("a", {}, { { ++this->ends["a"], { "j", 0, 0, 0 }, 1, RunEnd::Done, "" } });
    EXPECT_TRUE(this->starts.empty());
    EXPECT_EQ(this->scheduler->jobStatus("j"), JobStatus::Completed);
}

// Guards against jobs that wait for good because a server with a full report is gone.
TEST_F(SchedulerTest, inheritedJobsDoNotWaitForAServerWhoseLeaseHasExpired)
{
    this->begin(2);
    this->scheduler->addJob(this->job("j", this->step(1)), true);
    this->scheduler->addServerInUse(this->record("a"));
    this->addServer("b");
    std::vector<EndedRun> earlier(500);
    for (auto& each : earlier)
        each = { ++this->ends["a"], { "other", 0, 0, 0 }, 1, RunEnd::Done, "" };
    this->answerRenewal("a", {}, earlier);
    this->expireLease("a");
    this->answerRenewal("b", {}, {});
    EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against one job whose progress no row can hold: it ends, and the progress of other jobs is stored.
TEST_F(SchedulerTest, jobWhoseProgressFitsInNoRowEndsAndHoldsUpNoOther)
{
    this->maxProgressBytes = 200;
    this->begin(1);
    this->addServer("a");
    this->scheduler->addJob(this->job("wide", this->step(300)), false);
    this->scheduler->tick();
    this->confirmStarts();
    this->scheduler->addJob(this->job("small", this->step(1)), false);
    this->scheduler->cancelJob("small");
    const auto batch = this->scheduler->takeUnsavedProgress(100);
    ASSERT_EQ(batch.size(), 2U);
    for (const auto& write : batch)
        EXPECT_LE(write.text.size(), 200U) << write.job;
    EXPECT_EQ(this->scheduler->jobStatus("wide"), JobStatus::Failed);
}

// Guards against two runs after another writer has left a row that names the machine of a server and a later start.
TEST_F(SchedulerTest, rowOfAnotherWriterEndsNoServerOnItsMachine)
{
    this->clock.advance(Duration(10'000)); // nothing waits for an earlier leader any more
    this->incarnations["a"] = WallTime(Duration(1000));
    this->addServer("a");
    this->addServer("b");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    this->confirmStarts();
    const RunningTask running { this->starts[0].second.task, this->starts[0].second.run, "", 10, 0 };
    this->clock.advance(Duration(10));
    this->answerRenewal("a", { running }, {});
    auto odd = this->record("odd", "machine-a");
    odd.service = "log-shipper";
    odd.startedAt = WallTime(Duration::max());
    this->scheduler->addServer(odd);
    this->scheduler->tick();
    this->scheduler->renewAnswered("odd", this->clock.now(), OrderStatus::Unknown, {});
    this->clock.advance(Duration(10));
    this->answerRenewal("a", { running }, {});
    EXPECT_EQ(this->starts.size(), 1U);
    ASSERT_TRUE(this->scheduler->servers().contains("a"));
    EXPECT_EQ(this->scheduler->serverOnMachine("machine-a")->record.id, "a");
}

// Guards against the same in a new leader, which would not wait for the server that the earlier one used.
TEST_F(SchedulerTest, rowOfAnotherWriterEndsNoServerInUse)
{
    this->begin(2);
    auto odd = this->record("odd", "machine-a");
    odd.startedAt = WallTime(Duration::max());
    this->scheduler->addServer(odd);
    this->scheduler->addServerInUse(this->record("a"));
    this->scheduler->addJob(this->job("j", this->step(1)), true);
    this->addServer("b");
    EXPECT_TRUE(this->starts.empty());
    this->answerRenewal("a", { { { "j", 0, 0, 0 }, 1, "", 10, 0 } }, {});
    EXPECT_TRUE(this->starts.empty());
    EXPECT_TRUE(this->stops.empty());
}

// Guards against work that waits for the lease of a server whose machine runs another one.
TEST_F(SchedulerTest, laterServerOnAMachineEndsTheEarlierOneOnceItHasAnswered)
{
    this->clock.advance(Duration(10'000)); // nothing waits for an earlier leader any more
    this->incarnations["a"] = WallTime(Duration(1000));
    this->addServer("a");
    this->scheduler->addJob(this->job("j", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    this->confirmStarts();
    this->incarnations["later"] = WallTime(Duration(2000));
    this->scheduler->addServer(this->record("later", "machine-a"));
    this->scheduler->tick();
    EXPECT_TRUE(this->scheduler->servers().contains("a"));
    this->answerRenewal("later", {}, {});
    this->scheduler->serverUseSaved(this->scheduler->takeServerUseChanges(10));
    this->scheduler->tick();
    EXPECT_FALSE(this->scheduler->servers().contains("a"));
    ASSERT_EQ(this->starts.size(), 2U);
    EXPECT_EQ(this->starts[1].first, "later");
}

// Guards against accepted jobs that are lost when their queue is removed and the leader changes afterwards: the new one
// runs them with the settings with which they were accepted.
TEST_F(SchedulerTest, jobOfARemovedQueueIsFinishedByANewLeader)
{
    this->begin(2);
    auto spec = this->job("j", this->step(1));
    spec.queue = "removed";
    spec.service = "press";
    spec.maxFailedRuns = 2;
    this->scheduler->addJob(fromJson<JobSpec>(toJson(spec)), true);
    this->addServer("a");
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    this->confirmStarts();
    this->clock.advance(Duration(200));
    this->answerRenewal("a", {}, { this->ended("a", this->starts[0].second, RunEnd::Failed) });
    EXPECT_EQ(this->scheduler->jobStatus("j"), JobStatus::Running) << "its queue allowed two failed runs";
    this->clock.advance(Duration(200));
    this->answerRenewal("a", {}, {});
    EXPECT_EQ(this->starts.size(), 2U);
}

// Load: the leader is lost while many servers are unresponsive. Guards against teams that wait for seconds because
// unresponsive servers may run tasks of other teams.
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
    this->clock.advance(Duration(5100)); // the earlier leader starts no tasks any more
    this->answerRenewal("s1", {}, {});
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
    EXPECT_EQ(this->starts.size(), 4U) << "all leases have expired, and team north has 3 of 3 cores";
}

// Load: an outage of the store during which the rows of all servers expire. Guards against two seconds without starts
// after the outage, and against using a server beyond that time if its row does not come back.
TEST_F(SchedulerTest, serverWhoseRowExpiredIsUsedWhileItAnswers)
{
    this->addServer("s1");
    this->scheduler->removeServer("s1");
    this->scheduler->addJob(this->job("j1", this->step(1)), false);
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
    this->clock.advance(Duration(2600));
    this->answerRenewal("s1", {}, {});
    this->scheduler->addJob(this->job("j2", this->step(1)), false);
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 1U);
}

// Guards against two runs of a job that is accepted during a leader change: the earlier leader may see it first and
// start it on a server that has not answered yet.
TEST_F(SchedulerTest, jobAcceptedDuringLeaderChangeWaitsForUnresponsiveServers)
{
    this->begin(2);
    this->scheduler->addServerInUse(this->record("cut"));
    this->addServer("s1");
    this->scheduler->addJob(this->job("early", this->step(1)), false);
    this->scheduler->tick();
    EXPECT_TRUE(this->starts.empty());
    this->clock.advance(Duration(5100));
    this->answerRenewal("s1", {}, {});
    this->scheduler->addJob(this->job("late", this->step(1)), false);
    this->scheduler->tick();
    ASSERT_EQ(this->starts.size(), 1U);
    EXPECT_EQ(this->starts[0].second.task.job, "late");
    this->answerRenewal("cut", {}, {});
    EXPECT_EQ(this->starts.size(), 2U);
}

} // namespace waxwinglug::test

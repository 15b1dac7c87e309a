// Tests of starts that got no answer before their leader was lost, and of the next leader that reads of them.
#include "job/scheduler-fixture.h"

#include <algorithm>

namespace waxwinglug::test {

// Servers "a" and "b", and a job whose task is started on one of them, "lost", which answers nothing from then on.
struct UnansweredStartTest : SchedulerTest {
    static constexpr Duration recordDelay { 30 };
    static constexpr Duration maxWait { 23'000 }; // until a start without an answer and its lease are over

    std::map<std::string, JobScheduler::ServerUseRecord> stored;
    std::string lost;
    std::string other;
    StartOrder order;
    TimePoint sentAt;

    void SetUp() override
    {
        SchedulerTest::SetUp();
        for (const auto* id : { "a", "b" }) {
            this->incarnations[id] = WallTime(Duration(1000));
            this->addServer(id);
            this->stored[id] = { id, this->record(id) };
        }
        this->scheduler->addJob(this->job("j", this->step(1)), false);
        this->scheduler->tick();
        ASSERT_EQ(this->starts.size(), 1U);
        this->lost = this->starts[0].first;
        this->other = this->lost == "a" ? "b" : "a";
        this->order = this->starts[0].second;
        this->sentAt = this->clock.now();
    }

    void store()
    {
        const auto changes = this->scheduler->takeServerUseChanges(10);
        for (const auto& change : changes) {
            if (change.record)
                this->stored[change.server] = change;
            else
                this->stored.erase(change.server);
        }
        this->scheduler->serverUseSaved(changes);
    }

    std::size_t recordedStarts() const
    {
        const auto use = this->stored.find(this->lost);
        return use == this->stored.end() ? 0 : use->second.unansweredStarts.size();
    }

    void recordStart()
    {
        this->clock.advance(recordDelay);
        this->store();
        ASSERT_EQ(this->recordedStarts(), 1U);
    }

    // The next leader finds what is stored, job "j", and one more that the former leader had not started.
    void changeLeader(std::uint64_t fence)
    {
        this->begin(fence);
        this->scheduler->addJob(this->job("j", this->step(1)), true);
        this->scheduler->addJob(this->job("k", this->step(1)), true);
        for (const auto& [id, use] : this->stored) {
            this->scheduler->addServer(this->record(id));
            this->scheduler->addServerInUse(*use.record);
        }
        for (const auto& [id, use] : this->stored) {
            if (use.leaseEnd)
                this->scheduler->setInheritedLeaseEnd(id, *use.leaseEnd);
            for (const auto& start : use.unansweredStarts)
                this->scheduler->addInheritedStart(id, start);
        }
        this->scheduler->tick();
    }

    void missRenewal()
    {
        this->scheduler->renewAnswered(this->lost, this->clock.now(), OrderStatus::Unknown, {});
        this->clock.advance(Duration(100));
    }

    // The machine of the lost server is listed as down, and the other server answers.
    void listAsDown(std::vector<RunningTask> runningOnOther = {})
    {
        this->missRenewal();
        const MachineRecord down { "machine-" + this->lost, "press", MachineState::Down, "", {} };
        this->scheduler->updateMachines({ &down, 1 }, this->clock.now());
        this->answerRenewal(this->other, std::move(runningOnOther), {});
        this->store();
    }

    bool hasStarted(const std::string& job) const
    {
        return std::ranges::any_of(this->starts, [&job](const auto& each) { return each.second.task.job == job; });
    }

    // The lost server answers as an incarnation that has started since.
    void answerAsLaterIncarnation(std::vector<RunningTask> running)
    {
        this->incarnations[this->lost] += Duration(5000);
        this->clock.advance(Duration(100));
        this->answerRenewal(this->lost, std::move(running), {});
    }
};

// Guards against a second run of a task whose start the server's next incarnation carries out after the leader was
// killed and the machine was listed as down (review/13, TWICE).
TEST_F(UnansweredStartTest, taskWaitsForAStartOfADeadLeaderThatALaterIncarnationCarriesOut)
{
    this->recordStart();
    this->changeLeader(2);
    this->listAsDown();
    EXPECT_FALSE(this->hasStarted("j"));
    this->answerAsLaterIncarnation({ { this->order.task, this->order.run, "", 1, 0 } });
    this->clock.advance(maxWait);
    this->answerRenewal(this->lost, { { this->order.task, this->order.run, "", 50, 0 } }, {});
    EXPECT_FALSE(this->hasStarted("j")) << "the run is taken over";
}

// Guards against a wait for other work of a server whose machine is down, and for a start that was not carried out
// after the server has answered.
TEST_F(UnansweredStartTest, onlyTheTaskOfThatStartWaits)
{
    this->recordStart();
    this->changeLeader(2);
    this->listAsDown();
    EXPECT_TRUE(this->hasStarted("k"));
    EXPECT_FALSE(this->hasStarted("j"));
    this->answerAsLaterIncarnation({});
    ASSERT_EQ(this->stops.size(), 1U);
    this->scheduler->stopAnswered(this->lost, this->order.task, this->order.run,
        { OrderStatus::Accepted, this->clock.now().time_since_epoch().count() });
    this->clock.advance(Duration(10));
    this->answerRenewal(this->lost, {}, {});
    this->store();
    this->scheduler->tick();
    EXPECT_TRUE(this->hasStarted("j"));
}

// Guards against a task that waits for ever for a server that never answers again, and against one that waits anew in
// each term.
TEST_F(UnansweredStartTest, waitForAStartEndsWithItsDelayAndLease)
{
    this->recordStart();
    std::uint64_t fence = 2;
    do {
        this->changeLeader(fence++);
        for (int step = 0; step < 10 && !this->hasStarted("j"); ++step) {
            this->listAsDown();
            this->clock.advance(Duration(300));
            this->scheduler->tick();
        }
    } while (!this->hasStarted("j") && this->clock.now() - this->sentAt <= maxWait);
    EXPECT_TRUE(this->hasStarted("j"));
    EXPECT_GE(this->clock.now() - this->sentAt, Duration(22'000));
    EXPECT_LE(this->clock.now() - this->sentAt, maxWait);
}

// Guards against a record that is removed with the crash of its server, so that the next leader does not know.
TEST_F(UnansweredStartTest, startOutlivesTheRecordOfACrashedServer)
{
    this->recordStart();
    this->scheduler->startAnswered(this->lost, this->order.task, this->order.run, { OrderStatus::Unknown });
    this->listAsDown();
    EXPECT_EQ(this->recordedStarts(), 1U);
    ASSERT_TRUE(this->stored.at(this->lost).leaseEnd) << "nothing else runs there";
    EXPECT_LE(*this->stored.at(this->lost).leaseEnd, this->clock.now());
    this->clock.advance(Duration(10));
    this->changeLeader(2);
    this->answerRenewal(this->other, {}, {});
    EXPECT_FALSE(this->hasStarted("j"));
    EXPECT_TRUE(this->hasStarted("k"));
}

// Guards against the same for a start whose answer may come from the next incarnation: the machine list was requested
// before the answer arrived.
TEST_F(UnansweredStartTest, runOfAnUnknownIncarnationOutlivesTheRecordOfACrashedServer)
{
    this->missRenewal();
    const auto askedAt = this->clock.now();
    this->clock.advance(Duration(10));
    this->scheduler->startAnswered(this->lost, this->order.task, this->order.run, { OrderStatus::Accepted });
    this->missRenewal();
    const MachineRecord down { "machine-" + this->lost, "press", MachineState::Down, "", {} };
    this->scheduler->updateMachines({ &down, 1 }, askedAt);
    this->store();
    EXPECT_EQ(this->recordedStarts(), 1U);
    this->changeLeader(2);
    this->listAsDown();
    EXPECT_FALSE(this->hasStarted("j"));
}

// Guards against a write of the store for each start.
TEST_F(UnansweredStartTest, startThatIsAnsweredSoonIsNotRecorded)
{
    this->clock.advance(recordDelay / 2);
    this->confirmStarts();
    this->clock.advance(recordDelay);
    EXPECT_TRUE(this->scheduler->takeServerUseChanges(10).empty());
}

// Guards against a start that is lost with a write that failed.
TEST_F(UnansweredStartTest, recordThatWasNotStoredIsWrittenAgain)
{
    this->clock.advance(recordDelay);
    const auto changes = this->scheduler->takeServerUseChanges(10);
    ASSERT_EQ(changes.size(), 1U);
    this->scheduler->serverUseNotSaved(changes);
    this->store();
    EXPECT_EQ(this->recordedStarts(), 1U);
    this->listAsDown();
    this->changeLeader(2);
    this->listAsDown();
    EXPECT_FALSE(this->hasStarted("j"));
}

// Guards against a run that is stopped, or an end that is dropped, because a record names an earlier start of its task:
// the leader had ruled that one out before it started the later run.
TEST_F(UnansweredStartTest, laterRunElsewhereEndsTheWait)
{
    const auto later = this->order.run + 1;
    for (const bool hasEnded : { false, true }) {
        this->stored[this->lost] = { this->lost, this->record(this->lost), {}, {},
            { { this->order.task, this->order.run, this->clock.now() + maxWait } } };
        this->changeLeader(hasEnded ? 3 : 2);
        const RunningTask running { this->order.task, later, "", 1, 0 };
        if (hasEnded)
            this->answerRenewal(this->other, {}, { { 1, this->order.task, later, RunEnd::Done, "" } });
        else
            this->answerRenewal(this->other, { running }, {});
        this->listAsDown(hasEnded ? std::vector<RunningTask> {} : std::vector { running });
        EXPECT_TRUE(this->stops.empty());
        EXPECT_FALSE(this->hasStarted("j"));
        EXPECT_EQ(this->scheduler->jobStatus("j"), hasEnded ? JobStatus::Completed : JobStatus::Running);
    }
}

// The same, and the later run is on the server that had left the earlier start unanswered.
TEST_F(UnansweredStartTest, laterRunOnTheSameServerIsTakenOver)
{
    this->recordStart();
    this->changeLeader(2);
    const RunningTask running { this->order.task, this->order.run + 1, "", 1, 0 };
    for (int report = 0; report < 3; ++report) {
        this->answerRenewal(this->lost, { running }, {});
        this->clock.advance(Duration(50));
    }
    EXPECT_TRUE(this->stops.empty());
    EXPECT_FALSE(this->hasStarted("j"));
    EXPECT_EQ(this->scheduler->jobStatus("j"), JobStatus::Running);
}

// Guards against a record that is too large for its row: a server gets no more starts while many have no answer.
TEST_F(UnansweredStartTest, startsWithoutAnAnswerAreBounded)
{
    auto step = this->step(1000);
    step.taskResources = { 1, 1, 0 };
    this->scheduler->addJob(this->job("wide", step), false);
    for (int number = 0; number < 5; ++number)
        this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 256U);
    this->clock.advance(recordDelay);
    this->store();
    EXPECT_EQ(this->stored.at("a").unansweredStarts.size(), 128U);
    this->confirmStarts();
    this->scheduler->tick();
    EXPECT_EQ(this->starts.size(), 512U);
}

// Guards against a record of another writer, or of a job that has ended, that ends the process.
TEST_F(UnansweredStartTest, startsOfUnknownTasksAreSkipped)
{
    this->changeLeader(2);
    const auto end = this->clock.now() + maxWait;
    for (const TaskId& task : { TaskId { "unknown", 0, 0, 0 }, TaskId { "j", 0, 7, 0 }, TaskId { "j", 0, 0, 7 },
             TaskId { "j", 3, 0, 0 }, TaskId { "j", -1, 0, 0 }, TaskId { "j", 0, -1, 0 } })
        this->scheduler->addInheritedStart(this->lost, { task, 1, end });
    this->scheduler->addInheritedStart("nowhere", { this->order.task, 1, end });
    this->scheduler->addInheritedStart(this->lost, { this->order.task, 1, this->clock.now() });
    EXPECT_TRUE(this->scheduler->servers().at(this->lost)->runs.empty());
}

} // namespace waxwinglug::test

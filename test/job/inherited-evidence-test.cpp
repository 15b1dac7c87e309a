// Tests of ends and runs that backend servers list to a leader whose own view has no place for their tasks.
#include "job/scheduler-fixture.h"

#include <algorithm>

namespace waxwinglug::test {

// A leader that finds what an earlier one has started.
struct InheritedEvidenceTest : SchedulerTest {
    // A job whose occurrences are due every 40 ms.
    JobSpec overlapping(int stepCount = 1) const
    {
        auto spec = this->job("t", this->step(1));
        for (int number = 1; number < stepCount; ++number) {
            spec.steps.push_back(this->step(1));
            spec.steps.back().dependencies = { number - 1 };
        }
        spec.occurrences = 1000;
        spec.firstDue = spec.acceptedAt;
        spec.interval = Duration(40);
        return spec;
    }

    // The second leader loads the progress with 50 open occurrences, as many as a leader works on at once.
    void beginWithFullProgress(const JobSpec& spec)
    {
        this->clock.advance(Duration(10'000));
        this->begin(2);
        this->scheduler->addJob(spec, true);
        Json open = Json::array();
        for (int number = 0; number < 50; ++number)
            open.push_back({ { "number", number }, { "done", Json(spec.steps.size(), "0") } });
        const Json progress { { "state", "running" }, { "next", 50 }, { "open", open } };
        this->scheduler->loadProgress("t", progress.dump(), 3);
        this->scheduler->addServer(this->record("a"));
        this->scheduler->tick();
    }

    EndedRun end(int occurrence, RunEnd how, int step = 0, std::string checkpoint = "")
    {
        return { ++this->ends["a"], { "t", occurrence, step, 0 }, 1, how, std::move(checkpoint) };
    }

    Json storedProgress(std::string_view job)
    {
        for (const auto& write : this->scheduler->takeUnsavedProgress(100)) {
            if (write.job == job)
                return Json::parse(write.text);
        }
        return {};
    }

    int startsOf(const TaskId& task) const
    {
        return static_cast<int>(
            std::ranges::count_if(this->starts, [&](const auto& start) { return start.second.task == task; }));
    }

    bool isStopped(const TaskId& task) const
    {
        return std::ranges::any_of(this->stops, [&](const auto& stop) { return stop.second.task == task; });
    }

    std::uint64_t acknowledged()
    {
        this->clock.advance(Duration(200));
        this->scheduler->tick();
        return this->renewals.at("a").lastStoredEnd;
    }
};

// Guards against a task that runs again after its end was acknowledged, because its occurrence is beyond those that the
// new leader works on (review/7, TWICE).
TEST_F(InheritedEvidenceTest, endBeyondTheActiveOccurrencesCounts)
{
    this->beginWithFullProgress(this->overlapping());
    this->answerRenewal("a", {}, { this->end(55, RunEnd::Done) });
    EXPECT_EQ(this->acknowledged(), 0U) << "its effect is not stored yet";
    const auto progress = this->storedProgress("t");
    EXPECT_EQ(progress.at("next"), 56);
    EXPECT_EQ(progress.at("open").size(), 55U) << "55 is complete";
}

// Guards against a run that is stopped because its occurrence is beyond those that the new leader works on.
TEST_F(InheritedEvidenceTest, runBeyondTheActiveOccurrencesIsTakenOver)
{
    this->beginWithFullProgress(this->overlapping());
    const TaskId task { "t", 60, 0, 0 };
    this->answerRenewal("a", { { task, 1, "", 30, 0 } }, {});
    EXPECT_FALSE(this->isStopped(task));
    this->answerRenewal("a", {}, { this->end(60, RunEnd::Done) });
    EXPECT_EQ(this->startsOf(task), 0);
}

// Guards against a later step that starts before the earlier one is known to be done, or runs again.
TEST_F(InheritedEvidenceTest, laterStepsBeyondTheActiveOccurrencesCount)
{
    this->beginWithFullProgress(this->overlapping(2));
    this->answerRenewal("a", {}, { this->end(52, RunEnd::Done), this->end(52, RunEnd::Done, 1) });
    const auto progress = this->storedProgress("t");
    EXPECT_TRUE(std::ranges::none_of(progress.at("open"), [](const Json& each) { return each.at("number") == 52; }));
}

// Guards against more attempts than allowed, because failures beyond the active occurrences are dropped (BUDGET).
TEST_F(InheritedEvidenceTest, failureBeyondTheActiveOccurrencesCounts)
{
    this->beginWithFullProgress(this->overlapping());
    this->answerRenewal("a", {}, { this->end(51, RunEnd::Failed) });
    const auto open = this->storedProgress("t").at("open");
    const auto place = std::ranges::find_if(open, [](const Json& each) { return each.at("number") == 51; });
    ASSERT_NE(place, open.end());
    EXPECT_EQ(place->at("failures").at("0.0").size(), 1U);
}

// Guards against a second run of a task whose job is not due yet by the clock of the new leader (review/6).
TEST_F(InheritedEvidenceTest, endOfAnOccurrenceThatIsNotDueCounts)
{
    for (const int occurrences : { 0, 1, 3 }) {
        this->begin(2);
        auto spec = this->job("t", this->step(1));
        spec.occurrences = occurrences;
        spec.acceptedAt += Duration(3000) + std::chrono::days(1);
        spec.firstDue = spec.acceptedAt;
        spec.interval = Duration(5000);
        this->scheduler->addJob(spec, true);
        this->scheduler->addServer(this->record("a"));
        this->scheduler->tick();
        this->ends["a"] = 0;
        this->answerRenewal("a", {}, { this->end(0, RunEnd::Done) });
        EXPECT_EQ(this->acknowledged(), 0U);
        EXPECT_EQ(this->storedProgress("t").at("state"), occurrences == 3 ? "pending" : "completed");
        this->clock.advance(std::chrono::days(1) + Duration(3500));
        this->scheduler->tick();
        EXPECT_EQ(this->startsOf({ "t", 0, 0, 0 }), 0);
    }
}

// Guards against an end that is lost, and a run that is stopped, because the row of their job was not read yet.
TEST_F(InheritedEvidenceTest, endsAndRunsOfAJobThatIsNotReadYetAreKept)
{
    this->begin(2);
    this->scheduler->addServer(this->record("a"));
    this->scheduler->tick();
    this->jobsKnownAsOf = this->clock.now();
    this->clock.advance(Duration(100));
    const TaskId running { "t", 0, 0, 1 };
    const auto done = this->end(0, RunEnd::Done);
    this->answerRenewal("a", { { running, 1, "", 30, 0 } }, { done });
    EXPECT_EQ(this->acknowledged(), 0U);
    EXPECT_FALSE(this->isStopped(running));
    this->jobsKnownAsOf = this->clock.now();
    this->scheduler->addJob(this->job("t", this->step(2)), false);
    this->answerRenewal("a", { { running, 1, "", 40, 0 } }, { done });
    EXPECT_EQ(this->acknowledged(), 0U) << "its effect is not stored yet";
    this->storeAll();
    this->answerRenewal("a", { { running, 1, "", 50, 0 } }, { done });
    EXPECT_EQ(this->acknowledged(), 1U);
    EXPECT_FALSE(this->isStopped(running));
    EXPECT_EQ(this->startsOf({ "t", 0, 0, 0 }), 0);
    EXPECT_TRUE(this->scheduler->servers().at("a")->orphans.empty());
}

// Guards against ends and runs of removed jobs that hold up their server for good.
TEST_F(InheritedEvidenceTest, endsAndRunsOfAJobThatDoesNotExistAreDropped)
{
    this->begin(2);
    this->scheduler->addServer(this->record("a"));
    this->scheduler->tick();
    this->jobsKnownAsOf = this->clock.now();
    this->clock.advance(Duration(100));
    const TaskId running { "t", 0, 0, 1 };
    const auto done = this->end(0, RunEnd::Done);
    this->answerRenewal("a", { { running, 1, "", 30, 0 } }, { done });
    this->jobsKnownAsOf = this->clock.now();
    this->answerRenewal("a", { { running, 1, "", 30, 0 } }, { done });
    EXPECT_EQ(this->acknowledged(), 1U);
    EXPECT_TRUE(this->isStopped(running));
    EXPECT_TRUE(std::ranges::any_of(
        this->events, [](const auto& line) { return line.starts_with("end of a run is dropped job=t task=0.0.0"); }));
}

// Guards against a job that is failed, and a run that is stopped, because the occurrences of an earlier leader fit in
// no row beside those that are open.
TEST_F(InheritedEvidenceTest, evidenceThatFitsInNoRowIsKept)
{
    this->maxProgressBytes = 4000;
    this->beginWithFullProgress(this->overlapping());
    const auto done = this->end(400, RunEnd::Done);
    this->answerRenewal("a", { { { "t", 401, 0, 0 }, 1, "", 30, 0 } }, { done });
    EXPECT_EQ(this->acknowledged(), 0U);
    EXPECT_FALSE(this->isStopped({ "t", 401, 0, 0 }));
    EXPECT_TRUE(std::ranges::any_of(this->events, [](const auto& line) {
        return line.starts_with("end of a run is kept until its task has a place job=t task=400.0.0");
    }));
    this->storeAll();
    EXPECT_NE(this->scheduler->jobStatus("t"), JobStatus::Failed);
}

// Guards against a task of no job, and one of no step, that a server lists: it is neither kept nor does it add work.
TEST_F(InheritedEvidenceTest, tasksThatTheJobDoesNotHaveAreDropped)
{
    this->beginWithFullProgress(this->overlapping());
    this->answerRenewal(
        "a", {}, { this->end(1000, RunEnd::Done), this->end(-1, RunEnd::Done), this->end(3, RunEnd::Done, 7) });
    EXPECT_EQ(this->acknowledged(), 3U);
    EXPECT_EQ(this->scheduler->jobs().all().at("t")->nextOccurrence, 50);
}

// Guards against a leader that starts more than the next one can take over while nothing is stored: the occurrences
// that are open in the store, and all that were activated since, stay within the limit.
TEST_F(InheritedEvidenceTest, occurrencesThatAreNotStoredAsCompleteCountAsActive)
{
    const auto spec = this->overlapping();
    this->addServer("a");
    this->scheduler->addJob(spec, false);
    int last = 0;
    for (int round = 0; round < 200; ++round) {
        this->scheduler->tick();
        this->confirmStarts();
        std::vector<EndedRun> done;
        for (const auto& [server, order] : std::exchange(this->starts, {})) {
            last = std::max(last, order.task.occurrence);
            done.push_back(this->ended("a", order, RunEnd::Done));
        }
        this->clock.advance(Duration(40));
        this->answerRenewal("a", {}, done);
    }
    EXPECT_EQ(last, 49);
    this->storeAll();
    this->scheduler->tick();
    EXPECT_FALSE(this->starts.empty()) << "what is stored makes room";
}

} // namespace waxwinglug::test

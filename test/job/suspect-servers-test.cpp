// Tests of the scheduler's dealings with backend servers that fail what they start.
#include "job/scheduler-fixture.h"

#include <algorithm>

namespace waxwinglug::test {

// Servers that may be suspected of failing what they start. A job is steered to a server by the label of its name.
struct SuspectTest : SchedulerTest {
    int jobs = 0;
    std::map<std::string, std::vector<RunningTask>> lasting; // runs that each server lists throughout

    void addLabelledServer(const std::string& id)
    {
        auto server = this->record(id);
        server.labels = { id };
        this->scheduler->addServer(server);
        this->scheduler->tick();
        this->answerRenewal(id, {}, {});
        this->scheduler->serverUseSaved(this->scheduler->takeServerUseChanges(10));
    }

    // Submits a job of one task, and returns the server that it starts on at once, or nothing.
    std::string startJob(const std::string& label = "", bool longRunning = false, Duration estimate = Duration(300))
    {
        auto spec = this->step(1);
        spec.requiredLabel = label;
        spec.longRunning = longRunning;
        spec.estimatedDuration = estimate;
        this->starts.clear();
        this->scheduler->addJob(this->job("job-" + std::to_string(this->jobs++), spec), false);
        this->scheduler->tick();
        this->confirmStarts();
        return this->starts.empty() ? "" : this->starts.front().first;
    }

    void endJob(RunEnd end)
    {
        const auto [server, order] = this->starts.front();
        this->clock.advance(Duration(20));
        this->starts.clear();
        this->answerRenewal(server, this->lasting[server], { this->ended(server, order, end) });
        this->confirmStarts();
    }

    // A job whose task fails on the server, and again where it is tried a second time.
    void failJob(const std::string& server)
    {
        ASSERT_EQ(this->startJob(server), server);
        const auto job = "job-" + std::to_string(this->jobs - 1);
        while (!this->starts.empty())
            this->endJob(RunEnd::Failed);
        this->scheduler->cancelJob(job);
    }

    // Lets all servers answer while time passes. Returns when the first task has started, or nothing.
    std::optional<Duration> waitForStart(const std::vector<std::string>& servers, Duration maxTime)
    {
        constexpr Duration interval { 100 };
        for (Duration waited { 0 }; waited <= maxTime; waited += interval) {
            if (!this->starts.empty())
                return waited;
            this->clock.advance(interval);
            for (const auto& server : servers)
                this->answerRenewal(server, this->lasting[server], {});
        }
        return std::nullopt;
    }
};

class SuspectBesideLongTask : public SuspectTest, public testing::WithParamInterface<bool> { };

// Guards against a server that gets no task again after failures, because what runs on it takes long or never ends
// (review/8, LOST).
TEST_P(SuspectBesideLongTask, serverIsProbed)
{
    this->addLabelledServer("a");
    this->addLabelledServer("b");
    const bool longRunning = GetParam();
    ASSERT_EQ(this->startJob("a", longRunning, Duration(100'000)), "a");
    const auto& order = this->starts.front().second;
    this->lasting["a"] = { { order.task, order.run, "", 1, 0 } };
    for (int number = 0; number < 3; ++number)
        this->failJob("a");
    this->clock.advance(Duration(2000));
    this->answerRenewal("a", this->lasting["a"], {});
    ASSERT_EQ(this->startJob("a"), "a");
    const auto probe = this->starts;
    EXPECT_EQ(this->startJob("a"), "") << "one task probes the server";
    this->starts = probe;
    this->endJob(RunEnd::Done);
    EXPECT_EQ(this->starts.size(), 1U) << "the job that waited";
    EXPECT_EQ(this->startJob("a"), "a");
}

INSTANTIATE_TEST_SUITE_P(LongRunningOrLong, SuspectBesideLongTask, testing::Bool());

// Guards against a service that is shut to all callers because jobs fail wherever they run.
TEST_F(SuspectTest, jobsThatFailEverywhereEjectFewServers)
{
    std::vector<std::string> servers;
    for (int number = 0; number < 10; ++number) {
        servers.push_back("s" + std::to_string(number));
        this->addLabelledServer(servers.back());
    }
    for (int round = 0; round < 6; ++round) {
        for (const auto& server : servers) {
            if (this->startJob(server) == server) {
                while (!this->starts.empty())
                    this->endJob(RunEnd::Failed);
            }
            this->scheduler->cancelJob("job-" + std::to_string(this->jobs - 1));
        }
    }
    int started = 0;
    for (const auto& server : servers)
        started += this->startJob(server) == server;
    EXPECT_GE(started, 7);
}

// Guards against a job that waits for the end of an ejection, however long, when only the ejected server has room.
TEST_F(SuspectTest, jobThatFitsOnlyOnASuspectServerStartsInTime)
{
    this->addLabelledServer("a");
    this->addLabelledServer("b");
    for (int number = 0; number < 3; ++number)
        this->failJob("a");
    for (const auto ejection : { Duration(2000), Duration(4000), Duration(8000) }) {
        this->clock.advance(ejection);
        this->answerRenewal("a", {}, {});
        this->failJob("a");
    }
    ASSERT_EQ(this->startJob("a"), "") << "the server is ejected for 16 s";
    EXPECT_EQ(this->startJob(), "b") << "other jobs do not wait";
    const auto& other = this->starts.front().second;
    this->lasting["b"] = { { other.task, other.run, "", 1, 0 } };
    this->starts.clear();
    const auto waited = this->waitForStart({ "a", "b" }, Duration(3000));
    ASSERT_TRUE(waited);
    EXPECT_GE(*waited, Duration(1500)) << "a server that fails tasks is the last resort";
    EXPECT_EQ(this->starts.front().first, "a");
}

// Guards against tasks that go on failing on a server while others have room.
TEST_F(SuspectTest, serverThatFailsTasksIsAvoided)
{
    this->addLabelledServer("a");
    this->addLabelledServer("b");
    for (int number = 0; number < 3; ++number)
        this->failJob("a");
    for (int number = 0; number < 4; ++number)
        EXPECT_EQ(this->startJob(), "b");
    this->starts.clear();
    EXPECT_EQ(this->startJob("a"), "");
}

// Guards against an operator who cannot see why jobs wait and which servers get no tasks.
TEST_F(SuspectTest, suspectServersAndJobsThatWaitForThemAreLogged)
{
    this->addLabelledServer("a");
    this->addLabelledServer("b");
    for (int number = 0; number < 3; ++number)
        this->failJob("a");
    this->startJob("a");
    this->clock.advance(Duration(1100));
    this->scheduler->tick();
    const auto has = [this](const std::string& text) {
        return std::ranges::any_of(
            this->events, [&](const auto& line) { return line.find(text) != std::string::npos; });
    };
    EXPECT_TRUE(has("backend server gets no tasks for a while server=a"));
    EXPECT_TRUE(has("reason=servers with enough free capacity are suspected of failing tasks"));
    EXPECT_TRUE(has("suspected of failing them service=press count=1 servers=a"));
}

} // namespace waxwinglug::test

// Process tests of the guarantees of the request path under failures: killed and paused entry VMs, platform outages,
// lost answers, unresponsive and draining backend servers, and shutdown under load.
#include "daemon/fleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <future>
#include <thread>

namespace waxwinglug::test {
namespace {

    // Returns the outcome header of a response.
    std::string outcome(const io::HttpResponse& answer)
    {
        return std::string(io::findHeader(answer.headers, "Waxwing-Outcome"));
    }

    class FailureTest : public ::testing::Test {
    protected:
        void start(int entryCount)
        {
            for (int i = 1; i <= entryCount; ++i)
                this->fleet.addEntry(fmt::format("e{}", i));
            this->fleet.apply();
            for (int i = 1; i <= entryCount; ++i)
                this->waitUntilServing(fmt::format("e{}", i));
        }

        void waitUntilServing(const std::string& name)
        {
            waitUntil(name + " serves", [&] { return this->fleet.get(name, this->fleet.northKey).status == 200; });
        }

        io::HttpResponse postWithKey(
            const std::string& entry, const std::string& body, const std::string& idempotencyKey)
        {
            return this->fleet.post(entry, this->fleet.northKey, body, { { "Idempotency-Key", idempotencyKey } });
        }

        Fleet fleet { 2, "100" };
    };

    TEST_F(FailureTest, duplicateAtAnotherEntryVmRunsOnce)
    {
        // Guards against a second run when the balancer routes a duplicate of a request to another entry VM.
        this->start(2);
        const auto first = this->postWithKey("e1", "sheet", "order-1");
        EXPECT_EQ(first.status, 200) << first.body;
        const auto second = this->postWithKey("e2", "sheet", "order-1");
        EXPECT_NE(outcome(second), "not-run") << second.body;
        EXPECT_EQ(this->fleet.runCount("sheet"), 1);
        const auto third = this->postWithKey("e1", "sheet", "order-1");
        EXPECT_EQ(third.status, 200) << third.body;
        EXPECT_EQ(third.body, first.body);
        EXPECT_EQ(this->fleet.runCount("sheet"), 1);
    }

    TEST_F(FailureTest, duplicateAfterAnEntryVmCrashRunsAtMostOnce)
    {
        this->start(2);
        auto first = std::async(std::launch::async, [this] { return this->postWithKey("e1", "sheet", "order-1"); });
        waitUntil("the request runs", [this] { return this->fleet.runCount("sheet") == 1; });
        this->fleet.entry("e1").signal(SIGKILL);
        EXPECT_EQ(first.get().status, 0);
        const auto second = this->postWithKey("e2", "sheet", "order-1");
        EXPECT_EQ(outcome(second), "unknown") << second.body;
        EXPECT_EQ(this->fleet.runCount("sheet"), 1);
    }

    TEST_F(FailureTest, claimWithALostAnswerRunsAtMostOnce)
    {
        // Guards against a second run when the answer to a claim is lost, whether or not the claim was stored.
        this->start(2);
        this->fleet.setPlatformFaults(R"({"loseCommitAnswers":true})");
        const auto first = this->postWithKey("e1", "sheet", "order-1");
        this->fleet.setPlatformFaults("{}");
        const auto second = this->postWithKey("e2", "sheet", "order-1");
        const int runCount = this->fleet.runCount("sheet");
        EXPECT_LE(runCount, 1);
        if (runCount == 1) {
            EXPECT_NE(outcome(second), "not-run") << first.body << second.body;
        }
    }

    TEST_F(FailureTest, requestsWithoutAKeyAreServedDuringAPlatformOutage)
    {
        this->start(1);
        this->fleet.setPlatformFaults(R"({"down":true})");
        for (int i = 0; i < 10; ++i) {
            const auto answer = this->fleet.post("e1", this->fleet.northKey, fmt::format("sheet-{}", i));
            EXPECT_EQ(answer.status, 200) << answer.body;
        }
        const auto claimed = this->postWithKey("e1", "claimed", "order-1");
        EXPECT_EQ(claimed.status, 503) << claimed.body;
        EXPECT_EQ(outcome(claimed), "not-run");
        EXPECT_EQ(this->fleet.runCount("claimed"), 0);
    }

    TEST_F(FailureTest, unresponsiveBackendServerYieldsACorrectOutcome)
    {
        // Guards against retries of non-idempotent requests, and against idempotent requests that are not retried.
        this->start(1);
        this->fleet.setBackendMode(0, "silent");
        for (int i = 0; i < 4; ++i) {
            const auto body = fmt::format("sheet-{}", i);
            const auto answer = this->fleet.post("e1", this->fleet.northKey, body);
            EXPECT_TRUE(answer.status == 200 || outcome(answer) == "unknown") << answer.body;
            EXPECT_EQ(this->fleet.runCount(body), 1);
        }
        const auto answer = this->fleet.get("e1", this->fleet.northKey);
        EXPECT_EQ(answer.status, 200) << answer.body;
    }

    TEST_F(FailureTest, drainingBackendServerFailsNoRequest)
    {
        this->start(1);
        this->fleet.setBackendMode(0, "draining");
        for (int i = 0; i < 10; ++i) {
            const auto answer = this->fleet.post("e1", this->fleet.northKey, fmt::format("sheet-{}", i));
            EXPECT_EQ(answer.status, 200) << answer.body;
        }
    }

    TEST_F(FailureTest, teamLimitHoldsAcrossEntryVms)
    {
        // Guards against a limit that is enforced per entry VM rather than across all of them. With a single backend
        // server, that server counts all running requests.
        Fleet single(1, "30");
        single.addEntry("e1");
        single.addEntry("e2");
        single.apply();
        waitUntil("e1 serves", [&] { return single.get("e1", single.northKey).status == 200; });
        waitUntil("e2 serves", [&] { return single.get("e2", single.northKey).status == 200; });
        constexpr int callerCount = 40;
        std::vector<std::thread> callers;
        callers.reserve(callerCount);
        std::atomic<int> answeredCount = 0;
        for (int i = 0; i < callerCount; ++i) {
            callers.emplace_back([&single, &answeredCount, i] {
                const auto answer = single.post(i % 2 == 0 ? "e1" : "e2", single.northKey, fmt::format("sheet-{}", i));
                answeredCount += answer.status == 200 ? 1 : 0;
            });
        }
        for (auto& caller : callers)
            caller.join();
        EXPECT_EQ(answeredCount, callerCount);
        EXPECT_LE(single.backendStats(0).at("mostRunning").get<int>(), 6);
    }

    TEST_F(FailureTest, shutdownUnderLoadAnswersEveryRequest)
    {
        this->start(1);
        constexpr int callerCount = 20;
        std::vector<std::future<io::HttpResponse>> answers;
        answers.reserve(callerCount);
        for (int i = 0; i < callerCount; ++i) {
            answers.push_back(std::async(std::launch::async,
                [this, i] { return this->fleet.post("e1", this->fleet.northKey, fmt::format("sheet-{}", i)); }));
        }
        waitUntil(
            "requests run", [this] { return this->fleet.runCount("sheet-0") + this->fleet.runCount("sheet-1") > 0; });
        this->fleet.entry("e1").signal(SIGTERM);
        for (auto& answer : answers)
            EXPECT_EQ(answer.get().status, 200);
        EXPECT_EQ(this->fleet.entry("e1").waitForExit(), 0);
    }

    TEST_F(FailureTest, acceptanceWaitsForAPausedEntryVm)
    {
        // Guards against accepting a version while an entry VM still accepts the key that the version withdraws.
        this->start(2);
        this->fleet.entry("e2").signal(SIGSTOP);
        auto withdrawalExitCode = std::async(std::launch::async, [this] {
            return this->fleet.runWaxwingctl({ "key", "withdraw", "north", "a" });
        });
        waitUntil("e1 has prepared the proposal",
            [this] { return this->fleet.rolloutStatus().find("waiting for e2") != std::string::npos; });
        EXPECT_NE(withdrawalExitCode.wait_for(std::chrono::seconds(0)), std::future_status::ready);
        this->fleet.entry("e2").signal(SIGCONT);
        EXPECT_EQ(withdrawalExitCode.get(), 0);
        EXPECT_EQ(this->fleet.get("e1", this->fleet.northKey).status, 401);
        EXPECT_EQ(this->fleet.get("e2", this->fleet.northKey).status, 401);
    }

    TEST_F(FailureTest, pausedEntryVmOfAnExcludedDataCentreRejectsAWithdrawnKey)
    {
        // Guards against a paused process that resumes and accepts a key that was withdrawn during the pause.
        this->start(1);
        this->fleet.addEntry("e2", "dc2");
        waitUntil("e2 has the configuration", [this] { return this->fleet.get("e2", "wrong").status == 401; });
        this->fleet.entry("e2").signal(SIGSTOP);
        // The version is accepted without e2; the command reports that it is not yet active there.
        EXPECT_EQ(this->fleet.runWaxwingctl({ "--exclude", "dc2", "--wait", "3", "key", "withdraw", "north", "a" }), 4);
        ASSERT_NE(this->fleet.lastOutput.find("is accepted"), std::string::npos) << this->fleet.lastOutput;
        this->fleet.entry("e2").signal(SIGCONT);
        EXPECT_EQ(this->fleet.get("e2", this->fleet.northKey).status, 401);
    }

    TEST_F(FailureTest, proposalWithAnOutdatedBaseIsRejected)
    {
        this->start(1);
        this->fleet.apply("[team south]\nshare = 10\nlimit = 1\nservices = quoting\n");
        const int code = this->fleet.runWaxwingctl({ "apply", "--base", "1", this->fleet.writeDocument() });
        EXPECT_EQ(code, 5) << this->fleet.lastOutput;
    }

} // namespace
} // namespace waxwinglug::test

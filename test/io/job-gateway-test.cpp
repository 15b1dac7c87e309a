// The answers to callers about jobs, over a simulated store: lost and refused calls, and rows that are old or of
// another form.
#include "io/process/job-gateway.h"

#include "io/process/tables.h"
#include "job/ended-job.h"
#include "job/leadership.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <charconv>

namespace waxwinglug::io {
namespace {

    // The row store and the event loop of the gateway. Time passes only while run() delivers answers.
    struct JobGatewayTest : testing::Test {
        struct Event {
            TimePoint at;
            std::function<void()> run;
        };

        ManualClock clock;
        std::vector<Event> events;
        std::map<RowName, StoredRow> rows;
        std::uint64_t version = 1;
        StoreTime storeClockStart = 50'000;
        std::uint64_t knownVersion = 0; // of the VM that answers
        bool answersCarryTime = true;
        int staleAnswers = 0; // reads that show an empty store of an earlier version
        Duration latency { 5 };
        bool isUnreachable = false; // no call is carried out or answered
        int lostCommitAnswers = 0; // commits that are carried out and not answered
        int lostCommits = 0; // commits that are neither carried out nor answered
        int refusedCommits = 0;
        bool rejectsCommits = false;
        int callCount = 0;
        FleetPlatform platform;
        Metrics metrics;
        std::shared_ptr<FleetConfig> config = std::make_shared<FleetConfig>();
        std::optional<PendingCounts> leaderCounts;
        std::map<std::string, std::string, std::less<>> answerFields; // of the log line of the latest answer
        std::unique_ptr<JobGateway> gateway;

        void SetUp() override
        {
            QueueSpec queue;
            queue.name = "quotes";
            queue.host = "h";
            queue.pathPrefix = "/q/";
            this->config->version = 1;
            this->config->queues = { queue };
            this->config->teams = { { "team", { "key" }, 1, {} } };
            this->platform.formats.keyHeader = "Key";
            this->platform.formats.deadlineHeader = "Deadline-Ms";
            this->platform.formats.decodeJob = [](std::string_view) {
                JobSpec job;
                job.steps.emplace_back();
                return job;
            };
            this->platform.formats.encodeJobState = [](JobStatus status) { return std::string(jobStatusName(status)); };
            this->platform.formats.encodeWaitingCount = [](int waiting) { return std::to_string(waiting); };
            this->platform.store.commit = [this](RowTransaction transaction, Duration timeout, auto handler) {
                this->commit(std::move(transaction), timeout, std::move(handler));
            };
            this->platform.store.list = [this](RowName from, std::string end, PageLimits limits, auto handler) {
                this->list(std::move(from), std::move(end), limits.timeout, std::move(handler));
            };
            JobGatewayHooks hooks;
            hooks.activeConfig = [this] { return this->config; };
            hooks.configAge = [] { return Duration(70); };
            hooks.pendingJobs = [this] { return this->leaderCounts; };
            hooks.isStoreAvailable = [] { return true; };
            hooks.knownStoreVersion = [this] { return this->knownVersion; };
            hooks.runLater = [this](Duration delay, std::function<void()> run) { this->after(delay, std::move(run)); };
            hooks.log = [this](std::string_view, std::initializer_list<LogField> fields) {
                this->answerFields.clear();
                for (const auto& field : fields)
                    this->answerFields.emplace(field.key, field.value);
            };
            this->gateway
                = std::make_unique<JobGateway>(this->platform, this->clock.clock(), this->metrics, std::move(hooks));
        }

        void after(Duration delay, std::function<void()> run)
        {
            this->events.push_back({ this->clock.now() + delay, std::move(run) });
        }

        StoreTime storeTime() const { return this->storeClockStart + this->clock.now().time_since_epoch().count(); }

        void set(const RowName& name, std::string value)
        {
            this->rows[name] = { name, std::move(value), ++this->version };
        }

        TransactionResult apply(const RowTransaction& transaction)
        {
            TransactionResult result;
            for (const auto& condition : transaction.conditions) {
                const auto row = this->rows.find(condition.name);
                if ((row == this->rows.end() ? 0 : row->second.version) != condition.version)
                    result.status = CommitStatus::Conflict;
            }
            if (result.status == CommitStatus::Conflict)
                return result;
            for (const auto& write : transaction.writes)
                this->set(write.name, write.value);
            result.status = CommitStatus::Committed;
            result.version = this->version;
            return result;
        }

        void commit(RowTransaction transaction, Duration timeout, std::function<void(TransactionResult)> handler)
        {
            ++this->callCount;
            if (this->rejectsCommits)
                return this->after(this->latency, [handler] { handler({ CommitStatus::Rejected, 0, {} }); });
            if (this->isUnreachable || this->lostCommits > 0) {
                --this->lostCommits;
                return this->after(timeout, [handler] { handler({ CommitStatus::Unknown, 0, {} }); });
            }
            if (this->refusedCommits > 0) {
                --this->refusedCommits;
                return this->after(this->latency, [handler] { handler({ CommitStatus::Unavailable, 0, {} }); });
            }
            const auto result = this->apply(transaction);
            if (this->lostCommitAnswers > 0) {
                --this->lostCommitAnswers;
                return this->after(timeout, [handler] { handler({ CommitStatus::Unknown, 0, {} }); });
            }
            this->after(this->latency, [handler, result] { handler(result); });
        }

        void list(RowName from, std::string end, Duration timeout, std::function<void(std::optional<RowPage>)> handler)
        {
            ++this->callCount;
            if (this->isUnreachable)
                return this->after(timeout, [handler] { handler(std::nullopt); });
            RowPage page;
            if (this->staleAnswers > 0) {
                --this->staleAnswers;
                page.version = 1;
                return this->after(this->latency, [handler, page] { handler(page); });
            }
            for (const auto& [name, row] : this->rows) {
                if (name.table == from.table && name.part == from.part && name.key >= from.key && name.key < end)
                    page.rows.push_back(row);
            }
            page.version = this->version;
            if (this->answersCarryTime)
                page.time = this->storeTime();
            this->after(this->latency, [handler, page] { handler(page); });
        }

        // Runs events in the order of their time until there are none.
        void run()
        {
            while (!this->events.empty()) {
                const auto next = std::ranges::min_element(this->events, {}, &Event::at);
                const auto event = std::move(*next);
                this->events.erase(next);
                this->clock.advance(std::max(event.at - this->clock.now(), Duration(0)));
                event.run();
            }
        }

        HttpResponse request(std::string method, std::string target, Duration deadline = Duration(3000))
        {
            std::vector<HttpResponse> answers;
            this->gateway->handle(
                { std::move(method), std::move(target),
                    { { "Host", "h" }, { "Key", "key" }, { "Deadline-Ms", std::to_string(deadline.count()) } }, "{}" },
                [&answers](HttpResponse response) { answers.push_back(std::move(response)); });
            this->run();
            EXPECT_EQ(answers.size(), 1U);
            return answers.empty() ? HttpResponse {} : answers.front();
        }

        int submit(const std::string& job) { return this->request("POST", "/q/" + job).status; }
        bool isStored(const std::string& job) const { return this->rows.contains(tables::jobRow(job)); }
        void setProgress(const std::string& job, std::string value)
        {
            this->set({ tables::progress, Leadership::part, job }, std::move(value));
        }
        void setSummary(std::string value)
        {
            this->set({ tables::summary, Leadership::part, tables::summaryKey }, std::move(value));
        }
        // A leader writes that it knows this many pending jobs as of a moment.
        void writeSummary(int pending, StoreTime asOf)
        {
            this->setSummary(encodePendingSummary({ { { "quotes", pending } }, asOf, 1 }));
        }
    };

    bool hasRetryAfter(const HttpResponse& response) { return !findHeader(response.headers, "Retry-After").empty(); }

} // namespace

// Guards against a refusal that does not say how old the configuration is that it follows from.
TEST_F(JobGatewayTest, refusalsByTheConfigurationLogItsAge)
{
    EXPECT_EQ(this->request("GET", "/other/").status, 404);
    EXPECT_EQ(this->answerFields["source"], "configuration");
    EXPECT_EQ(this->answerFields["age_ms"], "70");
    this->config->teams.clear();
    EXPECT_EQ(this->submit("a"), 401);
    EXPECT_EQ(this->answerFields["age_ms"], "70");
    this->config->queues[0].allowsAnonymous = true;
    EXPECT_EQ(this->submit("a"), 200);
    EXPECT_EQ(this->answerFields["source"], "store");
    EXPECT_EQ(this->answerFields["age_ms"], "");
}

// Guards against a job that is stored twice or refused on its second submission.
TEST_F(JobGatewayTest, aRepeatedSubmissionIsConfirmedAndStoredOnce)
{
    EXPECT_EQ(this->submit("a"), 200);
    const auto stored = this->rows.at(tables::jobRow("a")).version;
    EXPECT_EQ(this->submit("a"), 200);
    EXPECT_EQ(this->rows.at(tables::jobRow("a")).version, stored);
}

// Guards against a job that is said not to be accepted and runs, after its write was carried out without an answer.
TEST_F(JobGatewayTest, aSubmissionWhoseAnswerWasLostIsReadBack)
{
    this->lostCommitAnswers = 1;
    EXPECT_EQ(this->submit("a"), 200);
    EXPECT_TRUE(this->isStored("a"));
}

// Guards against a job that is confirmed without being stored, after its write was lost.
TEST_F(JobGatewayTest, aSubmissionThatWasLostIsWrittenAgain)
{
    this->lostCommits = 1;
    EXPECT_EQ(this->submit("a"), 200);
    EXPECT_TRUE(this->isStored("a"));
}

// Guards against a refusal of a job whose write may still be carried out.
TEST_F(JobGatewayTest, aSubmissionThatMayBeStoredIsNeverRefused)
{
    this->isUnreachable = true;
    EXPECT_EQ(this->submit("a"), 504);
    this->isUnreachable = false;
    this->lostCommits = 1;
    this->refusedCommits = 1000;
    EXPECT_EQ(this->submit("b"), 504);
}

// Guards against a job that is refused and stored.
TEST_F(JobGatewayTest, aRefusedSubmissionIsNotStored)
{
    this->refusedCommits = 1000;
    const auto response = this->request("POST", "/q/a");
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(hasRetryAfter(response));
    EXPECT_FALSE(this->isStored("a"));
}

// Guards against a state that is shown for a job nobody submitted, and against 410 for a job that is stored.
TEST_F(JobGatewayTest, aJobWithoutProgressIsKnownByItsOwnRow)
{
    EXPECT_EQ(this->request("GET", "/q/a").status, 410);
    EXPECT_EQ(this->submit("a"), 200);
    EXPECT_EQ(this->request("GET", "/q/a").body, "running");
    EXPECT_EQ(this->request("DELETE", "/q/a").status, 200);
    EXPECT_EQ(this->request("GET", "/q/a").body, "cancelled");
}

// Guards against a cancellation that hides the end of its job.
TEST_F(JobGatewayTest, theProgressOfAJobCountsBeforeItsCancellation)
{
    this->submit("a");
    this->setProgress("a", R"({"state":"completed"})");
    EXPECT_EQ(this->request("DELETE", "/q/a").status, 200);
    EXPECT_EQ(this->request("GET", "/q/a").body, "completed");
}

// Guards against a row of another form that ends the process or is shown as a state that the caller cannot read.
TEST_F(JobGatewayTest, progressOfAnotherFormIsNotShown)
{
    this->submit("a");
    for (const auto* value : { "", "[]", R"({"state":7})", R"({"state":"paused"})" }) {
        this->setProgress("a", value);
        const auto response = this->request("GET", "/q/a");
        EXPECT_EQ(response.status, 503) << value;
        EXPECT_TRUE(hasRetryAfter(response)) << value;
    }
}

// Guards against 410 or a state for a job that the VM could not read.
TEST_F(JobGatewayTest, aStateThatCannotBeReadIsRefused)
{
    this->submit("a");
    this->isUnreachable = true;
    const auto response = this->request("GET", "/q/a");
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(hasRetryAfter(response));
}

// Guards against 410 for an accepted job, by a read that shows an earlier state of the store.
TEST_F(JobGatewayTest, staleAnswersOfTheStoreAreReadAgain)
{
    this->submit("a");
    this->knownVersion = this->version;
    this->staleAnswers = 2;
    EXPECT_EQ(this->request("GET", "/q/a").status, 200);
    this->staleAnswers = 2;
    EXPECT_EQ(this->request("DELETE", "/q/a").status, 200);
    this->staleAnswers = 1000;
    EXPECT_EQ(this->request("GET", "/q/a").status, 503);
    EXPECT_EQ(this->request("GET", "/q/").status, 503);
}

// Guards against a cancellation that is confirmed without being stored.
TEST_F(JobGatewayTest, aCancellationIsConfirmedOnceItIsStored)
{
    EXPECT_EQ(this->request("DELETE", "/q/a").status, 410);
    this->submit("a");
    this->lostCommits = 1;
    EXPECT_EQ(this->request("DELETE", "/q/a").status, 200);
    EXPECT_TRUE(this->rows.contains(tables::cancelRow("a")));
    this->isUnreachable = true;
    EXPECT_EQ(this->request("DELETE", "/q/a").status, 504);
}

// Guards against a count of the leader's memory whose age is not logged.
TEST_F(JobGatewayTest, theLeaderAnswersFromMemory)
{
    this->leaderCounts = { { { "quotes", 7 } }, Duration(120) };
    EXPECT_EQ(this->request("GET", "/q/").body, "7");
    EXPECT_EQ(this->callCount, 0);
    EXPECT_EQ(this->answerFields["age_ms"], "120");
    EXPECT_EQ(this->answerFields["source"], "memory of the leader");
    this->leaderCounts = PendingCounts {};
    EXPECT_EQ(this->request("GET", "/q/").body, "0");
}

// Guards against an answer from the stored summary whose age is not logged or leaves out the time of the call.
TEST_F(JobGatewayTest, otherVmsAnswerFromTheSummaryAndLogItsAge)
{
    this->writeSummary(5, this->storeTime() - 300);
    EXPECT_EQ(this->request("GET", "/q/").body, "5");
    EXPECT_EQ(this->answerFields["age_ms"], "305");
    EXPECT_EQ(this->answerFields["source"], "stored summary");
}

// Guards against the last count of a lost leader that is told as current; two leaders may be lost in a row, and the
// jobs accepted since then wait unseen.
TEST_F(JobGatewayTest, theSummaryOfALostLeaderIsRefusedOnceItIsOld)
{
    this->writeSummary(0, this->storeTime());
    this->clock.advance(Duration(1900));
    EXPECT_EQ(this->request("GET", "/q/").body, "0");
    this->clock.advance(Duration(5000));
    for (int job = 0; job < 39; ++job)
        this->submit("j" + std::to_string(job));
    const auto calls = this->callCount;
    const auto askedAt = this->clock.now();
    const auto response = this->request("GET", "/q/");
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(hasRetryAfter(response));
    EXPECT_TRUE(response.body.empty());
    // Nobody is about to write a newer one, so the caller does not wait.
    EXPECT_EQ(this->callCount, calls + 1);
    EXPECT_LE(this->clock.now() - askedAt, this->latency);
    this->clock.advance(Duration(4000));
    EXPECT_EQ(this->request("GET", "/q/").status, 503);
    this->writeSummary(39, this->storeTime() - 100);
    EXPECT_EQ(this->request("GET", "/q/").body, "39");
}

// Guards against an old count that a leader has just written because its copy of the jobs is behind.
TEST_F(JobGatewayTest, aNewSummaryOfALeaderThatIsBehindIsRefused)
{
    this->writeSummary(1, this->storeTime() - 9000);
    EXPECT_EQ(this->request("GET", "/q/").status, 503);
}

// Guards against a refusal although the leader is about to write the next summary.
TEST_F(JobGatewayTest, aSummaryThatIsALittleTooOldIsReadAgain)
{
    this->writeSummary(1, this->storeTime() - 2100);
    this->after(Duration(400), [this] { this->writeSummary(2, this->storeTime()); });
    EXPECT_EQ(this->request("GET", "/q/").body, "2");
    this->writeSummary(1, this->storeTime() - 2100);
    EXPECT_EQ(this->request("GET", "/q/").status, 503);
    EXPECT_EQ(this->request("GET", "/q/", Duration(300)).status, 503);
}

// Guards against a summary that becomes too old on its way from a slow store.
TEST_F(JobGatewayTest, theTimeOfTheCallCounts)
{
    this->writeSummary(1, this->storeTime() - 1700);
    this->latency = Duration(600);
    EXPECT_EQ(this->request("GET", "/q/").status, 503);
}

// Guards against a count whose age is computed with another clock: the store's clock was set back, or is not known.
TEST_F(JobGatewayTest, aSummaryOfUnknownAgeIsRefused)
{
    EXPECT_EQ(this->request("GET", "/q/").status, 503);
    this->writeSummary(1, this->storeTime() + 1000);
    EXPECT_EQ(this->request("GET", "/q/").status, 503);
    this->writeSummary(1, this->storeTime());
    this->answersCarryTime = false;
    EXPECT_EQ(this->request("GET", "/q/").status, 503);
}

// Guards against a row of another form that ends the process or is read as zero pending jobs.
TEST_F(JobGatewayTest, aSummaryOfAnotherFormIsRefused)
{
    for (const auto* value : { "", "[]", "{}", R"({"quotes":3})", R"({"pending":{"quotes":"x"},"as_of":1,"fence":1})",
             R"({"pending":3,"as_of":50000,"fence":1})" }) {
        this->setSummary(value);
        EXPECT_EQ(this->request("GET", "/q/").status, 503) << value;
    }
}

// Guards against wrong answers about a job whose row was replaced after its end: with its progress row it is answered
// as before, and it stays known without one.
TEST_F(JobGatewayTest, aJobWhoseRowWasReplacedIsStillKnown)
{
    this->set(tables::jobRow("a"), encodeEndedJob(JobStatus::Failed));
    const auto rowVersion = this->rows.at(tables::jobRow("a")).version;
    EXPECT_EQ(this->request("GET", "/q/a").body, "failed");
    EXPECT_EQ(this->submit("a"), 200);
    EXPECT_EQ(this->request("DELETE", "/q/a").status, 200);
    EXPECT_EQ(this->request("GET", "/q/a").body, "failed");
    EXPECT_EQ(this->rows.at(tables::jobRow("a")).version, rowVersion);
    this->setProgress("a", R"({"state":"failed","next":1,"open":[]})");
    EXPECT_EQ(this->request("GET", "/q/a").body, "failed");
}

// Guards against a job that no row can hold, and against a write that is repeated until the deadline although the store
// rejects it for good. Both are refused at once, with a status that says that the same job is never accepted.
TEST_F(JobGatewayTest, jobThatTheStoreWouldRejectIsRefusedAtOnce)
{
    this->platform.formats.decodeJob = [](std::string_view) {
        JobSpec job;
        job.steps.emplace_back();
        job.command = std::string(defaultMaxRowBytes, 'x');
        return job;
    };
    EXPECT_EQ(this->request("POST", "/q/wide").status, 400);
    EXPECT_EQ(this->callCount, 0);
    this->platform.formats.decodeJob = [](std::string_view) {
        JobSpec job;
        job.steps.emplace_back();
        return job;
    };
    this->rejectsCommits = true;
    EXPECT_EQ(this->request("POST", "/q/odd").status, 400);
    EXPECT_EQ(this->callCount, 1);
}

} // namespace waxwinglug::io

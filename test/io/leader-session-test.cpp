// What a leader tells and stores about pending jobs, and until when, over a simulated store.
#include "io/process/leader-session.h"

#include "job/ended-job.h"
#include "job/server-use.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <random>

namespace waxwinglug::io {
namespace {

    constexpr std::chrono::seconds testTimeout { 20 };

    // A leader without backend servers. Its timers run in real time; `skipped` is added to its clock.
    struct LeaderSessionTest : testing::Test {
        boost::asio::io_context context;
        Duration skipped { 0 };
        Clock clock { [this] { return systemClock().now() + this->skipped; }, systemClock().wallNow };
        AsyncHttpClient client { context, clock };
        Random random { 1 };
        std::map<RowName, StoredRow> rows;
        std::uint64_t version = 1;
        std::vector<RowTransaction> transactions;
        std::string silentServer; // answers no renewal
        std::string silentTable; // follow calls and lists of this table get no answer
        int jobFeedAnswers = 0;
        bool changesMayBeCut = false;
        std::function<bool(const RowValue&)> rejects; // the store rejects a transaction with such a write
        std::vector<RunningTask> runningTasks;
        std::size_t labelBytes = 1; // of a server
        FleetPlatform platform;
        std::unique_ptr<Leadership> leadership;
        std::shared_ptr<LeaderSession> session;

        void SetUp() override
        {
            this->platform.formats.serverTable = "servers";
            this->platform.store.commit = [this](const RowTransaction& transaction, Duration, auto handler) {
                this->transactions.push_back(transaction);
                boost::asio::post(this->context, [handler, result = this->apply(transaction)] { handler(result); });
            };
            this->platform.store.list = [this](const RowName& from, const std::string&, PageLimits, auto handler) {
                if (from.table != this->silentTable)
                    boost::asio::post(this->context, [handler, page = this->page(from)] { handler(page); });
            };
            this->platform.store.follow
                = [this](const std::string& table, std::uint64_t after, Duration, auto handler) {
                      if (table != this->silentTable)
                          this->answerFollow(table, after, handler);
                  };
            this->platform.machines.list = [](const auto&) { /* no answer */ };
            this->leadership
                = std::make_unique<Leadership>(LeadershipTimings {}, this->clock, "leader", 500, this->random);
            this->leadership->becomeCandidate();
            this->storeLeader(1, "former");
            this->leadership->acquireAnswered(this->apply(this->leadership->acquire()));
            LeaderSessionHooks hooks;
            hooks.onEnded = [] {};
            hooks.log = [](std::string_view, std::initializer_list<LogField>) { /* not examined */ };
            JobSchedulerRules rules;
            rules.fence = this->leadership->fence();
            auto config = std::make_shared<FleetConfig>();
            config->queues.emplace_back();
            config->queues.back().name = "quotes";
            config->queues.back().service = "quoting";
            this->session = std::make_shared<LeaderSession>(this->context, this->client, this->platform,
                RelaySelection({}, "leader", 500), *this->leadership, rules, MachineMaintenanceRules {}, this->clock,
                std::move(config), std::move(hooks));
        }

        // Another VM acquires leadership. Returns the version of its row.
        std::uint64_t storeLeader(std::uint64_t fence, const std::string& node)
        {
            RowTransaction transaction;
            transaction.writes.push_back({ this->leadership->leaderCondition().name,
                Json { { "fence", fence }, { "node", node }, { "attempt", node + "-1" } }.dump() });
            const auto stored = this->apply(transaction).version;
            this->leadership->observe(std::vector { this->rows.at(transaction.writes.front().name) });
            return stored;
        }

        StoreTime storeTime() const { return this->clock.now().time_since_epoch().count(); }

        // A server that accepts every order and runs what it has started.
        void addServer(const std::string& id)
        {
            this->platform.formats.decodeServer = [this](const StoredRow& row) {
                ServerRecord server;
                server.id = row.name.key;
                server.service = "quoting";
                server.capacity = { 100'000, 100'000, 0 };
                server.labels = { std::string(this->labelBytes, 'x') };
                return server;
            };
            this->platform.servers.start = [this](const ServerRecord&, const StartOrder& order, auto handler) {
                this->runningTasks.push_back({ order.task, order.run, "", 10, 0 });
                boost::asio::post(this->context, [handler] { handler({ OrderStatus::Accepted }); });
            };
            this->platform.servers.stop = [this](const ServerRecord&, const StopOrder& order, auto handler) {
                std::erase_if(this->runningTasks, [&](const RunningTask& each) { return each.task == order.task; });
                boost::asio::post(this->context, [handler] { handler({ OrderStatus::Accepted }); });
            };
            this->platform.servers.renewLease = [this](const ServerRecord& server, const RenewOrder&, auto handler) {
                if (server.id == this->silentServer)
                    return boost::asio::post(this->context, [handler] { handler(OrderStatus::Unknown, {}); });
                auto timer = std::make_shared<boost::asio::steady_timer>(this->context, Duration(30));
                timer->async_wait([this, timer, handler](const boost::system::error_code&) {
                    RenewReport report;
                    report.clock = this->storeTime();
                    report.running = this->runningTasks;
                    handler(OrderStatus::Accepted, report);
                });
            };
            RowTransaction transaction;
            transaction.writes.push_back({ { "servers", "", id }, "" });
            this->apply(transaction);
        }

        // A leader that finds a job, a server, and the record of a server that does not answer. The record says that
        // its leases end 0.2 s later.
        void beginBesideLostServer(std::uint64_t recordedFence)
        {
            this->beginBesideLostServer({ { "leasesEndBy", this->storeTime() + 200 }, { "fence", recordedFence } });
        }

        void beginBesideLostServer(const Json& recorded)
        {
            this->addServer("server");
            this->silentServer = "lost";
            ServerRecord lost;
            lost.id = this->silentServer;
            lost.service = "quoting";
            Json use = lost;
            use.update(recorded);
            RowTransaction transaction;
            transaction.writes.push_back({ { tables::serverUse, Leadership::part, lost.id }, use.dump() });
            this->apply(transaction);
            this->submit("a");
            this->session->start();
        }

        Json lostServerRow() const
        {
            return Json::parse(this->rows.at({ tables::serverUse, Leadership::part, this->silentServer }).value);
        }

        JobStatus storedState(const std::string& job) const
        {
            const auto row = this->rows.find({ tables::progress, Leadership::part, job });
            return row == this->rows.end()
                ? JobStatus::Pending
                : parseJobStatus(Json::parse(row->second.value).at("state").get<std::string>()).value();
        }

        TransactionResult apply(const RowTransaction& transaction)
        {
            if (this->rejects && std::ranges::any_of(transaction.writes, this->rejects))
                return { CommitStatus::Rejected, 0, {} };
            TransactionResult conflict { CommitStatus::Conflict, 0, {} };
            for (const auto& condition : transaction.conditions) {
                const auto row = this->rows.find(condition.name);
                const auto current = row == this->rows.end() ? StoredRow { condition.name, "", 0 } : row->second;
                if (current.version != condition.version)
                    conflict.conflicts.push_back(current);
            }
            if (!conflict.conflicts.empty())
                return conflict;
            ++this->version;
            for (const auto& write : transaction.writes)
                this->rows[write.name] = { write.name, write.value, this->version };
            return { CommitStatus::Committed, this->version, {} };
        }

        RowPage page(const RowName& from) const
        {
            RowPage page { {}, false, this->version, this->storeTime() };
            for (const auto& [name, row] : this->rows) {
                if (name.table == from.table && name.part == from.part && name.key >= from.key)
                    page.rows.push_back(row);
            }
            return page;
        }

        void answerFollow(
            const std::string& table, std::uint64_t after, const std::function<void(FollowResult)>& handler)
        {
            auto timer = std::make_shared<boost::asio::steady_timer>(this->context, Duration(20));
            timer->async_wait([this, timer, table, after, handler](const boost::system::error_code&) {
                FollowResult result { FollowStatus::Changes, {}, this->version, this->storeTime(),
                    this->changesMayBeCut };
                for (const auto& [name, row] : this->rows) {
                    if (name.table == table && row.version > after)
                        result.rows.push_back(row);
                }
                this->jobFeedAnswers += table == tables::jobs;
                handler(result);
            });
        }

        void submit(const std::string& id)
        {
            JobSpec job;
            job.id = id;
            job.queue = "quotes";
            job.steps.emplace_back();
            job.steps.back().count = 1;
            RowTransaction transaction;
            transaction.writes.push_back({ tables::jobRow(id), toJson(job) });
            this->apply(transaction);
        }

        bool runUntil(const std::function<bool()>& isDone)
        {
            const auto limit = std::chrono::steady_clock::now() + testTimeout;
            while (!isDone() && std::chrono::steady_clock::now() < limit)
                this->context.run_one_for(Duration(20));
            return isDone();
        }

        // Lets time pass in steps in which the leader renews its term and the job feed answers a call of that step,
        // unless a table is silent.
        void skip(Duration total)
        {
            for (Duration step { 400 }; total > Duration(0); total -= step) {
                this->skipped += step;
                const auto commits = this->transactions.size();
                const auto answers = this->jobFeedAnswers;
                const auto end = std::chrono::steady_clock::now() + Duration(50);
                EXPECT_TRUE(this->runUntil([&] {
                    const bool hasFeedAnswered = this->silentTable.empty() ? this->jobFeedAnswers >= answers + 2
                                                                           : std::chrono::steady_clock::now() > end;
                    return this->transactions.size() > commits && hasFeedAnswered;
                }));
            }
        }

        std::vector<PendingSummary> storedSummaries() const
        {
            std::vector<PendingSummary> summaries;
            for (const auto& transaction : this->transactions) {
                for (const auto& write : transaction.writes) {
                    if (write.name.table == tables::summary)
                        summaries.push_back(decodePendingSummary(write.value).value());
                }
            }
            return summaries;
        }

        std::optional<int> pendingQuotes() const
        {
            const auto counts = this->session->pendingCounts();
            if (!counts)
                return std::nullopt;
            const auto count = counts->jobsByQueue.find("quotes");
            return count == counts->jobsByQueue.end() ? 0 : count->second;
        }
    };

} // namespace

// Guards against counts that grow old while nothing changes, although the leader works.
TEST_F(LeaderSessionTest, anUnchangedSummaryIsWrittenAgainWithALaterMoment)
{
    this->submit("a");
    this->session->start();
    ASSERT_TRUE(this->runUntil([this] { return this->storedSummaries().size() >= 3; }));
    const auto summaries = this->storedSummaries();
    EXPECT_EQ(summaries[0].jobsByQueue.at("quotes"), 1);
    EXPECT_EQ(summaries[1].jobsByQueue, summaries[0].jobsByQueue);
    EXPECT_LT(summaries[0].asOf, summaries[1].asOf);
    EXPECT_LT(summaries[1].asOf, summaries[2].asOf);
    // Only the first one may cost a transaction of its own.
    EXPECT_LE(std::ranges::count_if(this->transactions,
                  [](const RowTransaction& transaction) {
                      return transaction.writes.size() == 1 && transaction.writes[0].name.table == tables::summary;
                  }),
        1);
}

// Guards against "0 jobs wait" of a leader that has not read the jobs.
TEST_F(LeaderSessionTest, aLeaderThatHasNotLoadedTellsNoCount)
{
    this->submit("a");
    this->silentTable = tables::progress;
    this->session->start();
    this->skip(Duration(2400));
    EXPECT_FALSE(this->pendingQuotes());
    EXPECT_TRUE(this->storedSummaries().empty());
}

// Guards against counts of a leader whose feed of jobs has stopped while its transactions succeed: it tells none
// itself, and the summary that it stores keeps the moment at which its jobs were known.
TEST_F(LeaderSessionTest, aLeaderThatIsBehindTellsNoCount)
{
    this->submit("a");
    this->session->start();
    ASSERT_TRUE(this->runUntil([this] { return this->pendingQuotes().has_value(); }));
    EXPECT_EQ(this->pendingQuotes(), 1);
    this->silentTable = tables::jobs;
    this->runUntil([limit = std::chrono::steady_clock::now() + Duration(100)] {
        return std::chrono::steady_clock::now() > limit;
    });
    const auto knownUntil = this->storeTime();
    this->skip(Duration(3200));
    EXPECT_TRUE(this->leadership->isValid());
    EXPECT_FALSE(this->pendingQuotes());
    EXPECT_LE(this->storedSummaries().back().asOf, knownUntil);
}

// Guards against a copy of the jobs that counts as current though an answer of the store may have left out changes.
TEST_F(LeaderSessionTest, changesThatMayBeCutProveNoMoment)
{
    this->session->start();
    ASSERT_TRUE(this->runUntil([this] { return this->pendingQuotes().has_value(); }));
    this->changesMayBeCut = true;
    this->skip(Duration(3200));
    EXPECT_TRUE(this->leadership->isValid());
    EXPECT_FALSE(this->pendingQuotes());
}

// Guards against tasks that start after the cancellation of their job was confirmed, because the leader's feed of jobs
// is behind while its transactions succeed.
TEST_F(LeaderSessionTest, aLeaderThatMayNotKnowCancellationsStartsNothing)
{
    this->session->start();
    ASSERT_TRUE(this->runUntil([this] { return this->session->mayStartTasks(); }));
    this->silentTable = tables::jobs;
    this->skip(Duration(1200));
    EXPECT_TRUE(this->session->mayStartTasks());
    this->skip(Duration(2400));
    EXPECT_TRUE(this->leadership->isValid());
    EXPECT_FALSE(this->session->mayStartTasks());
}

// Guards against a leader that stops all work while the store fails, when nobody can confirm a cancellation.
TEST_F(LeaderSessionTest, aLeaderWithoutTheStoreStartsTasksForAWhile)
{
    this->session->start();
    ASSERT_TRUE(this->runUntil([this] { return this->session->mayStartTasks(); }));
    this->skipped += Duration(10);
    this->leadership->commitFailed();
    this->skipped += Duration(3500);
    EXPECT_TRUE(this->session->mayStartTasks());
    this->skipped += Duration(1600);
    EXPECT_FALSE(this->session->mayStartTasks());
}

// Guards against counts that a leader tells right after it was suspended.
TEST_F(LeaderSessionTest, aSuspendedLeaderTellsNoCount)
{
    this->session->start();
    ASSERT_TRUE(this->runUntil([this] { return this->pendingQuotes().has_value(); }));
    this->skipped += Duration(2100);
    EXPECT_FALSE(this->pendingQuotes());
}

// Guards against a state of a wave that a late write of an earlier leader puts back.
TEST_F(LeaderSessionTest, aReportOfAWaveReplacesOnlyTheStateItKnows)
{
    const RowName status { "status", "", "wave/1" };
    this->platform.formats.encodeWaveStatus = [&status](const MachineWave&, bool completed) {
        return RowValue { status, completed ? "completed" : "running" };
    };
    RowTransaction earlier;
    earlier.writes.push_back({ status, "running" });
    this->apply(earlier);
    const auto earlierVersion = this->rows.at(status).version;
    this->session->addWave({ 1, {}, std::chrono::seconds(20), 1 });
    this->session->start();
    ASSERT_TRUE(this->runUntil([&] { return this->rows.at(status).value == "completed"; }));
    earlier.conditions.push_back({ status, earlierVersion });
    EXPECT_EQ(this->apply(earlier).status, CommitStatus::Conflict);
    for (const auto& transaction : this->transactions) {
        if (transaction.writes[0].name == status) {
            EXPECT_EQ(transaction.conditions.size(), 1U);
        }
    }
}

// Guards against a load that grows with all jobs of the past, when the predecessor was lost before it replaced the rows
// of ended jobs, and against a replaced row whose job runs again, with or without its progress.
TEST_F(LeaderSessionTest, jobsThatANewLeaderFindsEndedAreReplacedAndDoNotRun)
{
    this->submit("ended");
    this->submit("pending");
    RowTransaction earlier;
    earlier.writes
        = { { { tables::progress, Leadership::part, "ended" }, R"({"state":"completed","next":1,"open":[]})" },
              { { tables::progress, Leadership::part, "replaced" }, R"({"state":"failed","next":1,"open":[]})" },
              { tables::jobRow("replaced"), encodeEndedJob(JobStatus::Failed) },
              { tables::jobRow("without-progress"), encodeEndedJob(JobStatus::Completed) } };
    this->apply(earlier);
    const auto pendingVersion = this->rows.at(tables::jobRow("pending")).version;
    this->session->start();
    ASSERT_TRUE(this->runUntil([this] { return this->pendingQuotes().has_value(); }));
    EXPECT_EQ(this->pendingQuotes(), 1);
    EXPECT_EQ(this->session->scheduler().jobStatus("replaced"), JobStatus::Failed);
    EXPECT_EQ(this->session->scheduler().jobStatus("without-progress"), JobStatus::Completed);
    this->skip(Duration(3600));
    ASSERT_TRUE(this->runUntil(
        [this] { return decodeEndedJob(this->rows.at(tables::jobRow("ended")).value) == JobStatus::Completed; }));
    this->skip(Duration(800));
    // A call of the feed that was sent before the skip proves only an old moment.
    ASSERT_TRUE(this->runUntil([this] { return this->pendingQuotes().has_value(); }));
    EXPECT_EQ(this->pendingQuotes(), 1);
    EXPECT_EQ(this->rows.at(tables::jobRow("pending")).version, pendingVersion);
}

// Guards against one row that the store rejects, for whatever reason, and that holds up the progress of all other jobs:
// ends are not acknowledged, heartbeats fail, and the next leaders start ended tasks again.
TEST_F(LeaderSessionTest, aRejectedProgressRowHoldsUpNoOtherJob)
{
    this->rejects = [](const RowValue& write) {
        return write.name.table == tables::progress && write.name.key == "a-odd"
            && write.value.find("failed") == std::string::npos;
    };
    this->addServer("server");
    for (const auto* id : { "a-odd", "b", "c", "d", "e", "f" })
        this->submit(id);
    this->session->start();
    ASSERT_TRUE(this->runUntil([this] {
        return std::ranges::all_of(std::vector<std::string> { "b", "c", "d", "e", "f" }, [this](const auto& id) {
            return this->storedState(id) == JobStatus::Running;
        }) && this->storedState("a-odd") == JobStatus::Failed;
    }));
}

// Guards against inherited work that waits anew in each term for a server that is lost for good.
TEST_F(LeaderSessionTest, endOfTheLeasesOfALostServerIsPassedOn)
{
    const auto begunAt = this->clock.now();
    this->beginBesideLostServer(this->leadership->fence() - 1);
    const RowName row { tables::serverUse, Leadership::part, this->silentServer };
    EXPECT_TRUE(this->runUntil([&] {
        return std::ranges::any_of(this->transactions,
            [&](const RowTransaction& each) { return std::ranges::find(each.removals, row) != each.removals.end(); });
    })) << "no later leader waits for the server";
    EXPECT_TRUE(this->runUntil([this] { return this->runningTasks.size() == 1; }));
    EXPECT_LT(this->clock.now() - begunAt, Duration(4000)) << "without the record, the wait takes 9.5 s";
}

// Guards against a leader that stores its changes in the term of the next one: it has seen that term, but its own work
// has not ended yet.
TEST_F(LeaderSessionTest, leaderStoresNothingInTheTermOfAnother)
{
    this->submit("a");
    this->session->start();
    ASSERT_TRUE(this->runUntil([this] { return !this->storedSummaries().empty(); }));
    const auto stored = this->storeLeader(this->leadership->fence() + 1, "another");
    this->skipped += Duration(5000); // a heartbeat is due
    const auto end = std::chrono::steady_clock::now() + Duration(200);
    this->runUntil([&] { return std::chrono::steady_clock::now() > end; });
    EXPECT_EQ(this->version, stored);
}

// Guards against work that runs twice because a lease that an order meant for an earlier incarnation has created lasts
// longer than the general wait, whichever leader has stored it.
TEST_F(LeaderSessionTest, leasesOfStrayOrdersAreWaitedForAndPassedOn)
{
    const auto begunAt = this->clock.now();
    const auto end = this->storeTime() + 14'000;
    this->beginBesideLostServer(Json { { "strayLeasesEndBy", end } });
    EXPECT_TRUE(this->runUntil([this] { return this->lostServerRow().contains("leasesEndBy"); }));
    EXPECT_GE(this->lostServerRow().at("leasesEndBy").get<StoreTime>(), end);
    EXPECT_GE(this->lostServerRow().at("strayLeasesEndBy").get<StoreTime>(), end);
    while (this->clock.now() - begunAt < Duration(13'000))
        this->skip(Duration(400));
    EXPECT_TRUE(this->runningTasks.empty());
    EXPECT_TRUE(this->runUntil([this] { return this->runningTasks.size() == 1; }));
    EXPECT_GE(this->clock.now() - begunAt, Duration(14'000));
    EXPECT_LE(this->clock.now() - begunAt, Duration(15'000));
}

// Guards against work that runs twice because a start without an answer is known only to the leader that sent it.
TEST_F(LeaderSessionTest, startWithoutAnAnswerIsStored)
{
    this->addServer("server");
    this->platform.servers.start = [](const ServerRecord&, const StartOrder&, const auto&) { /* no answer */ };
    this->submit("a");
    this->session->start();
    const RowName row { tables::serverUse, Leadership::part, "server" };
    const auto isStored = [&] {
        const auto use = this->rows.find(row);
        return use != this->rows.end() && !decodeServerUse(use->second.value).unansweredStarts.empty();
    };
    ASSERT_TRUE(this->runUntil(isStored));
    const auto start = decodeServerUse(this->rows.at(row).value).unansweredStarts.front();
    EXPECT_EQ(start.task, (TaskId { "a", 0, 0, 0 }));
    ASSERT_TRUE(start.endsBy);
    EXPECT_GE(*start.endsBy - this->storeTime(), 21'000);
    EXPECT_LE(*start.endsBy - this->storeTime(), 23'000);
}

// Guards against the same in the next leader, which reads of the start.
TEST_F(LeaderSessionTest, startOfAnEarlierLeaderWithoutAnAnswerIsWaitedFor)
{
    const auto begunAt = this->clock.now();
    const auto end = this->storeTime() + 14'000;
    this->beginBesideLostServer(Json { { "leasesEndBy", this->storeTime() }, { "fence", this->leadership->fence() - 1 },
        { "unansweredStarts", Json::array({ Json::array({ "a", 0, 0, 0, 1, end }) }) } });
    while (this->clock.now() - begunAt < Duration(13'000))
        this->skip(Duration(400));
    EXPECT_TRUE(this->runningTasks.empty());
    EXPECT_TRUE(this->runUntil([this] { return this->runningTasks.size() == 1; }));
    EXPECT_LE(this->clock.now() - begunAt, Duration(15'000));
}

// Guards against a record in another form that ends the process, and against a time that is out of range.
TEST_F(LeaderSessionTest, recordOfAServerInUseInAnotherFormIsSkipped)
{
    ServerRecord lost;
    lost.id = "lost";
    lost.service = "quoting";
    const auto store = [&](const std::string& key, const Json& end, const Json& fence) {
        Json use = lost;
        use["id"] = key;
        use["leasesEndBy"] = end;
        use["fence"] = fence;
        RowTransaction transaction;
        transaction.writes.push_back({ { tables::serverUse, Leadership::part, key }, use.dump() });
        this->apply(transaction);
    };
    const auto fence = this->leadership->fence() - 1;
    store("text", "soon", fence);
    store("fence-text", 5, "x");
    store("nothing", nullptr, nullptr);
    store("object", Json::object(), Json::array());
    store("early", std::numeric_limits<StoreTime>::min(), fence);
    store("late", std::numeric_limits<StoreTime>::max(), fence);
    RowTransaction transaction;
    transaction.writes.push_back({ { tables::serverUse, Leadership::part, "number" }, "7" });
    this->apply(transaction);
    this->addServer("server");
    this->session->start();
    EXPECT_TRUE(this->runUntil([this] { return this->pendingQuotes().has_value(); }));
}

// Guards against an end of leases that is believed although a leader between may have granted later ones.
TEST_F(LeaderSessionTest, endOfLeasesThatAnEarlierLeaderHasStoredIsNotBelieved)
{
    this->beginBesideLostServer(7);
    EXPECT_TRUE(this->runUntil([this] { return this->lostServerRow().at("fence") != 7; }));
    EXPECT_TRUE(this->runningTasks.empty());
    EXPECT_GT(this->lostServerRow().at("leasesEndBy").get<StoreTime>(), this->storeTime() + 5000);
}

// Guards against a server that counts as recorded although its record did not fit into a transaction: the next leader
// would not wait for what runs on it.
TEST_F(LeaderSessionTest, aServerWithoutAStoredRecordGetsNoTasks)
{
    this->rejects = [](const RowValue& write) { return write.value.size() > defaultMaxRowBytes; };
    this->labelBytes = defaultMaxRowBytes;
    this->addServer("server");
    this->submit("a");
    this->session->start();
    ASSERT_TRUE(this->runUntil([this] { return this->pendingQuotes().has_value(); }));
    this->skip(Duration(2400));
    EXPECT_TRUE(this->runningTasks.empty());
}

} // namespace waxwinglug::io

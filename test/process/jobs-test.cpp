// Tests of background jobs, with several nodes that share one table.
#include "support/fake-platform.h"
#include "support/steps.h"

#include <waxwinglug/jobs.h>
#include <waxwinglug/json.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    // Three nodes. A node that others consider gone keeps running, as after a pause.
    struct JobFleet {
        static constexpr int stepKindCount = 17;
        static constexpr int nodeCount = 3;
        struct ExpectedJob {
            bool idempotent = false;
            bool accepted = false;
            bool refused = false;
            bool removed = false;
            int runs = 0; // excluding runs that ended as NotRun
        };
        test::FakePlatform fake;
        ManualClock clock;
        std::array<std::unique_ptr<JobStore>, nodeCount> stores;
        std::array<std::uint64_t, nodeCount> incarnation {};
        std::map<std::string, ExpectedJob> expectedJobs;
        std::vector<std::pair<int, std::string>> running;

        JobFleet()
        {
            for (int node = 0; node < nodeCount; ++node)
                this->start(node);
        }

        void start(int node)
        {
            std::erase_if(this->running, [node](const auto& entry) { return entry.first == node; });
            JobOptions options;
            options.jobsPerRow = 3;
            this->stores[node]
                = std::make_unique<JobStore>(NodeId { "e" + std::to_string(node), ++this->incarnation[node] },
                    this->fake.platform().table, this->clock.clock(), options,
                    JobHooks { [this, node](const Job& job) { this->run(node, job); }, [](const std::string&) {},
                        [](const std::string&) {} });
        }

        void run(int node, const Job& job)
        {
            auto& entry = this->expectedJobs.at(job.id);
            // A job may run without having been accepted if its node stopped before the table answered.
            RC_ASSERT(!entry.refused);
            RC_ASSERT(job.payload == "payload\xff");
            RC_ASSERT(entry.idempotent || entry.runs == 0);
            ++entry.runs;
            this->running.emplace_back(node, job.id);
        }

        bool inTable(const std::string& id) const
        {
            const auto row = this->fake.row("jobs/" + id.substr(0, id.rfind('/')));
            return row.value.find('"' + id + '"') != std::string::npos;
        }

        bool endIsStored(const std::string& id) const
        {
            if (!this->inTable(id))
                return true;
            const auto row = Json::parse(this->fake.row("jobs/" + id.substr(0, id.rfind('/'))).value);
            for (const auto& job : row["jobs"]) {
                if (job["id"] == id)
                    return job["state"] == static_cast<int>(JobState::Done)
                        || job["state"] == static_cast<int>(JobState::DeadLettered);
            }
            return false;
        }

        void accept(int node, bool idempotent)
        {
            // The handler never runs synchronously, so the id is known before it does.
            const auto id = std::make_shared<std::string>();
            *id = this->stores[node]->accept("ledger", "north", idempotent, "payload\xff", [this, id](bool stored) {
                auto& entry = this->expectedJobs.at(*id);
                RC_ASSERT(!entry.accepted && !entry.refused);
                (stored ? entry.accepted : entry.refused) = true;
            });
            this->expectedJobs[*id].idempotent = idempotent;
        }

        void finishOne(unsigned pick)
        {
            if (this->running.empty())
                return;
            const auto [node, id] = this->running[pick % this->running.size()];
            std::erase(this->running, std::pair(node, id));
            const auto end = static_cast<JobOutcome>(pick % 4);
            if (end == JobOutcome::NotRun)
                --this->expectedJobs.at(id).runs;
            this->stores[node]->finished(id, end, "v" + std::to_string(pick % 5), "text");
        }

        std::string anyId(unsigned pick) const
        {
            return this->expectedJobs.empty()
                ? std::string()
                : std::next(this->expectedJobs.begin(), pick % this->expectedJobs.size())->first;
        }

        void takeOver(int node, unsigned pick)
        {
            std::vector<VmStatus> vms;
            if (pick % 2 == 0)
                vms.push_back({ "e" + std::to_string(pick / 2 % nodeCount), VmState::Gone, 1 });
            this->stores[node]->takeOver(vms, this->peers());
        }

        std::vector<NodeId> peers() const
        {
            std::vector<NodeId> result;
            result.reserve(nodeCount);
            for (int node = 0; node < nodeCount; ++node)
                result.emplace_back("e" + std::to_string(node), this->incarnation[node]);
            return result;
        }

        void step(int kind, int node, unsigned pick)
        {
            switch (kind) {
            case 0:
                return this->accept(node, pick % 3 == 0);
            case 1:
            case 2:
                this->stores[node]->startNext("ledger");
                return;
            case 3:
            case 4:
                return this->finishOne(pick);
            case 5:
                return this->stores[node]->cancel({ this->anyId(pick), this->anyId(pick + 1) });
            case 6:
                if (const auto id = this->anyId(pick); !id.empty() && this->stores[node]->remove(id)) {
                    this->expectedJobs[id].removed = true;
                    RC_ASSERT(this->endIsStored(id));
                }
                return;
            case 7:
                this->fake.loseCommitAnswers = pick % 3 == 0;
                return;
            case 8:
                this->fake.isUnavailable = pick % 4 == 0;
                return;
            case 9:
                if (pick % 6 == 0)
                    this->start(node);
                return;
            case 10:
                if (pick % 4 == 0)
                    this->takeOver(node, pick / 4);
                return;
            case 11:
                if (pick % 6 == 0)
                    this->stores[node]->releaseOwnership();
                return;
            case 12:
                this->clock.advance(Duration(pick * 5));
                return;
            case 13:
            case 14:
                return this->stores[node]->tick();
            default:
                this->fake.deliverOne(pick);
            }
        }

        void check() const
        {
            for (const auto& [id, entry] : this->expectedJobs) {
                RC_ASSERT(!entry.accepted || entry.removed || this->inTable(id));
                RC_ASSERT(!entry.refused || !this->inTable(id));
            }
        }

        // Checks that every accepted job ends once the table works.
        void finish()
        {
            this->fake.isUnavailable = false;
            this->fake.loseCommitAnswers = false;
            for (int round = 0; round < 40; ++round) {
                for (int node = 0; node < nodeCount; ++node) {
                    auto& store = *this->stores[node];
                    store.takeOver({}, this->peers());
                    this->clock.advance(10s);
                    while (!store.startNext("ledger").empty()) { }
                    store.tick();
                    this->fake.deliver();
                    for (const auto& [owner, id] : std::exchange(this->running, {}))
                        this->stores[owner]->finished(id, JobOutcome::Succeeded, "v1", "done");
                }
            }
            int ended = 0;
            for (const auto& [id, entry] : this->expectedJobs) {
                RC_ASSERT(entry.accepted || entry.refused || !this->inTable(id) || this->isOld(id));
                if (!entry.accepted || entry.removed)
                    continue;
                const Job* job = nullptr;
                for (const auto& store : this->stores)
                    job = store->find(id) ? store->find(id) : job;
                RC_ASSERT(job != nullptr);
                RC_ASSERT(job->state == JobState::Done || job->state == JobState::DeadLettered);
                ++ended;
            }
            RC_CLASSIFY(ended > 0, "jobs ended");
        }

        // Whether the id was issued by a process that stopped before the answer arrived.
        bool isOld(const std::string& id) const
        {
            const auto home = id.substr(id.find('/') + 1);
            const auto number = std::stoull(home.substr(3));
            return number < this->incarnation[static_cast<std::size_t>(home[1] - '0')];
        }
    };

    // Guards against a lost job, a second run of a non-idempotent job, a false "not run" and a job that stalls.
    RC_GTEST_PROP(JobStore, acceptedJobsEndAndRunAtMostOnce, ()) { test::checkSteps<JobFleet>(); }

    struct OneStore {
        test::FakePlatform fake;
        ManualClock clock;
        std::vector<std::string> started;
        JobStore store { { "e1", 1 }, this->fake.platform().table, this->clock.clock(), {},
            { [this](const Job& job) { this->started.push_back(job.id); }, [](const std::string&) {},
                [](const std::string&) {} } };

        std::string stored(bool idempotent)
        {
            auto id = this->store.accept("ledger", "north", idempotent, "p", [](bool) {});
            this->settle();
            return id;
        }

        void settle()
        {
            this->store.tick();
            this->fake.deliver();
        }
    };

    // Guards against a job that fails on every server and occupies slots indefinitely.
    TEST(JobStore, jobThatFailsWhereOthersSucceedIsDeadLettered)
    {
        OneStore node;
        const auto bad = node.stored(true);
        int runs = 0;
        for (int i = 0; i < 10; ++i) {
            const auto server = "v" + std::to_string(i);
            node.stored(true);
            node.clock.advance(10min);
            while (!node.store.startNext("ledger").empty()) { }
            for (const auto& id : std::exchange(node.started, {})) {
                runs += id == bad ? 1 : 0;
                node.store.finished(id, id == bad ? JobOutcome::Failed : JobOutcome::Succeeded, server, "exit 1");
            }
            node.settle();
        }
        // The third failing server counts only after it has succeeded with another job, which is after the job's third
        // failure.
        EXPECT_EQ(runs, 4);
        EXPECT_EQ(node.store.find(bad)->state, JobState::DeadLettered);
        EXPECT_EQ(node.store.find(bad)->reason, "fails where other jobs succeed: exit 1");
    }

    // Guards against a bulk cancellation that takes one write per job.
    TEST(JobStore, bulkCancellationTakesOneWritePerRow)
    {
        OneStore node;
        std::vector<std::string> ids;
        ids.reserve(640);
        for (int i = 0; i < 640; ++i)
            ids.push_back(node.store.accept("ledger", "north", true, "p", [](bool) {}));
        for (int i = 0; i < 10; ++i)
            node.settle();
        EXPECT_EQ(node.fake.commitCount, 20);
        node.store.cancel(ids);
        for (int i = 0; i < 10; ++i) {
            const int before = node.fake.commitCount;
            node.settle();
            EXPECT_LE(node.fake.commitCount - before, 8);
        }
        EXPECT_EQ(node.fake.commitCount, 40);
        EXPECT_EQ(node.store.startNext("ledger"), "");
    }

} // namespace
} // namespace waxwinglug

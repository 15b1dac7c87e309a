// Tests the transactions that replace the rows of ended jobs, against a store of conditional writes.
#include "io/process/job-compaction.h"

#include "io/process/tables.h"
#include "job/ended-job.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace waxwinglug::io {
namespace {

    struct JobCompactionTest : testing::Test {
        ManualClock clock;
        std::map<RowName, StoredRow> rows;
        std::uint64_t version = 0;
        JobCompaction compaction { this->clock.clock() };

        TransactionResult commit(const RowTransaction& transaction)
        {
            TransactionResult result;
            bool matches = true;
            for (const auto& condition : transaction.conditions) {
                const auto row = this->rows.find(condition.name);
                matches = matches && (row == this->rows.end() ? 0 : row->second.version) == condition.version;
                if (row != this->rows.end())
                    result.conflicts.push_back(row->second);
            }
            if (!matches) {
                result.status = CommitStatus::Conflict;
                return result;
            }
            result = { CommitStatus::Committed, ++this->version, {} };
            for (const auto& write : transaction.writes)
                this->rows[write.name] = { write.name, write.value, this->version, false };
            for (const auto& name : transaction.removals)
                this->rows.erase(name);
            return result;
        }

        // Stores a job as a submission does. Returns false if its row exists.
        bool submit(const std::string& job)
        {
            const auto name = tables::jobRow(job);
            return this->commit({ { { name, 0 } }, { { name, std::string(1'000, 'x') } }, {} }).status
                == CommitStatus::Committed;
        }

        void addEndedJob(JobCompaction& target, const std::string& job)
        {
            target.addRow(job, this->rows.at(tables::jobRow(job)).version);
            target.addEnd(job, JobStatus::Completed);
        }

        // Advances the time until a batch is due.
        std::optional<JobCompaction::Batch> nextBatch(JobCompaction& target)
        {
            for (int step = 0; step < 100; ++step) {
                if (auto batch = target.takeBatch())
                    return batch;
                this->clock.advance(Duration(100));
            }
            return std::nullopt;
        }

        bool isReplaced(const std::string& job) const
        {
            return decodeEndedJob(this->rows.at(tables::jobRow(job)).value) == JobStatus::Completed;
        }
    };

} // namespace

// Guards against a job that runs again: after its row was replaced, a submission with the same id must find it.
TEST_F(JobCompactionTest, replacedRowsStillRefuseASecondSubmission)
{
    ASSERT_TRUE(this->submit("job0"));
    this->addEndedJob(this->compaction, "job0");
    const auto batch = this->nextBatch(this->compaction);
    ASSERT_TRUE(batch);
    this->compaction.batchAnswered(*batch, this->commit(batch->transaction));
    EXPECT_TRUE(this->isReplaced("job0"));
    EXPECT_FALSE(this->submit("job0"));
    EXPECT_FALSE(this->nextBatch(this->compaction));
}

// Guards against a row that is replaced before the end of its job is stored.
TEST_F(JobCompactionTest, rowsOfJobsWithoutAStoredEndAreKept)
{
    ASSERT_TRUE(this->submit("job0"));
    this->compaction.addRow("job0", this->rows.at(tables::jobRow("job0")).version);
    EXPECT_FALSE(this->nextBatch(this->compaction));
}

// Guards against transactions that the store rejects, and against many calls when many jobs end.
TEST_F(JobCompactionTest, batchesStayWithinTheLimitsOfTheStore)
{
    constexpr int jobCount = 1'000;
    for (int number = 0; number < jobCount; ++number) {
        const auto job = fmt::format("job{:04}", number);
        ASSERT_TRUE(this->submit(job));
        this->addEndedJob(this->compaction, job);
    }
    int batches = 0;
    while (const auto batch = this->nextBatch(this->compaction)) {
        ++batches;
        EXPECT_LE(batch->transaction.conditions.size() + batch->transaction.writes.size(), 100U);
        for (const auto& write : batch->transaction.writes)
            EXPECT_EQ(write.name.part, batch->part);
        EXPECT_FALSE(this->compaction.takeBatch()); // one at a time
        this->compaction.batchAnswered(*batch, this->commit(batch->transaction));
    }
    EXPECT_LE(batches, 30);
    for (int number = 0; number < jobCount; ++number)
        EXPECT_TRUE(this->isReplaced(fmt::format("job{:04}", number)));
}

// Guards against rows that stay long after a lost answer or a refusal, and against endless repetition.
TEST_F(JobCompactionTest, transactionsWithoutAnAnswerAreRepeated)
{
    ASSERT_TRUE(this->submit("job0"));
    ASSERT_TRUE(this->submit("joc0"));
    this->addEndedJob(this->compaction, "job0");
    this->addEndedJob(this->compaction, "joc0");
    auto batch = this->nextBatch(this->compaction);
    ASSERT_TRUE(batch);
    this->compaction.batchAnswered(*batch, { CommitStatus::Unavailable, 0, {} });
    batch = this->nextBatch(this->compaction);
    ASSERT_TRUE(batch);
    ASSERT_EQ(batch->entries.size(), 2U);
    EXPECT_EQ(this->commit(batch->transaction).status, CommitStatus::Committed);
    this->compaction.batchAnswered(*batch, { CommitStatus::Unknown, 0, {} });
    EXPECT_TRUE(this->isReplaced("job0"));
    batch = this->nextBatch(this->compaction);
    ASSERT_TRUE(batch);
    const auto result = this->commit(batch->transaction);
    EXPECT_EQ(result.status, CommitStatus::Conflict);
    this->compaction.batchAnswered(*batch, result);
    EXPECT_FALSE(this->nextBatch(this->compaction));
}

// Guards against one row that another leader has replaced and that keeps the others of its batch long.
TEST_F(JobCompactionTest, aConflictOfOneRowDoesNotKeepTheOthers)
{
    ASSERT_TRUE(this->submit("job0"));
    ASSERT_TRUE(this->submit("joc0"));
    JobCompaction other(this->clock.clock());
    this->addEndedJob(this->compaction, "job0");
    this->addEndedJob(this->compaction, "joc0");
    this->addEndedJob(other, "job0");
    const auto first = this->nextBatch(other);
    ASSERT_TRUE(first);
    other.batchAnswered(*first, this->commit(first->transaction));
    while (const auto batch = this->nextBatch(this->compaction))
        this->compaction.batchAnswered(*batch, this->commit(batch->transaction));
    EXPECT_TRUE(this->isReplaced("job0"));
    EXPECT_TRUE(this->isReplaced("joc0"));
}

// Guards against a transaction of an earlier leader that is carried out late and restores a row that was removed.
TEST_F(JobCompactionTest, aLateTransactionDoesNotRestoreARemovedRow)
{
    ASSERT_TRUE(this->submit("job0"));
    this->addEndedJob(this->compaction, "job0");
    const auto batch = this->nextBatch(this->compaction);
    ASSERT_TRUE(batch);
    this->commit({ {}, {}, { tables::jobRow("job0") } });
    const auto result = this->commit(batch->transaction);
    EXPECT_EQ(result.status, CommitStatus::Conflict);
    this->compaction.batchAnswered(*batch, result);
    EXPECT_FALSE(this->rows.contains(tables::jobRow("job0")));
    EXPECT_FALSE(this->nextBatch(this->compaction));
}

// Guards against a new leader that leaves the rows long which its predecessor did not replace before it was lost.
TEST_F(JobCompactionTest, theNextLeaderReplacesRowsOfAPredecessorThatWasLost)
{
    ASSERT_TRUE(this->submit("job0"));
    this->addEndedJob(this->compaction, "job0");
    ASSERT_TRUE(this->nextBatch(this->compaction)); // lost with its leader
    JobCompaction next(this->clock.clock());
    this->addEndedJob(next, "job0");
    const auto batch = this->nextBatch(next);
    ASSERT_TRUE(batch);
    next.batchAnswered(*batch, this->commit(batch->transaction));
    EXPECT_TRUE(this->isReplaced("job0"));
}

} // namespace waxwinglug::io

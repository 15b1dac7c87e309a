// Transactions that replace the rows of ended jobs.
#include "io/process/job-compaction.h"

#include "io/process/tables.h"
#include "job/ended-job.h"

#include <algorithm>
#include <numeric>

namespace waxwinglug::io {
namespace {

    // A transaction holds at most 100 entries, and each job takes a condition and a write.
    constexpr std::size_t maxBatchJobs = 50;
    // Calls are priced and a part handles one transaction at a time, so that rows are collected for a while.
    constexpr Duration maxCollectionTime { 3000 };
    // A new leader that finds many ended jobs replaces their rows in the background of its other calls.
    constexpr Duration batchInterval { 150 };
    constexpr Duration retryDelay { 1000 };

} // namespace

JobCompaction::JobCompaction(Clock source)
    : clock(std::move(source))
{
}

void JobCompaction::addRow(const std::string& job, std::uint64_t version) { this->rowVersions[job] = version; }

void JobCompaction::removeRow(const std::string& job) { this->rowVersions.erase(job); }

void JobCompaction::addEnd(const std::string& job, JobStatus finalState)
{
    const auto row = this->rowVersions.extract(job);
    if (!row)
        return;
    auto& queue = this->queues[tables::jobPart(job)];
    if (queue.entries.empty())
        queue.oldestSince = this->clock.now();
    queue.entries.push_back({ job, finalState, row.mapped() });
}

std::optional<JobCompaction::Batch> JobCompaction::takeBatch()
{
    const auto now = this->clock.now();
    if (this->isInFlight || now < this->nextBatchAt)
        return std::nullopt;
    const auto place = std::ranges::find_if(this->queues, [now](const auto& queue) {
        return queue.second.entries.size() >= maxBatchJobs || now - queue.second.oldestSince >= maxCollectionTime;
    });
    if (place == this->queues.end())
        return std::nullopt;
    Batch batch;
    batch.part = place->first;
    auto& entries = place->second.entries;
    while (!entries.empty() && batch.entries.size() < maxBatchJobs) {
        batch.entries.push_back(std::move(entries.front()));
        entries.pop_front();
    }
    if (entries.empty())
        this->queues.erase(place);
    for (const auto& entry : batch.entries) {
        batch.transaction.conditions.push_back({ tables::jobRow(entry.job), entry.version });
        batch.transaction.writes.push_back({ tables::jobRow(entry.job), encodeEndedJob(entry.finalState) });
    }
    this->isInFlight = true;
    return batch;
}

void JobCompaction::batchAnswered(const Batch& batch, const TransactionResult& result)
{
    this->isInFlight = false;
    this->nextBatchAt = this->clock.now() + batchInterval;
    if (result.status == CommitStatus::Committed || result.status == CommitStatus::Rejected)
        return; // a rejected transaction would be rejected again; its rows stay long
    this->nextBatchAt = this->clock.now() + retryDelay;
    auto& queue = this->queues[batch.part];
    if (queue.entries.empty())
        queue.oldestSince = this->clock.now() - maxCollectionTime;
    for (const auto& entry : batch.entries) {
        // A row with another version was replaced, also by a transaction whose answer was lost, or removed.
        const bool isUnchanged = result.status != CommitStatus::Conflict
            || std::ranges::any_of(result.conflicts,
                [&entry](const StoredRow& row) { return row.name.key == entry.job && row.version == entry.version; });
        if (isUnchanged)
            queue.entries.push_back(entry);
    }
    if (queue.entries.empty())
        this->queues.erase(batch.part);
}

std::size_t JobCompaction::pendingCount() const
{
    return std::accumulate(this->queues.begin(), this->queues.end(), std::size_t { 0 },
        [](std::size_t count, const auto& queue) { return count + queue.second.entries.size(); });
}

} // namespace waxwinglug::io

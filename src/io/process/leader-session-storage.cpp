// Transactions of the leader: job progress, server use, maintenance, and the counts of pending jobs.
#include "io/process/leader-session.h"

#include <algorithm>

namespace waxwinglug::io {
namespace {

    // Minimum time between the starts of two commits. A transaction takes about 9 ms; a slightly later start lets more
    // changes share one transaction.
    constexpr Duration minCommitInterval { 15 };
    // Delay after a failed commit, so that an unavailable store does not receive hundreds of calls.
    constexpr Duration commitRetryDelay { 80 };
    // A transaction holds at most 100 entries. Each job takes a condition and a write; a few other rows are added.
    constexpr std::size_t maxJobsPerCommit = 40;
    constexpr std::size_t maxJobsPerCommitWithServers = 20;
    constexpr std::size_t maxServersPerCommit = 40;
    constexpr std::size_t maxRemovalsPerTick = 1; // jobs; as many expire as are accepted, a few dozen a second
    // Counts that callers see may be up to 2 s old.
    constexpr Duration minSummaryInterval { 700 };

} // namespace

void LeaderSession::addSummary(RowTransaction& transaction)
{
    if (this->clock.now() - this->summaryWrittenAt < minSummaryInterval)
        return;
    auto waiting = this->jobScheduler.pendingJobsByQueue();
    if (waiting == this->storedSummary)
        return;
    this->summaryWrittenAt = this->clock.now();
    transaction.writes.push_back({ { tables::summary, Leadership::part, tables::summaryKey }, Json(waiting).dump() });
    this->storedSummary = std::move(waiting);
}

void LeaderSession::storeChanges()
{
    if (this->hasEnded || this->isCommitting || this->clock.now() < this->nextCommitAt)
        return;
    RowTransaction transaction;
    Batch batch;
    if (this->hasLoaded) {
        batch.serverUse = this->jobScheduler.takeServerUseChanges(maxServersPerCommit);
        batch.progress = this->jobScheduler.takeUnsavedProgress(
            batch.serverUse.empty() ? maxJobsPerCommit : maxJobsPerCommitWithServers);
        this->addBatch(transaction, batch);
        this->addSummary(transaction);
        batch.maintenance = std::exchange(this->maintenanceWrites, {});
        transaction.writes.insert(transaction.writes.end(), batch.maintenance.begin(), batch.maintenance.end());
    }
    if (this->leadership.isHeartbeatDue())
        transaction.writes.push_back(this->leadership.heartbeat(false));
    if (transaction.writes.empty() && transaction.removals.empty())
        return;
    transaction.conditions.push_back(this->leadership.leaderCondition());
    this->isCommitting = true;
    this->nextCommitAt = this->clock.now() + minCommitInterval;
    this->platform.store.commit(std::move(transaction), commitTimeout,
        this->guarded([this, sentAt = this->clock.now(), batch = std::move(batch)](
                          const TransactionResult& result) { this->onCommit(result, sentAt, batch); }));
}

void LeaderSession::addBatch(RowTransaction& transaction, const Batch& batch) const
{
    for (const auto& write : batch.progress) {
        const RowName name { tables::progress, Leadership::part, write.job };
        transaction.conditions.push_back({ name, write.expectedVersion });
        transaction.writes.push_back({ name, write.text });
    }
    for (const auto& change : batch.serverUse) {
        const RowName name { tables::serverUse, Leadership::part, change.server };
        if (change.record)
            transaction.writes.push_back({ name, toJson(*change.record) });
        else
            transaction.removals.push_back(name);
    }
}

// Removes the rows of jobs that ended long ago. Job rows are in other parts than the rows of the leader, so the removal
// is not conditional on leadership; a late removal by an earlier leader does no harm.
void LeaderSession::removeExpiredJobs()
{
    for (const auto& job : this->jobScheduler.takeExpiredJobs(maxRemovalsPerTick)) {
        RowTransaction rows;
        rows.removals = { tables::jobRow(job), tables::cancelRow(job) };
        RowTransaction record;
        record.removals = { { tables::progress, Leadership::part, job } };
        for (auto& transaction : { rows, record })
            this->platform.store.commit(transaction, commitTimeout, [](const TransactionResult&) {
                // A row that remains is removed by the next leader, which reads that the job has ended.
            });
    }
}

void LeaderSession::onCommit(const TransactionResult& result, TimePoint sentAt, const Batch& batch)
{
    this->isCommitting = false;
    if (result.status == CommitStatus::Committed) {
        this->leadership.commitConfirmed(sentAt);
        this->jobScheduler.progressSaved(batch.progress, result.version);
        this->jobScheduler.serverUseSaved(batch.serverUse);
        return this->scheduleDispatch();
    }
    this->leadership.commitFailed();
    this->nextCommitAt = this->clock.now() + commitRetryDelay;
    this->hooks.log("progress was not stored",
        { { "status", static_cast<int>(result.status) }, { "jobs", batch.progress.size() },
            { "age_ms", (this->clock.now() - sentAt).count() } });
    this->storedSummary.clear();
    if (result.status == CommitStatus::Conflict) {
        const auto condition = this->leadership.leaderCondition();
        std::map<std::string, std::uint64_t> versions;
        for (const auto& row : result.conflicts) {
            if (row.name == condition.name && row.version != condition.version)
                return this->end("another VM has acquired leadership");
            versions[row.name.key] = row.version;
        }
        // A write whose answer was lost has changed the row, so the write is repeated with the version of the row.
        for (const auto& write : batch.progress)
            this->jobScheduler.setProgressVersion(write.job, versions[write.job]);
    }
    this->jobScheduler.progressNotSaved(batch.progress);
    this->jobScheduler.serverUseNotSaved(batch.serverUse);
    this->maintenanceWrites.insert(this->maintenanceWrites.begin(), batch.maintenance.begin(), batch.maintenance.end());
}

} // namespace waxwinglug::io

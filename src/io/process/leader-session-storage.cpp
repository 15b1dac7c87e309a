// Transactions of the leader: job progress, server use, maintenance, and the counts of pending jobs.
#include "io/process/leader-session.h"

#include "job/server-use.h"

#include <algorithm>
#include <tuple>

namespace waxwinglug::io {
namespace {

    // Minimum time between the starts of two commits. A transaction takes about 9 ms; a slightly later start lets more
    // changes share one transaction.
    constexpr Duration minCommitInterval { 15 };
    // Delay after a failed commit, so that an unavailable store does not receive hundreds of calls.
    constexpr Duration commitRetryDelay { 80 };
    // Part of a transaction's entries that use records of servers may take; the rest is for the progress of jobs.
    constexpr std::size_t maxServersPerCommitPercent = 60;
    constexpr std::size_t entriesPerJob = 2; // a condition and a write
    // The entry limit is not lowered further after rejected transactions: the leader's condition, a heartbeat and one
    // job must fit.
    constexpr std::size_t minTransactionEntries = 4;
    // Nor is the limit of bytes lowered below the encoded size of one row of the largest size and the other entries.
    constexpr std::size_t minTransactionRows = 2;
    constexpr std::size_t maxRemovalsPerTick = 1; // jobs; as many expire as are accepted, a few dozen a second
    // Counts that callers see may be up to 2 s old, and the jobs are known as of up to 0.5 s before they are written.
    constexpr Duration minSummaryInterval { 700 };

} // namespace

std::optional<Duration> LeaderSession::ageOf(const std::optional<TableMoment>& moment) const
{
    if (!this->hasLoaded || !moment)
        return std::nullopt;
    return this->clock.now() - moment->requestedAt;
}

// While the store fails, cancellations cannot be confirmed either, and the validity of the term bounds the starts.
bool LeaderSession::mayStartTasks() const
{
    if (this->hasEnded || !this->leadership.isValid())
        return false;
    const auto age = this->jobTableAge();
    return !this->leadership.lastCommitSucceeded() || (age && *age <= this->maxJobTableAge);
}

std::optional<PendingCounts> LeaderSession::pendingCounts() const
{
    const auto age = this->jobTableAge();
    if (!age || *age > maxPendingCountAge || !this->leadership.isValid())
        return std::nullopt;
    return PendingCounts { this->jobScheduler.pendingJobsByQueue(), *age };
}

// Unchanged counts are written again, with a transaction that is due anyway, because VMs tell callers no old ones.
void LeaderSession::addSummary(BoundedTransaction& transaction)
{
    // While the row that the store rejects is searched, a transaction holds nothing that can wait.
    const bool isSearching = this->transactionLimits.entries < TransactionLimits {}.entries;
    if (isSearching || this->clock.now() - this->summaryWrittenAt < minSummaryInterval || !this->jobsMoment
        || !this->jobsMoment->storeTime)
        return;
    auto waiting = this->jobScheduler.pendingJobsByQueue();
    if (waiting == this->storedSummary && !transaction.changesRows())
        return;
    const RowName name { tables::summary, Leadership::part, tables::summaryKey };
    const PendingSummary summary { waiting, *this->jobsMoment->storeTime, this->fence };
    if (!transaction.tryAdd({ {}, { { name, encodePendingSummary(summary) } }, {} }))
        return;
    this->summaryWrittenAt = this->clock.now();
    this->storedSummary = std::move(waiting);
}

void LeaderSession::storeChanges()
{
    if (this->hasEnded || this->isCommitting || this->clock.now() < this->nextCommitAt)
        return;
    BoundedTransaction transaction(this->transactionLimits);
    Batch batch;
    transaction.tryAdd({ { this->leaderRow }, {}, {} });
    if (this->leadership.isHeartbeatDue())
        transaction.tryAdd({ {}, { this->leadership.heartbeat(false) }, {} });
    if (this->hasLoaded)
        this->takeBatch(transaction, batch);
    if (!transaction.changesRows())
        return;
    this->isCommitting = true;
    this->commitSentAt = this->clock.now();
    this->nextCommitAt = this->clock.now() + minCommitInterval;
    this->platform.store.commit(transaction.take(), commitTimeout,
        this->guarded([this, sentAt = this->clock.now(), batch = std::move(batch)](
                          const TransactionResult& result) { this->onCommit(result, sentAt, batch); }));
}

// Takes the records to store next, as many as fit.
void LeaderSession::takeBatch(BoundedTransaction& transaction, Batch& batch)
{
    batch.maintenance = this->maintenanceRows.moveInto(transaction);
    this->addSummary(transaction);
    this->addServerUse(transaction, batch);
    batch.progress
        = this->jobScheduler.takeUnsavedProgress(transaction.entriesLeft() / entriesPerJob, transaction.bytesLeft());
    for (const auto& write : batch.progress) {
        const RowName name { tables::progress, Leadership::part, write.job };
        transaction.tryAdd({ { { name, write.expectedVersion } }, { { name, write.text } }, {} });
    }
}

// The end of leases is stored as a time of the store, which the next leader can read.
std::string LeaderSession::encodeUse(const JobScheduler::ServerUseRecord& change) const
{
    ServerUse use { *change.record, std::nullopt, this->fence };
    const auto toStoreTime = [this](std::optional<TimePoint> time) -> std::optional<StoreTime> {
        if (!time || !this->jobsMoment || !this->jobsMoment->storeTime)
            return std::nullopt;
        return *this->jobsMoment->storeTime + (*time - this->jobsMoment->requestedAt).count();
    };
    use.leaseEnd = toStoreTime(change.leaseEnd);
    use.strayLeaseEnd = toStoreTime(change.strayLeaseEnd);
    for (const auto& start : change.unansweredStarts)
        use.unansweredStarts.push_back({ start.task, start.run, toStoreTime(start.endsBy) });
    return encodeServerUse(use);
}

// A record that does not fit is taken again later; the server gets no tasks before its record is stored.
void LeaderSession::addServerUse(BoundedTransaction& transaction, Batch& batch)
{
    std::vector<JobScheduler::ServerUseRecord> left;
    const auto maxCount = transaction.entriesLeft() * maxServersPerCommitPercent / 100;
    for (auto& change : this->jobScheduler.takeServerUseChanges(maxCount)) {
        const RowName name { tables::serverUse, Leadership::part, change.server };
        const bool isAdded = change.record ? transaction.tryAdd({ {}, { { name, this->encodeUse(change) } }, {} })
                                           : transaction.tryAdd({ {}, {}, { name } });
        (isAdded ? batch.serverUse : left).push_back(std::move(change));
    }
    this->jobScheduler.serverUseNotSaved(left);
}

// A rejected transaction would be rejected again, so the next one is smaller, until the row that the store rejects is
// alone. That row is given up, because it would hold up all others.
void LeaderSession::handleRejectedCommit(const Batch& batch)
{
    auto& limits = this->transactionLimits;
    limits.entries = std::max(limits.entries / 2, minTransactionEntries);
    limits.bytes = std::max(limits.bytes / 2, limits.rowBytes * minTransactionRows);
    std::string_view largest;
    std::size_t largestBytes = 0;
    const auto compare = [&](std::string_view key, std::size_t bytes) {
        if (bytes >= largestBytes)
            std::tie(largest, largestBytes) = std::tie(key, bytes);
    };
    for (const auto& write : batch.progress)
        compare(write.job, write.text.size());
    for (const auto& row : batch.maintenance)
        compare(row.name.key, row.value.size());
    this->hooks.log("the store rejects a transaction",
        { { "rows", batch.rowCount() }, { "largest", largest }, { "largest_bytes", largestBytes },
            { "next_entries", limits.entries }, { "next_bytes", limits.bytes } });
    if (batch.rowCount() == 1 && !batch.progress.empty())
        this->jobScheduler.progressRefused(batch.progress.front().job);
}

// Returns to the full limits step by step, because the row that the store rejects may still be pending.
void LeaderSession::raiseTransactionLimits()
{
    const TransactionLimits full;
    this->transactionLimits.entries = std::min(this->transactionLimits.entries * 2, full.entries);
    this->transactionLimits.bytes = std::min(this->transactionLimits.bytes * 2, full.bytes);
}

// Removes the rows of jobs that ended long ago. Job rows are in other parts than the rows of the leader, so the removal
// is not conditional on leadership; a late removal by an earlier leader does no harm.
void LeaderSession::removeExpiredJobs()
{
    for (const auto& job : this->jobScheduler.takeExpiredJobs(maxRemovalsPerTick)) {
        this->jobCompaction.removeRow(job);
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

void LeaderSession::compactEndedJobs()
{
    for (const auto& end : this->jobScheduler.takeStoredEnds())
        this->jobCompaction.addEnd(end.job, end.finalState);
    auto batch = this->jobCompaction.takeBatch();
    if (!batch)
        return;
    auto transaction = std::move(batch->transaction);
    this->platform.store.commit(std::move(transaction), commitTimeout,
        this->guarded([this, batch = std::move(*batch)](const TransactionResult& result) {
            this->hooks.log("rows of ended jobs are replaced",
                { { "part", batch.part }, { "jobs", batch.entries.size() },
                    { "status", static_cast<int>(result.status) }, { "pending", this->jobCompaction.pendingCount() } });
            this->jobCompaction.batchAnswered(batch, result);
        }));
}

void LeaderSession::onCommit(const TransactionResult& result, TimePoint sentAt, const Batch& batch)
{
    this->isCommitting = false;
    if (result.status == CommitStatus::Committed) {
        this->leadership.commitConfirmed(sentAt);
        this->jobScheduler.progressSaved(batch.progress, result.version);
        this->jobScheduler.serverUseSaved(batch.serverUse);
        this->raiseTransactionLimits();
        return this->scheduleDispatch();
    }
    this->leadership.commitFailed();
    this->nextCommitAt = this->clock.now() + commitRetryDelay;
    this->hooks.log("progress was not stored",
        { { "status", static_cast<int>(result.status) }, { "jobs", batch.progress.size() },
            { "age_ms", (this->clock.now() - sentAt).count() } });
    this->summaryWrittenAt = {};
    if (result.status == CommitStatus::Conflict) {
        const auto& condition = this->leaderRow;
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
    const bool isRejected = result.status == CommitStatus::Rejected;
    if (!isRejected || batch.rowCount() > 1)
        this->maintenanceRows.restore(batch.maintenance);
    if (isRejected)
        this->handleRejectedCommit(batch);
}

// The operator's rows are in another part than the leader's, so these writes cannot be conditional on leadership. They
// are conditional on the row's version, so that a write that is carried out late cannot replace a later state.
void LeaderSession::sendWaveReports()
{
    for (auto& [number, report] : this->waveReports) {
        if (report.isSending || report.reportedState == (report.completed ? 2 : 1))
            continue;
        report.isSending = true;
        RowTransaction transaction;
        transaction.writes.push_back(this->platform.formats.encodeWaveStatus(report.wave, report.completed));
        transaction.conditions.push_back({ transaction.writes.back().name, report.storedVersion });
        this->platform.store.commit(std::move(transaction), commitTimeout,
            this->guarded([this, &report, completed = report.completed](const TransactionResult& result) {
                report.isSending = false;
                if (result.status == CommitStatus::Committed) {
                    report.reportedState = completed ? 2 : 1;
                    report.storedVersion = result.version;
                } else if (result.status == CommitStatus::Conflict) {
                    report.storedVersion = result.conflicts.empty() ? 0 : result.conflicts.front().version;
                }
            }));
    }
}

void LeaderSession::storePoolSizes()
{
    auto sizes = this->poolMover.initialSizes();
    if (sizes == this->storedPoolSizes)
        return;
    this->maintenanceRows.set({ { tables::maintenance, Leadership::part, tables::poolSizesKey }, Json(sizes).dump() });
    this->storedPoolSizes = std::move(sizes);
}

} // namespace waxwinglug::io

// What the lead stores: progress, servers in use, waves, and the summary of waiting jobs.
#include "io/process/lead-session.h"

#include <algorithm>

namespace waxwinglug::io {
namespace {

    // Least time between the beginnings of two commits. A transaction takes about 9 ms; more changes share one when the
    // next begins a little later.
    constexpr Duration commitInterval { 15 };
    // Pause after a commit that failed; a store that is down gets no hundreds of calls.
    constexpr Duration commitPause { 80 };
    // A transaction holds 100 entries; each job takes a condition and a write, and a few rows of the lead are added.
    constexpr std::size_t jobsPerCommit = 40;
    constexpr std::size_t jobsBesideServers = 20;
    constexpr std::size_t serversPerCommit = 40;
    constexpr std::size_t removalsPerTick = 1; // jobs; ended ones are as many as accepted ones, a few dozen a second
    // Callers may see counts that are 2 s old.
    constexpr Duration summaryInterval { 700 };

} // namespace

void LeadSession::addSummary(RowTransaction& transaction)
{
    if (this->clock.now() - this->summaryAt < summaryInterval)
        return;
    auto waiting = this->jobScheduler.pendingJobsByQueue();
    if (waiting == this->storedSummary)
        return;
    this->summaryAt = this->clock.now();
    transaction.writes.push_back({ { tables::summary, Leadership::part, tables::summaryKey }, Json(waiting).dump() });
    this->storedSummary = std::move(waiting);
}

void LeadSession::storeChanges()
{
    if (this->over || this->committing || this->clock.now() < this->commitAt)
        return;
    RowTransaction transaction;
    Batch batch;
    if (this->loaded) {
        batch.servers = this->jobScheduler.takeServerUseChanges(serversPerCommit);
        batch.jobs = this->jobScheduler.takeUnsavedProgress(batch.servers.empty() ? jobsPerCommit : jobsBesideServers);
        this->addBatch(transaction, batch);
        this->addSummary(transaction);
        batch.upkeep = std::exchange(this->upkeepWrites, {});
        transaction.writes.insert(transaction.writes.end(), batch.upkeep.begin(), batch.upkeep.end());
    }
    if (this->leadership.isHeartbeatDue())
        transaction.writes.push_back(this->leadership.heartbeat(false));
    if (transaction.writes.empty() && transaction.removals.empty())
        return;
    transaction.conditions.push_back(this->leadership.leaderCondition());
    this->committing = true;
    this->commitAt = this->clock.now() + commitInterval;
    this->platform.store.commit(std::move(transaction), commitDeadline,
        this->guarded([this, sentAt = this->clock.now(), batch = std::move(batch)](
                          const TransactionResult& result) { this->onCommit(result, sentAt, batch); }));
}

void LeadSession::addBatch(RowTransaction& transaction, const Batch& batch) const
{
    for (const auto& write : batch.jobs) {
        const RowName name { tables::progress, Leadership::part, write.job };
        transaction.conditions.push_back({ name, write.expectedVersion });
        transaction.writes.push_back({ name, write.text });
    }
    for (const auto& change : batch.servers) {
        const RowName name { tables::servers, Leadership::part, change.server };
        if (change.record)
            transaction.writes.push_back({ name, toJson(*change.record) });
        else
            transaction.removals.push_back(name);
    }
}

// Rows of jobs that ended long ago. Their parts differ from the lead's, so the removal is not conditional on the lead;
// an earlier lead that removes them late does no harm.
void LeadSession::removeExpired()
{
    for (const auto& job : this->jobScheduler.takeExpiredJobs(removalsPerTick)) {
        RowTransaction rows;
        rows.removals = { tables::jobRow(job), tables::cancelRow(job) };
        RowTransaction record;
        record.removals = { { tables::progress, Leadership::part, job } };
        for (auto& transaction : { rows, record })
            this->platform.store.commit(transaction, commitDeadline, [](const TransactionResult&) {
                // A row that stays is removed by the next lead, which finds the job ended.
            });
    }
}

void LeadSession::onCommit(const TransactionResult& result, TimePoint sentAt, const Batch& batch)
{
    this->committing = false;
    if (result.status == CommitStatus::Committed) {
        this->leadership.commitConfirmed(sentAt);
        this->jobScheduler.progressSaved(batch.jobs, result.version);
        this->jobScheduler.serverUseSaved(batch.servers);
        return this->poke();
    }
    this->leadership.commitFailed();
    this->commitAt = this->clock.now() + commitPause;
    this->hooks.log("progress was not stored",
        { { "status", static_cast<int>(result.status) }, { "jobs", batch.jobs.size() },
            { "age_ms", (this->clock.now() - sentAt).count() } });
    this->storedSummary.clear();
    if (result.status == CommitStatus::Conflict) {
        const auto condition = this->leadership.leaderCondition();
        std::map<std::string, std::uint64_t> versions;
        for (const auto& row : result.conflicts) {
            if (row.name == condition.name && row.version != condition.version)
                return this->end("another VM has taken the lead");
            versions[row.name.key] = row.version;
        }
        // A write whose answer was lost has changed the row; its version is taken over and the write repeated.
        for (const auto& write : batch.jobs)
            this->jobScheduler.setProgressVersion(write.job, versions[write.job]);
    }
    this->jobScheduler.progressNotSaved(batch.jobs);
    this->jobScheduler.serverUseNotSaved(batch.servers);
    this->upkeepWrites.insert(this->upkeepWrites.begin(), batch.upkeep.begin(), batch.upkeep.end());
}

} // namespace waxwinglug::io

// Background jobs of one entry VM: queueing, outcomes, retries and the writes of their rows.
#include <waxwinglug/jobs.h>

#include <fmt/format.h>

#include "process/job-rows.h"

#include <algorithm>
#include <utility>

namespace waxwinglug {
namespace {

    std::string keyOf(std::string_view id) { return "jobs/" + std::string(id.substr(0, id.rfind('/'))); }

    std::string serviceOf(std::string_view id) { return std::string(id.substr(0, id.find('/'))); }

} // namespace

JobStore::JobStore(NodeId node, Table hooksOfTable, Clock source, JobOptions jobOptions, JobHooks jobHooks)
    : self(std::move(node))
    , table(std::move(hooksOfTable))
    , clock(std::move(source))
    , options(jobOptions)
    , hooks(std::move(jobHooks))
    , alive(std::make_shared<bool>(true))
{
}

JobStore::~JobStore() { *this->alive = false; }

JobStore::BatchPointer JobStore::batchOf(const std::string& id) const
{
    const auto found = this->ownedBatches.find(keyOf(id));
    return found == this->ownedBatches.end() ? nullptr : found->second;
}

JobStore::Entry* JobStore::entryOf(const std::string& id)
{
    const auto batch = this->batchOf(id);
    if (!batch)
        return nullptr;
    const auto found = batch->jobs.find(id);
    return found == batch->jobs.end() ? nullptr : &found->second;
}

const Job* JobStore::find(const std::string& id) const
{
    const auto batch = this->batchOf(id);
    if (!batch)
        return nullptr;
    const auto found = batch->jobs.find(id);
    return found == batch->jobs.end() ? nullptr : &found->second.job;
}

bool JobStore::isIdle() const
{
    return std::none_of(this->ownedBatches.begin(), this->ownedBatches.end(), [](const auto& entry) {
        return entry.second->isDirty || entry.second->isWriting || entry.second->needsReadBack;
    });
}

std::string JobStore::accept(
    std::string_view service, std::string_view team, bool idempotent, std::string payload, AcceptHandler handler)
{
    auto& batch = this->acceptingBatches[std::string(service)];
    if (!batch || batch->jobs.size() >= this->options.jobsPerRow) {
        batch = std::make_shared<Batch>();
        batch->key
            = fmt::format("jobs/{}/{}.{}.{}", service, this->self.name, this->self.incarnation, ++this->lastSequence);
        this->ownedBatches[batch->key] = batch;
    }
    Entry entry;
    entry.job.id = fmt::format("{}/{}", batch->key.substr(5), batch->jobs.size());
    entry.job.team = team;
    entry.job.idempotent = idempotent;
    entry.job.payload = std::move(payload);
    batch->isDirty = true;
    batch->acceptors.push_back(std::move(handler));
    auto id = entry.job.id;
    batch->jobs[id] = std::move(entry);
    return id;
}

void JobStore::enqueue(const Entry& entry)
{
    if (entry.job.state == JobState::Queued)
        this->readyQueues[serviceOf(entry.job.id)].push_back(entry.job.id);
}

std::string JobStore::startNext(std::string_view service)
{
    const auto found = this->readyQueues.find(service);
    if (found == this->readyQueues.end())
        return {};
    const auto now = this->clock.now();
    for (auto remaining = found->second.size(); remaining > 0; --remaining) {
        auto id = std::move(found->second.front());
        found->second.pop_front();
        auto* entry = this->entryOf(id);
        // Jobs that were cancelled or lost stay in the queue until they are skipped here.
        if (!entry || entry->job.state != JobState::Queued || entry->phase != Phase::Waiting
            || this->batchOf(id)->releasesOwnership)
            continue;
        if (entry->notBefore > now) {
            found->second.push_back(std::move(id));
            continue;
        }
        if (entry->job.idempotent) {
            entry->phase = Phase::Running;
            this->hooks.run(entry->job);
        } else {
            entry->phase = Phase::StoringStart;
            entry->job.state = JobState::Started;
            this->batchOf(id)->isDirty = true;
        }
        return id;
    }
    return {};
}

void JobStore::endJob(Entry& entry, JobState state, std::string_view text)
{
    entry.phase = Phase::Waiting;
    entry.job.state = state;
    (state == JobState::Done ? entry.job.result : entry.job.reason) = text;
    entry.job.endedAt = this->clock.wallNow();
    entry.endSequence = this->lastSequence;
}

void JobStore::scheduleRetry(Entry& entry, bool countsAsAttempt)
{
    entry.phase = Phase::Waiting;
    entry.job.state = JobState::Queued;
    entry.job.attempts += countsAsAttempt ? 1 : 0;
    const auto delay = this->options.initialRetryDelay * (1 << std::min(entry.job.attempts, 10));
    entry.notBefore = this->clock.now() + std::min(delay, this->options.maxRetryDelay);
    this->enqueue(entry);
}

bool JobStore::shouldDeadLetter(const Job& job) const
{
    const auto servers = std::count_if(job.failedOn.begin(), job.failedOn.end(),
        [this](const std::string& server) { return this->succeededServers.contains(server); });
    return static_cast<std::size_t>(servers) >= this->options.failingServerLimit
        || job.attempts >= this->options.maxAttempts;
}

void JobStore::finished(const std::string& id, JobOutcome result, std::string_view server, std::string_view text)
{
    auto* entry = this->entryOf(id);
    if (!entry || entry->phase != Phase::Running)
        return;
    this->batchOf(id)->isDirty = true;
    switch (result) {
    case JobOutcome::Succeeded:
        this->succeededServers.emplace(server);
        this->endJob(*entry, JobState::Done, text);
        break;
    case JobOutcome::NotRun:
        this->scheduleRetry(*entry, false);
        break;
    case JobOutcome::Failed:
    case JobOutcome::Unknown:
        entry->job.failedOn.emplace(server);
        if (!entry->job.idempotent)
            this->endJob(*entry, JobState::DeadLettered, result == JobOutcome::Unknown ? "outcome unknown" : text);
        else if (this->shouldDeadLetter(entry->job))
            this->endJob(*entry, JobState::DeadLettered, fmt::format("fails where other jobs succeed: {}", text));
        else
            this->scheduleRetry(*entry, true);
        break;
    }
}

void JobStore::cancel(const std::vector<std::string>& ids)
{
    for (const auto& id : ids) {
        auto* entry = this->entryOf(id);
        if (!entry || !this->batchOf(id)->isOwnershipStored)
            continue;
        if (entry->phase == Phase::Running) {
            this->hooks.cancelRunning(id);
        } else if (entry->phase == Phase::Waiting && entry->job.state == JobState::Queued) {
            this->endJob(*entry, JobState::DeadLettered, "cancelled");
            this->batchOf(id)->isDirty = true;
        }
    }
}

bool JobStore::remove(const std::string& id)
{
    auto* entry = this->entryOf(id);
    if (!entry || (entry->job.state != JobState::Done && entry->job.state != JobState::DeadLettered))
        return false;
    const auto batch = this->batchOf(id);
    if (batch->storedNonce <= entry->endSequence)
        return false;
    // dropExpired() removes the job before the next write.
    entry->job.endedAt = WallTime {};
    batch->isDirty = true;
    return true;
}

void JobStore::dropExpired(Batch& batch)
{
    const auto now = this->clock.wallNow();
    std::erase_if(batch.jobs, [this, now](const auto& item) {
        const auto& job = item.second.job;
        return (job.state == JobState::Done || job.state == JobState::DeadLettered)
            && job.endedAt + this->options.retentionTime <= now;
    });
}

void JobStore::tick()
{
    int tableCalls = 0;
    auto at = this->ownedBatches.lower_bound(this->cursor);
    for (auto remaining = this->ownedBatches.size(); remaining > 0 && tableCalls < this->options.writesPerTick;
         --remaining) {
        if (at == this->ownedBatches.end())
            at = this->ownedBatches.begin();
        const auto& batch = at->second;
        ++at;
        if (batch->isWriting || (!batch->needsReadBack && !batch->isDirty))
            continue;
        ++tableCalls;
        if (batch->needsReadBack)
            this->readBack(batch);
        else
            this->write(batch);
    }
    this->cursor = at == this->ownedBatches.end() ? std::string() : at->first;
}

std::string JobStore::nonceText(const Batch& batch) const
{
    return fmt::format("{}.{}.{}", this->self.name, this->self.incarnation, batch.nonce);
}

void JobStore::write(const BatchPointer& batch)
{
    this->dropExpired(*batch);
    batch->isDirty = false;
    batch->isWriting = true;
    batch->nonce = ++this->lastSequence;
    // A batch accepts no new jobs once it has been written, so that its row is complete when it is accepted.
    std::erase_if(this->acceptingBatches, [&batch](const auto& item) { return item.second == batch; });
    batch->pendingStarts.clear();
    batch->sentRelease = batch->releasesOwnership;
    detail::BatchRow row { batch->releasesOwnership ? NodeId {} : this->self, this->nonceText(*batch), {} };
    for (const auto& [id, entry] : batch->jobs) {
        row.jobs.push_back(entry.job);
        if (entry.phase == Phase::StoringStart)
            batch->pendingStarts.insert(id);
    }
    RowWrite change { batch->key, std::nullopt, batch->version };
    if (!row.jobs.empty())
        change.value = detail::encodeBatch(row);
    this->table.commit({ std::move(change) }, [this, isAlive = this->alive, batch](CommitResult result) {
        if (*isAlive)
            this->onCommit(batch, result);
    });
}

void JobStore::onCommit(const BatchPointer& batch, const CommitResult& result)
{
    batch->isWriting = false;
    if (result.status == CommitStatus::Unavailable) {
        this->onNotStored(batch);
        return;
    }
    // The commit result carries no version, so the row is read back.
    batch->needsReadBack = true;
    this->readBack(batch);
}

void JobStore::readBack(const BatchPointer& batch)
{
    batch->isWriting = true;
    this->table.read({ batch->key }, [this, isAlive = this->alive, batch](std::optional<std::vector<Row>> rows) {
        if (!*isAlive)
            return;
        batch->isWriting = false;
        if (!rows) {
            // The row may state that the job is started, but it has not been dispatched, so it may start again here.
            this->revertPendingStarts(*batch);
            return;
        }
        batch->needsReadBack = false;
        const auto& row = rows->front();
        const auto content = row.version == 0 ? std::nullopt : detail::decodeBatch(row.value);
        if (content ? content->nonce == this->nonceText(*batch) : batch->jobs.empty())
            this->onStored(batch, row.version);
        else if (row.version == batch->version)
            this->onNotStored(batch);
        else
            this->onOwnershipLost(batch);
    });
}

void JobStore::onStored(const BatchPointer& batch, std::uint64_t version)
{
    batch->version = version;
    batch->storedNonce = batch->nonce;
    if (batch->jobs.empty() || batch->sentRelease) {
        this->ownedBatches.erase(batch->key);
        return;
    }
    for (const auto& id : std::exchange(batch->pendingStarts, {})) {
        auto& entry = batch->jobs.at(id);
        entry.phase = Phase::Running;
        this->hooks.run(entry.job);
    }
    if (std::exchange(batch->isOwnershipStored, true))
        return;
    for (const auto& [id, entry] : batch->jobs)
        this->enqueue(entry);
    for (const auto& handler : std::exchange(batch->acceptors, {}))
        handler(true);
}

// The last write was not applied. Pending starts are aborted, so that their slots do not wait for the store.
void JobStore::onNotStored(const BatchPointer& batch)
{
    if (batch->version == 0) {
        this->ownedBatches.erase(batch->key);
        for (const auto& handler : std::exchange(batch->acceptors, {}))
            handler(false);
        return;
    }
    this->revertPendingStarts(*batch);
}

void JobStore::revertPendingStarts(Batch& batch)
{
    batch.pendingStarts.clear();
    batch.isDirty = true;
    for (auto& [id, entry] : batch.jobs) {
        if (entry.phase != Phase::StoringStart)
            continue;
        this->scheduleRetry(entry, false);
        this->hooks.startAborted(id);
    }
}

// Another node owns the batch now.
void JobStore::onOwnershipLost(const BatchPointer& batch)
{
    this->ownedBatches.erase(batch->key);
    // Only this process creates the row with this key, so the jobs are stored.
    for (const auto& handler : std::exchange(batch->acceptors, {}))
        handler(true);
    for (auto& [id, entry] : batch->jobs) {
        if (entry.phase == Phase::StoringStart)
            this->hooks.startAborted(id);
    }
}

} // namespace waxwinglug

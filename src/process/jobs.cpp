// Background jobs of one entry VM.
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
    const auto found = this->owned.find(keyOf(id));
    return found == this->owned.end() ? nullptr : found->second;
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

bool JobStore::idle() const
{
    return std::none_of(this->owned.begin(), this->owned.end(),
        [](const auto& entry) { return entry.second->dirty || entry.second->writing || entry.second->unsettled; });
}

std::string JobStore::accept(
    std::string_view service, std::string_view team, bool idempotent, std::string payload, AcceptHandler handler)
{
    auto& batch = this->filling[std::string(service)];
    if (!batch || batch->jobs.size() >= this->options.jobsPerRow) {
        batch = std::make_shared<Batch>();
        batch->key
            = fmt::format("jobs/{}/{}.{}.{}", service, this->self.name, this->self.incarnation, ++this->lastNumber);
        this->owned[batch->key] = batch;
    }
    Entry entry;
    entry.job.id = fmt::format("{}/{}", batch->key.substr(5), batch->jobs.size());
    entry.job.team = team;
    entry.job.idempotent = idempotent;
    entry.job.payload = std::move(payload);
    batch->dirty = true;
    batch->acceptors.push_back(std::move(handler));
    auto id = entry.job.id;
    batch->jobs[id] = std::move(entry);
    return id;
}

void JobStore::queue(const Entry& entry)
{
    if (entry.job.state == JobState::Queued)
        this->ready[serviceOf(entry.job.id)].push_back(entry.job.id);
}

std::string JobStore::start(std::string_view service)
{
    const auto found = this->ready.find(service);
    if (found == this->ready.end())
        return {};
    const auto now = this->clock.now();
    for (auto left = found->second.size(); left > 0; --left) {
        auto id = std::move(found->second.front());
        found->second.pop_front();
        auto* entry = this->entryOf(id);
        // Jobs that were cancelled or lost since stay in the list until they are met here.
        if (!entry || entry->job.state != JobState::Queued || entry->phase != Phase::Waiting
            || this->batchOf(id)->handingBack)
            continue;
        if (entry->notBefore > now) {
            found->second.push_back(std::move(id));
            continue;
        }
        if (entry->job.idempotent) {
            entry->phase = Phase::Running;
            this->hooks.run(entry->job);
        } else {
            entry->phase = Phase::Marking;
            entry->job.state = JobState::Started;
            this->batchOf(id)->dirty = true;
        }
        return id;
    }
    return {};
}

void JobStore::end(Entry& entry, JobState state, std::string_view text)
{
    entry.phase = Phase::Waiting;
    entry.job.state = state;
    (state == JobState::Done ? entry.job.result : entry.job.reason) = text;
    entry.job.endedAt = this->clock.wallNow();
    entry.endNumber = this->lastNumber;
}

void JobStore::retryLater(Entry& entry, bool counts)
{
    entry.phase = Phase::Waiting;
    entry.job.state = JobState::Queued;
    entry.job.attempts += counts ? 1 : 0;
    const auto delay = this->options.firstRetry * (1 << std::min(entry.job.attempts, 10));
    entry.notBefore = this->clock.now() + std::min(delay, this->options.longestRetry);
    this->queue(entry);
}

bool JobStore::canNeverRun(const Job& job) const
{
    const auto servers = std::count_if(job.failedOn.begin(), job.failedOn.end(),
        [this](const std::string& server) { return this->succeededServers.contains(server); });
    return static_cast<std::size_t>(servers) >= this->options.failingServers
        || job.attempts >= this->options.mostAttempts;
}

void JobStore::finished(const std::string& id, JobEnd result, std::string_view server, std::string_view text)
{
    auto* entry = this->entryOf(id);
    if (!entry || entry->phase != Phase::Running)
        return;
    this->batchOf(id)->dirty = true;
    switch (result) {
    case JobEnd::Succeeded:
        this->succeededServers.emplace(server);
        this->end(*entry, JobState::Done, text);
        break;
    case JobEnd::NotRun:
        this->retryLater(*entry, false);
        break;
    case JobEnd::Failed:
    case JobEnd::Unknown:
        entry->job.failedOn.emplace(server);
        if (!entry->job.idempotent)
            this->end(*entry, JobState::Parked, result == JobEnd::Unknown ? "outcome unknown" : text);
        else if (this->canNeverRun(entry->job))
            this->end(*entry, JobState::Parked, fmt::format("fails where other jobs succeed: {}", text));
        else
            this->retryLater(*entry, true);
        break;
    }
}

void JobStore::cancel(const std::vector<std::string>& ids)
{
    for (const auto& id : ids) {
        auto* entry = this->entryOf(id);
        if (!entry || !this->batchOf(id)->announced)
            continue;
        if (entry->phase == Phase::Running) {
            this->hooks.cancelRunning(id);
        } else if (entry->phase == Phase::Waiting && entry->job.state == JobState::Queued) {
            this->end(*entry, JobState::Parked, "cancelled");
            this->batchOf(id)->dirty = true;
        }
    }
}

bool JobStore::remove(const std::string& id)
{
    auto* entry = this->entryOf(id);
    if (!entry || (entry->job.state != JobState::Done && entry->job.state != JobState::Parked))
        return false;
    const auto batch = this->batchOf(id);
    if (batch->storedNonce <= entry->endNumber)
        return false;
    // dropOld() drops it before the next write.
    entry->job.endedAt = WallTime {};
    batch->dirty = true;
    return true;
}

void JobStore::dropOld(Batch& batch)
{
    const auto now = this->clock.wallNow();
    std::erase_if(batch.jobs, [this, now](const auto& item) {
        const auto& job = item.second.job;
        return (job.state == JobState::Done || job.state == JobState::Parked)
            && job.endedAt + this->options.keepTime <= now;
    });
}

void JobStore::tick()
{
    int calls = 0;
    auto at = this->owned.lower_bound(this->cursor);
    for (auto left = this->owned.size(); left > 0 && calls < this->options.writesPerTick; --left) {
        if (at == this->owned.end())
            at = this->owned.begin();
        const auto& batch = at->second;
        ++at;
        if (batch->writing || (!batch->unsettled && !batch->dirty))
            continue;
        ++calls;
        if (batch->unsettled)
            this->readBack(batch);
        else
            this->write(batch);
    }
    this->cursor = at == this->owned.end() ? std::string() : at->first;
}

std::string JobStore::nonceText(const Batch& batch) const
{
    return fmt::format("{}.{}.{}", this->self.name, this->self.incarnation, batch.nonce);
}

void JobStore::write(const BatchPointer& batch)
{
    this->dropOld(*batch);
    batch->dirty = false;
    batch->writing = true;
    batch->nonce = ++this->lastNumber;
    // A batch takes no new jobs once it has been written, so that its row is complete when it is accepted.
    std::erase_if(this->filling, [&batch](const auto& item) { return item.second == batch; });
    batch->marks.clear();
    batch->sentHandBack = batch->handingBack;
    detail::BatchRow row { batch->handingBack ? NodeId {} : this->self, this->nonceText(*batch), {} };
    for (const auto& [id, entry] : batch->jobs) {
        row.jobs.push_back(entry.job);
        if (entry.phase == Phase::Marking)
            batch->marks.insert(id);
    }
    RowWrite change { batch->key, std::nullopt, batch->version };
    if (!row.jobs.empty())
        change.value = detail::encodeBatch(row);
    this->table.commit({ std::move(change) }, [this, live = this->alive, batch](CommitResult result) {
        if (*live)
            this->onCommit(batch, result);
    });
}

void JobStore::onCommit(const BatchPointer& batch, const CommitResult& result)
{
    batch->writing = false;
    if (result.status == CommitStatus::Unavailable) {
        this->notStored(batch);
        return;
    }
    // The version of the row is known only from a read.
    batch->unsettled = true;
    this->readBack(batch);
}

void JobStore::readBack(const BatchPointer& batch)
{
    batch->writing = true;
    this->table.read({ batch->key }, [this, live = this->alive, batch](std::optional<std::vector<Row>> rows) {
        if (!*live)
            return;
        batch->writing = false;
        if (!rows) {
            // The job may be marked in the table, but it has not been dispatched: it may start again here.
            this->withdrawMarks(*batch);
            return;
        }
        batch->unsettled = false;
        const auto& row = rows->front();
        const auto content = row.version == 0 ? std::nullopt : detail::decodeBatch(row.value);
        if (content ? content->nonce == this->nonceText(*batch) : batch->jobs.empty())
            this->stored(batch, row.version);
        else if (row.version == batch->version)
            this->notStored(batch);
        else
            this->lost(batch);
    });
}

void JobStore::stored(const BatchPointer& batch, std::uint64_t version)
{
    batch->version = version;
    batch->storedNonce = batch->nonce;
    if (batch->jobs.empty() || batch->sentHandBack) {
        this->owned.erase(batch->key);
        return;
    }
    for (const auto& id : std::exchange(batch->marks, {})) {
        auto& entry = batch->jobs.at(id);
        entry.phase = Phase::Running;
        this->hooks.run(entry.job);
    }
    if (std::exchange(batch->announced, true))
        return;
    for (const auto& [id, entry] : batch->jobs)
        this->queue(entry);
    for (const auto& handler : std::exchange(batch->acceptors, {}))
        handler(true);
}

// The last write was not applied. Marks are withdrawn, so that slots do not wait for the store.
void JobStore::notStored(const BatchPointer& batch)
{
    if (batch->version == 0) {
        this->owned.erase(batch->key);
        for (const auto& handler : std::exchange(batch->acceptors, {}))
            handler(false);
        return;
    }
    this->withdrawMarks(*batch);
}

void JobStore::withdrawMarks(Batch& batch)
{
    batch.marks.clear();
    batch.dirty = true;
    for (auto& [id, entry] : batch.jobs) {
        if (entry.phase != Phase::Marking)
            continue;
        this->retryLater(entry, false);
        this->hooks.notStarted(id);
    }
}

// Another node owns the batch now.
void JobStore::lost(const BatchPointer& batch)
{
    this->owned.erase(batch->key);
    // Only this process writes a row under this key for the first time, so the jobs are stored.
    for (const auto& handler : std::exchange(batch->acceptors, {}))
        handler(true);
    for (auto& [id, entry] : batch->jobs) {
        if (entry.phase == Phase::Marking)
            this->hooks.notStarted(id);
    }
}

} // namespace waxwinglug

// Loads the rows of a new leader, and follows the tables of jobs, servers and entry VMs.
#include "io/process/leader-session.h"

#include "job/ended-job.h"
#include "job/server-use.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace waxwinglug::io {
namespace {

    // How long a new leader waits for the first answers of its relays before it calls servers itself.
    constexpr Duration maxRelayWait { 400 };

    bool isCancellationKey(std::string_view key) { return key.ends_with(tables::cancelSuffix); }

} // namespace

void LeaderSession::start()
{
    this->startedAt = this->clock.now();
    const auto follower = [this](auto apply, std::optional<TableMoment>* moment = nullptr) {
        FollowerHooks follow;
        follow.onCurrent = this->guarded([moment](const TableMoment& latest) {
            if (moment)
                *moment = latest;
        });
        follow.onFullRead = this->guarded([apply](std::span<const StoredRow> rows) { apply(rows, true); });
        follow.onChanges = this->guarded([apply](std::span<const StoredRow> rows) { apply(rows, false); });
        follow.onAnswer = follow.onNoAnswer = [] { /* the followers of FleetNode monitor the store */ };
        follow.log = this->hooks.log;
        follow.pageBudget = this->pageBudget;
        return follow;
    };
    const auto minVersion = this->leaderRow.version;
    this->serverFollower = std::make_unique<TableFollower>(followerTime(this->context, this->clock),
        this->platform.store, this->platform.formats.serverTable, std::vector<std::string> { "" }, minVersion,
        follower([this](auto rows, bool isFullRead) { this->onServers(rows, isFullRead); }, &this->serversMoment));
    this->jobFollower = std::make_unique<TableFollower>(followerTime(this->context, this->clock), this->platform.store,
        tables::jobs, tables::allJobParts(), minVersion,
        follower([this](auto rows, bool isFullRead) { this->onJobs(rows, isFullRead); }, &this->jobsMoment));
    this->entryVmFollower = std::make_unique<TableFollower>(followerTime(this->context, this->clock),
        this->platform.store, tables::entryVms, std::vector<std::string> { tables::entryVmPart }, 0,
        follower([this](auto rows, bool isFullRead) { this->onEntryVms(rows, isFullRead); }));
    this->entryVmFollower->start();
    this->serverFollower->start();
    this->jobFollower->start();
    this->readOnce(tables::serverUse, &LeaderSession::onServersInUse);
    this->readOnce(tables::maintenance, &LeaderSession::onMaintenance);
    // An earlier leader cannot write any more, so the progress may be read before the jobs.
    this->readOnce(tables::progress, &LeaderSession::onProgress);
    this->tick();
}

void LeaderSession::onEntryVms(std::span<const StoredRow> rows, bool isFullRead)
{
    this->readEach(rows, "entry VM row cannot be read", [this](const StoredRow& row) {
        if (row.removed)
            return this->relayedServers->removeVm(row.name.key);
        auto vm = fromJson<EntryVm>(row.value);
        vm.name = row.name.key;
        this->relayedServers->setVm(std::move(vm));
    });
    this->hasLoadedEntryVms = this->hasLoadedEntryVms || isFullRead;
    this->finishLoading();
}

void LeaderSession::onServers(std::span<const StoredRow> rows, bool isFullRead)
{
    std::set<std::string> present;
    for (const auto& row : rows) {
        auto server = this->platform.formats.decodeServer(row);
        if (!server) {
            if (!row.removed)
                this->hooks.log("server row cannot be read", { { "key", row.name.key }, { "version", row.version } });
            this->jobScheduler.removeServer(row.name.key);
            continue;
        }
        present.insert(server->id);
        this->jobScheduler.addServer(std::move(*server));
    }
    if (isFullRead) {
        for (const auto& [id, server] : this->jobScheduler.servers()) {
            if (!present.contains(id))
                this->jobScheduler.removeServer(id);
        }
    }
    this->hasLoadedServers = true;
    this->finishLoading();
    this->scheduleDispatch();
}

void LeaderSession::onJobs(std::span<const StoredRow> rows, bool isFullRead)
{
    if (isFullRead && !this->hasLoaded) {
        this->inheritedJobs.clear();
        this->inheritedCancellations.clear();
    }
    for (const auto& row : rows) {
        if (row.removed) {
            this->jobCompaction.removeRow(row.name.key);
            // A job whose progress was removed with it would run again from its start.
            this->inheritedJobs.erase(row.name.key);
            continue;
        }
        if (isCancellationKey(row.name.key)) {
            const auto job = row.name.key.substr(0, row.name.key.size() - tables::cancelSuffix.size());
            // The progress rows, which are not loaded yet, may show that the job has already ended.
            if (this->hasLoaded)
                this->jobScheduler.cancelJob(job);
            else
                this->inheritedCancellations.insert(job);
            continue;
        }
        if (this->hasLoaded)
            this->addJob(row);
        else
            this->inheritedJobs.insert_or_assign(row.name.key, row);
    }
    if (isFullRead && !this->hasLoadedJobs) {
        this->hasLoadedJobs = true;
        this->finishLoading();
    }
    if (isFullRead && this->hasLoaded) {
        for (const auto& row : rows) {
            if (isCancellationKey(row.name.key))
                this->jobScheduler.cancelJob(row.name.key.substr(0, row.name.key.size() - tables::cancelSuffix.size()));
        }
    }
    this->scheduleDispatch();
}

// Calls `read` for each row. A row that cannot be decoded is logged with the given event, which is also the name of a
// metric, and skipped.
void LeaderSession::readEach(
    std::span<const StoredRow> rows, std::string_view event, const std::function<void(const StoredRow&)>& read)
{
    for (const auto& row : rows) {
        try {
            read(row);
        } catch (const Error& error) {
            this->hooks.log(event, { { "key", row.name.key }, { "problem", error.what() } });
        }
    }
}

void LeaderSession::onProgress(std::span<const StoredRow> rows)
{
    this->inheritedProgress.assign(rows.begin(), rows.end());
    this->hasLoadedProgress = true;
    this->finishLoading();
}

void LeaderSession::addJob(const StoredRow& row)
{
    ++this->receivedJobCount;
    // The progress of an ended job was stored before, so it is known.
    if (decodeEndedJob(row.value))
        return;
    this->readEach({ &row, 1 }, "job row cannot be read", [this](const StoredRow& each) {
        this->jobScheduler.addJob(fromJson<JobSpec>(each.value), !this->hasLoaded);
        this->jobCompaction.addRow(each.name.key, each.version);
    });
}

// Adds the jobs that were stored before this term, with their progress.
void LeaderSession::loadJobs()
{
    std::vector<const StoredRow*> unfinished;
    this->readEach(this->inheritedProgress, "progress row cannot be read", [&](const StoredRow& row) {
        const auto job = this->inheritedJobs.find(row.name.key);
        if (job == this->inheritedJobs.end())
            return;
        const auto finalState = decodeEndedJob(job->second.value);
        if (finalState) {
            this->jobScheduler.addEndedJob(row.name.key, *finalState, row.version);
        } else if (detail::JobTable::isCompleted(row.value)) {
            this->jobScheduler.addEndedJob(row.name.key, JobStatus::Completed, row.version);
            this->jobCompaction.addRow(row.name.key, job->second.version);
            this->jobCompaction.addEnd(row.name.key, JobStatus::Completed);
        } else {
            unfinished.push_back(&row);
            return;
        }
        this->inheritedJobs.erase(job);
    });
    // The progress of an ended job may have been removed by an earlier leader, whose removal of the job's row failed.
    std::erase_if(this->inheritedJobs, [this](const auto& job) {
        const auto finalState = decodeEndedJob(job.second.value);
        if (finalState)
            this->jobScheduler.addEndedJob(job.first, *finalState, 0);
        return finalState.has_value();
    });
    for (const auto& [id, row] : this->inheritedJobs)
        this->addJob(row);
    for (const auto* row : unfinished) {
        this->readEach({ row, 1 }, "progress row cannot be read", [this](const StoredRow& each) {
            this->jobScheduler.loadProgress(each.name.key, each.value, each.version);
        });
    }
    this->inheritedJobs.clear();
    this->inheritedProgress.clear();
}

void LeaderSession::onServersInUse(std::span<const StoredRow> rows)
{
    this->readEach(rows, "server in use cannot be read", [this](const StoredRow& row) {
        const auto use = decodeServerUse(row.value);
        this->jobScheduler.addServerInUse(use.server);
        // A leader of an earlier version does not know of the end, and grants leases beyond it.
        if (use.leaseEnd && use.fence + 1 == this->fence)
            this->inheritedLeaseEnds[use.server.id] = *use.leaseEnd;
        if (use.strayLeaseEnd)
            this->inheritedStrayLeaseEnds[use.server.id] = *use.strayLeaseEnd;
        if (!use.unansweredStarts.empty())
            this->inheritedStarts[use.server.id] = use.unansweredStarts;
    });
    this->hasLoadedServersInUse = true;
    this->finishLoading();
}

// The store's time is later than that of the answer which named it, so the ends are not taken for earlier than they
// are.
void LeaderSession::applyInheritedUse()
{
    const bool isStoreTimeKnown = this->serversMoment && this->serversMoment->storeTime;
    for (const auto& [server, starts] : this->inheritedStarts) {
        for (const auto& start : starts) {
            const auto left = start.endsBy && isStoreTimeKnown
                ? leaseTimeLeft(*start.endsBy, *this->serversMoment->storeTime, this->maxStrayLease)
                : this->maxStrayLease;
            this->jobScheduler.addInheritedStart(server, { start.task, start.run, this->clock.now() + left });
        }
    }
    this->inheritedStarts.clear();
    if (!isStoreTimeKnown)
        return;
    const auto toLocalTime = [this](StoreTime end) {
        return this->clock.now() + leaseTimeLeft(end, *this->serversMoment->storeTime, this->maxInheritedStrayLease);
    };
    for (const auto& [server, end] : this->inheritedLeaseEnds)
        this->jobScheduler.setInheritedLeaseEnd(server, toLocalTime(end));
    for (const auto& [server, end] : this->inheritedStrayLeaseEnds)
        this->jobScheduler.setInheritedStrayLeaseEnd(server, toLocalTime(end));
    this->inheritedLeaseEnds.clear();
    this->inheritedStrayLeaseEnds.clear();
}

void LeaderSession::onMaintenance(std::span<const StoredRow> rows)
{
    this->readEach(rows, "maintenance row cannot be read", [this](const StoredRow& row) {
        if (row.name.key == tables::poolSizesKey)
            this->poolMover.setInitialSizes(fromJson<std::map<std::string, int>>(row.value));
        else
            this->maintainedMachines[row.name.key] = fromJson<std::set<std::string>>(row.value);
    });
    this->hasLoadedMaintenance = true;
    this->finishLoading();
}

// Reads a table once. Later changes are not needed, because only the leader writes these tables.
void LeaderSession::readOnce(const char* table, void (LeaderSession::*apply)(std::span<const StoredRow>))
{
    FollowerHooks follow;
    follow.onFullRead = this->guarded([this, apply](std::span<const StoredRow> rows) { (this->*apply)(rows); });
    follow.onChanges = [](std::span<const StoredRow>) { /* this leader's own writes */ };
    follow.onAnswer = follow.onNoAnswer = [] { /* the followers of FleetNode monitor the store */ };
    follow.log = this->hooks.log;
    follow.pageBudget = this->pageBudget;
    this->initialReaders.push_back(
        std::make_unique<TableFollower>(followerTime(this->context, this->clock), this->platform.store, table,
            std::vector<std::string> { Leadership::part }, this->leaderRow.version, std::move(follow)));
    this->initialReaders.back()->start();
}

void LeaderSession::finishLoading()
{
    if (this->hasLoaded || !this->hasLoadedServers || !this->hasLoadedJobs || !this->hasLoadedProgress
        || !this->hasLoadedServersInUse || !this->hasLoadedMaintenance || !this->hasLoadedEntryVms)
        return;
    if (this->rowsLoadedAt == TimePoint {}) {
        this->rowsLoadedAt = this->clock.now();
        this->phases.rowsRead();
        this->updateRelays();
    }
    if (!this->relayedServers->isReady() && this->clock.now() - this->rowsLoadedAt < maxRelayWait)
        return; // tick() tries again
    const auto decodingSince = this->clock.now();
    this->loadJobs();
    this->applyInheritedUse();
    this->hasLoaded = true;
    this->phases.loaded(this->jobScheduler.unansweredInheritedServers());
    // Deferred, because a reader may be on the call stack.
    boost::asio::post(this->context, this->guarded([this] { this->initialReaders.clear(); }));
    for (const auto& job : this->inheritedCancellations)
        this->jobScheduler.cancelJob(job);
    for (const auto& [number, wave] : this->waves)
        this->machineMaintenance.addWave(wave, this->maintainedMachines[std::to_string(number)]);
    this->hooks.log("lead begins",
        { { "fence", this->fence }, { "jobs", this->jobScheduler.jobs().all().size() },
            { "servers", this->jobScheduler.servers().size() },
            { "rows_ms", (this->rowsLoadedAt - this->startedAt).count() },
            { "relays_ms", (decodingSince - this->rowsLoadedAt).count() },
            { "decode_ms", (this->clock.now() - decodingSince).count() } });
    this->listMachines();
    this->scheduleDispatch();
}

} // namespace waxwinglug::io

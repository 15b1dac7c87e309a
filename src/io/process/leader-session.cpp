// Loads the rows of a new leader, sends orders and handles their answers.
#include "io/process/leader-session.h"

#include "job/ended-job.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace waxwinglug::io {
namespace {

    // Interval of the time-driven work of the scheduler.
    constexpr Duration tickInterval { 50 };
    // Events within this time are handled together: a fleet under peak load has more than one per millisecond, and the
    // search for tasks that can start costs more than most of them.
    constexpr Duration dispatchDelay { 5 };
    // Interval of machine list requests while work waits for an unresponsive server. The list shows a crashed machine
    // after about 0.4 s; without the list its work waits until the lease expires.
    constexpr Duration machineListInterval { 300 };
    // How long a node that reaches few servers does not acquire leadership again. Longer than most partitions between
    // data centres; if no other VM becomes the leader, this one does so after the heartbeat timeout.
    constexpr Duration partitionedCandidacyPause { 6000 };
    constexpr Duration relaySelectionInterval { 500 };
    // How long a new leader waits for the first answers of its relays before it calls servers itself.
    constexpr Duration maxRelayWait { 400 };
    // Key of the row with the initial pool sizes in the maintenance table; the other keys are wave numbers.
    constexpr const char* poolSizesKey = "pools";

    bool isCancellationKey(std::string_view key) { return key.ends_with(tables::cancelSuffix); }

} // namespace

LeaderSession::LeaderSession(boost::asio::io_context& io, AsyncHttpClient& client, const FleetPlatform& fleetPlatform,
    RelaySelection relays, Leadership& nodeLeadership, JobSchedulerRules rules,
    MachineMaintenanceRules maintenanceRules, Clock source, std::shared_ptr<const FleetConfig> config,
    LeaderSessionHooks sessionHooks)
    : context(io)
    , platform(fleetPlatform)
    , leadership(nodeLeadership)
    , clock(source)
    , hooks(std::move(sessionHooks))
    , relayedServers(std::make_shared<RelayedServers>(
          io, client, fleetPlatform.servers, std::move(relays), rules.fence, source, this->relayHooks()))
    , leadershipOffer(std::make_shared<LeadershipOffer>(client, source, rules.fence, this->offerHooks()))
    , servers(this->relayedServers->calls())
    , jobScheduler(rules, source, this->schedulerHooks())
    , jobCompaction(source)
    , maintenanceGate(source)
    , moveGate(source)
    , machineMaintenance(this->jobScheduler, this->machineList, maintenanceRules, source, this->maintenanceHooks())
    , poolMover(this->jobScheduler, this->machineList, PoolRules {}, maintenanceRules.initialQuietPeriod, source,
          this->poolMoverHooks())
    , phases(source, nodeLeadership.predecessorSeenAt(), nodeLeadership.acquireSentAt())
    , fleetConfig(config)
    , tickTimer(io)
    , dispatchTimer(io)
{
    this->jobScheduler.setConfig(std::move(config));
}

RelayedServersHooks LeaderSession::relayHooks()
{
    RelayedServersHooks relay;
    relay.onSuperseded = [this] { this->end("a relay has received orders of a later term"); };
    relay.log = this->hooks.log;
    return relay;
}

LeadershipOfferHooks LeaderSession::offerHooks()
{
    LeadershipOfferHooks offer;
    offer.mayHandOver = [this] { return !this->hasEnded && this->leadership.shouldOfferLeadership(); };
    offer.stopLeading = [this](const std::string& successor) {
        this->hooks.log("leadership is handed over", { { "fence", this->leadership.fence() }, { "to", successor } });
        this->end("another VM reaches the store");
    };
    offer.log = this->hooks.log;
    return offer;
}

JobSchedulerHooks LeaderSession::schedulerHooks()
{
    JobSchedulerHooks scheduler;
    scheduler.start = [this](const ServerRecord& server, const StartOrder& order) {
        this->phases.taskStarted();
        ++this->startCount;
        this->servers.start(server, order,
            this->guarded([this, id = server.id, task = order.task, run = order.run](OrderStatus status) {
                this->jobScheduler.startAnswered(id, task, run, status);
                this->scheduleDispatch();
            }));
    };
    scheduler.stop = [this](const ServerRecord& server, const StopOrder& order) {
        this->servers.stop(server, order,
            this->guarded([this, id = server.id, task = order.task, run = order.run](OrderStatus status) {
                this->jobScheduler.stopAnswered(id, task, run, status);
                this->scheduleDispatch();
            }));
    };
    scheduler.throttle = [this](const ServerRecord& server, const ThrottleOrder& order) {
        this->servers.throttle(server, order, [](OrderStatus) { /* the next report shows the effect */ });
    };
    scheduler.renewLease = [this](const ServerRecord& server, const RenewOrder& order) {
        this->servers.renewLease(server, order,
            this->guarded(
                [this, id = server.id, sentAt = this->clock.now()](OrderStatus status, const RenewReport& report) {
                    ++this->reportCount;
                    this->jobScheduler.renewAnswered(id, sentAt, status, report);
                    this->scheduleDispatch();
                }));
    };
    scheduler.mayStart = [this] { return !this->hasEnded && this->leadership.isValid(); };
    scheduler.onSuperseded = [this] { this->end("a backend server has seen a higher fence"); };
    scheduler.log = this->hooks.log;
    return scheduler;
}

MachineMaintenanceHooks LeaderSession::maintenanceHooks()
{
    MachineMaintenanceHooks maintenance;
    maintenance.orderMaintenance = [this](const std::string& machine, int wave) {
        this->maintenanceGate.sent();
        this->platform.machines.maintain(
            machine, wave, this->leadership.fence(), this->guarded([this, machine, wave](MachineOrderStatus status) {
                this->maintenanceGate.answered(status);
                this->machineMaintenance.orderAnswered(machine, wave, status);
                this->scheduleDispatch();
            }));
    };
    maintenance.mayOrder = [this] { return this->maintenanceGate.isOpen(); };
    maintenance.requestMachineList = [this] { this->listMachines(); };
    maintenance.isMoving = [this](const std::string& machine) { return this->poolMover.isMoving(machine); };
    maintenance.reportProgress = [this](const MachineWave& wave, bool completed, const std::set<std::string>& done) {
        this->maintenanceRows.set(
            { { tables::maintenance, Leadership::part, std::to_string(wave.number) }, Json(done).dump() });
        // Reports of a wave are sent one at a time, so that an older one cannot overwrite a newer one.
        auto& waveReport = this->waveReports[wave.number];
        waveReport.wave = wave;
        waveReport.completed = completed;
        this->sendWaveReports();
    };
    maintenance.log = this->hooks.log;
    return maintenance;
}

PoolMoverHooks LeaderSession::poolMoverHooks()
{
    PoolMoverHooks mover;
    mover.orderMove = [this](const std::string& machine, const std::string& pool) {
        this->moveGate.sent();
        this->platform.machines.move(
            machine, pool, this->leadership.fence(), this->guarded([this, machine, pool](MachineOrderStatus status) {
                this->moveGate.answered(status);
                this->poolMover.orderAnswered(machine, pool, status);
            }));
    };
    mover.mayOrder = [this] { return this->moveGate.isOpen(); };
    mover.requestMachineList = [this] { this->listMachines(); };
    mover.isInMaintenance
        = [this](const std::string& machine) { return this->machineMaintenance.isInMaintenance(machine); };
    mover.log = this->hooks.log;
    return mover;
}

void LeaderSession::listMachines()
{
    if (std::exchange(this->isListingMachines, true))
        return;
    const auto requestedAt = this->clock.now();
    this->machineListRequestedAt = requestedAt;
    this->platform.machines.list(
        this->guarded([this, requestedAt](const std::optional<std::vector<MachineRecord>>& machines) {
            this->isListingMachines = false;
            if (!machines)
                return this->hooks.log("the machine list does not answer", {});
            this->jobScheduler.updateMachines(*machines, requestedAt);
            this->scheduleDispatch();
            this->machineList.replace(*machines, this->clock.now());
        }));
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
    this->maintenanceRows.set({ { tables::maintenance, Leadership::part, poolSizesKey }, Json(sizes).dump() });
    this->storedPoolSizes = std::move(sizes);
}

void LeaderSession::addWave(const MachineWave& wave)
{
    this->waves[wave.number] = wave;
    if (this->hasLoaded)
        this->machineMaintenance.addWave(wave, this->maintainedMachines[std::to_string(wave.number)]);
}

void LeaderSession::setEvacuatedDataCentres(std::set<std::string, std::less<>> dataCentres)
{
    this->jobScheduler.setEvacuatedDataCentres(std::move(dataCentres));
    this->scheduleDispatch();
}

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
    const auto minVersion = this->leadership.leaderCondition().version;
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

void LeaderSession::setConfig(std::shared_ptr<const FleetConfig> config)
{
    this->fleetConfig = config;
    this->jobScheduler.setConfig(std::move(config));
    this->scheduleDispatch();
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

void LeaderSession::updateRelays()
{
    this->relayedServers->failOverdueOrders();
    if (this->clock.now() - this->relaysSelectedAt < relaySelectionInterval)
        return;
    this->relaysSelectedAt = this->clock.now();
    this->relayedServers->select(this->jobScheduler.servers().size());
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
    for (const auto& row : rows) {
        if (row.removed) {
            this->jobCompaction.removeRow(row.name.key);
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
    this->readEach(rows, "server in use cannot be read",
        [this](const StoredRow& row) { this->jobScheduler.addServerInUse(fromJson<ServerRecord>(row.value)); });
    this->hasLoadedServersInUse = true;
    this->finishLoading();
}

void LeaderSession::onMaintenance(std::span<const StoredRow> rows)
{
    for (const auto& row : rows) {
        const auto json = Json::parse(row.value, nullptr, false);
        if (row.name.key == poolSizesKey && json.is_object())
            this->poolMover.setInitialSizes(json.get<std::map<std::string, int>>());
        else if (json.is_array())
            this->maintainedMachines[row.name.key] = json.get<std::set<std::string>>();
    }
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
    this->initialReaders.push_back(std::make_unique<TableFollower>(followerTime(this->context, this->clock),
        this->platform.store, table, std::vector<std::string> { Leadership::part },
        this->leadership.leaderCondition().version, std::move(follow)));
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
    this->hasLoaded = true;
    this->phases.loaded(this->jobScheduler.unansweredInheritedServers());
    // Deferred, because a reader may be on the call stack.
    boost::asio::post(this->context, this->guarded([this] { this->initialReaders.clear(); }));
    for (const auto& job : this->inheritedCancellations)
        this->jobScheduler.cancelJob(job);
    for (const auto& [number, wave] : this->waves)
        this->machineMaintenance.addWave(wave, this->maintainedMachines[std::to_string(number)]);
    this->hooks.log("lead begins",
        { { "fence", this->leadership.fence() }, { "jobs", this->jobScheduler.jobs().all().size() },
            { "servers", this->jobScheduler.servers().size() },
            { "rows_ms", (this->rowsLoadedAt - this->startedAt).count() },
            { "relays_ms", (decodingSince - this->rowsLoadedAt).count() },
            { "decode_ms", (this->clock.now() - decodingSince).count() } });
    this->listMachines();
    this->scheduleDispatch();
}

void LeaderSession::scheduleDispatch()
{
    if (this->hasEnded || this->isDispatchScheduled || !this->hasLoaded)
        return;
    this->isDispatchScheduled = true;
    this->dispatchTimer.expires_after(dispatchDelay);
    this->dispatchTimer.async_wait(this->guarded([this](const boost::system::error_code& error) {
        if (!error)
            this->dispatch();
    }));
}

void LeaderSession::dispatch()
{
    this->isDispatchScheduled = false;
    if (this->leadership.canRenewLeases())
        this->jobScheduler.dispatchChanges();
    this->storeChanges();
}

void LeaderSession::tick()
{
    if (this->hasEnded)
        return;
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait(this->guarded([this](const boost::system::error_code& error) {
        if (!error)
            this->tick();
    }));
    if (!this->leadership.isLeader())
        return this->end("another VM is the leader");
    if (this->hasLoaded)
        this->updateRelays();
    else
        this->finishLoading();
    if (this->hasLoaded && this->leadership.canRenewLeases())
        this->jobScheduler.tick();
    this->recordPhases();
    if (this->hasLoaded && this->clock.now() - this->machineListRequestedAt >= machineListInterval
        && this->jobScheduler.waitsForUnresponsiveServer())
        this->listMachines();
    if (this->leadership.shouldOfferLeadership())
        this->leadershipOffer->offer(this->relayedServers->possibleLeaders());
    if (this->hasLoaded && this->jobScheduler.isPartitioned()) {
        this->hooks.log("most backend servers do not answer", { { "fence", this->leadership.fence() } });
        this->leadership.pauseCandidacy(partitionedCandidacyPause);
        return this->releaseLeadership();
    }
    // While the store fails, servers that start after a move or maintenance are not seen, so no machine is moved or
    // maintained.
    if (this->hasLoaded && this->leadership.isValid() && this->leadership.lastCommitSucceeded()) {
        this->machineMaintenance.tick();
        this->poolMover.tick(*this->fleetConfig);
        this->storePoolSizes();
        this->sendWaveReports();
        this->removeExpiredJobs();
        this->compactEndedJobs();
    }
    this->storeChanges();
}

// Logs the phases of this term once nothing waits for the earlier leader any more.
void LeaderSession::recordPhases()
{
    if (!this->hasLoaded || this->phases.isOver())
        return;
    const auto unanswered = this->jobScheduler.unansweredInheritedServers();
    this->phases.serversUnanswered(unanswered);
    if (unanswered > 0)
        return;
    this->phases.inheritedWorkReleased();
    this->phases.log(this->hooks.log, this->leadership.fence());
}

LeaderWork LeaderSession::work() const
{
    const auto now = this->clock.now();
    LeaderWork work { this->startCount, this->reportCount, this->receivedJobCount,
        this->relayedServers->unansweredOrderCount(), this->relayedServers->oldestUnsentOrderAge(), Duration(0),
        this->jobScheduler.unsavedJobCount(), this->isCommitting ? now - this->commitSentAt : Duration(0) };
    for (const auto& [id, server] : this->jobScheduler.servers()) {
        if (server->isReachable())
            work.oldestReport = std::max(work.oldestReport, now - server->lastReportAt);
    }
    return work;
}

void LeaderSession::releaseLeadership()
{
    if (this->hasEnded)
        return;
    RowTransaction transaction;
    transaction.conditions.push_back(this->leadership.leaderCondition());
    transaction.writes.push_back(this->leadership.heartbeat(true));
    this->platform.store.commit(std::move(transaction), commitTimeout,
        [](const TransactionResult&) { /* if it fails, the heartbeat timeout has the same effect */ });
    this->end("leadership is released");
}

void LeaderSession::end(std::string_view reason)
{
    if (std::exchange(this->hasEnded, true))
        return;
    if (!this->phases.isOver())
        this->phases.log(this->hooks.log, this->leadership.fence());
    this->hooks.log("lead ends", { { "fence", this->leadership.fence() }, { "reason", reason } });
    this->leadership.stepDown();
    // Deferred, because the handler destroys this session, which is still on the call stack.
    boost::asio::post(this->context, [onEnded = this->hooks.onEnded] { onEnded(); });
}

} // namespace waxwinglug::io

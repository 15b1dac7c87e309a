// Sends the orders of a leader and handles their answers.
#include "io/process/leader-session.h"

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

} // namespace

LeaderSession::LeaderSession(boost::asio::io_context& io, AsyncHttpClient& client, const FleetPlatform& fleetPlatform,
    RelaySelection relays, Leadership& nodeLeadership, JobSchedulerRules rules,
    MachineMaintenanceRules maintenanceRules, Clock source, std::shared_ptr<const FleetConfig> config,
    LeaderSessionHooks sessionHooks)
    : context(io)
    , platform(fleetPlatform)
    , leadership(nodeLeadership)
    , leaderRow(nodeLeadership.leaderCondition())
    , fence(nodeLeadership.fence())
    , clock(source)
    , hooks(std::move(sessionHooks))
    , maxJobTableAge(rules.maxJobTableAge)
    , maxInheritedStrayLease(rules.maxInheritedStrayLease())
    , maxStrayLease(rules.maxStrayLease())
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
    , unansweredStartTimer(io)
{
    this->transactionLimits.rowBytes = fleetPlatform.store.maxRowBytes;
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
        this->hooks.log("leadership is handed over", { { "fence", this->fence }, { "to", successor } });
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
            this->guarded([this, id = server.id, task = order.task, run = order.run](const OrderAnswer& answer) {
                this->jobScheduler.startAnswered(id, task, run, answer);
                this->scheduleDispatch();
            }));
    };
    scheduler.stop = [this](const ServerRecord& server, const StopOrder& order) {
        this->servers.stop(server, order,
            this->guarded([this, id = server.id, task = order.task, run = order.run](const OrderAnswer& answer) {
                this->jobScheduler.stopAnswered(id, task, run, answer);
                this->scheduleDispatch();
            }));
    };
    scheduler.throttle = [this](const ServerRecord& server, const ThrottleOrder& order) {
        this->servers.throttle(server, order, [](const OrderAnswer&) { /* the next report shows the effect */ });
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
    scheduler.mayStart = [this] { return this->mayStartTasks(); };
    scheduler.jobsKnownAsOf = [this] { return this->jobsMoment ? this->jobsMoment->requestedAt : TimePoint {}; };
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
            machine, wave, this->fence, this->guarded([this, machine, wave](MachineOrderStatus status) {
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
            machine, pool, this->fence, this->guarded([this, machine, pool](MachineOrderStatus status) {
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

void LeaderSession::setConfig(std::shared_ptr<const FleetConfig> config)
{
    this->fleetConfig = config;
    this->jobScheduler.setConfig(std::move(config));
    this->scheduleDispatch();
}

void LeaderSession::updateRelays()
{
    this->relayedServers->failOverdueOrders();
    if (this->clock.now() - this->relaysSelectedAt < relaySelectionInterval)
        return;
    this->relaysSelectedAt = this->clock.now();
    this->relayedServers->select(this->jobScheduler.servers().size());
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
    this->scheduleUnansweredStarts();
}

void LeaderSession::scheduleUnansweredStarts()
{
    const auto due = this->jobScheduler.nextUnansweredStartAt();
    if (this->hasEnded || this->isCommitting || !due || std::exchange(this->isUnansweredStartScheduled, true))
        return;
    this->unansweredStartTimer.expires_after(std::max(dispatchDelay, Duration(*due - this->clock.now())));
    this->unansweredStartTimer.async_wait(this->guarded([this](const boost::system::error_code& error) {
        if (error)
            return;
        this->isUnansweredStartScheduled = false;
        this->storeChanges();
        this->scheduleUnansweredStarts();
    }));
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
    if (!this->leadership.isLeader() || this->leadership.fence() != this->fence)
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
        this->hooks.log("most backend servers do not answer", { { "fence", this->fence } });
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
    this->scheduleUnansweredStarts();
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
    this->phases.log(this->hooks.log, this->fence);
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
    transaction.conditions.push_back(this->leaderRow);
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
        this->phases.log(this->hooks.log, this->fence);
    this->hooks.log("lead ends", { { "fence", this->fence }, { "reason", reason } });
    this->leadership.stepDown();
    // Deferred, because the handler destroys this session, which is still on the call stack.
    boost::asio::post(this->context, [onEnded = this->hooks.onEnded] { onEnded(); });
}

} // namespace waxwinglug::io

// Loading, orders and storing of the lead.
#include "io/process/lead-session.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace waxwinglug::io {
namespace {

    // How often the scheduler does what only time makes due.
    constexpr Duration tickInterval { 50 };
    // Events of this time are handled together; a fleet at its peak has more than one a millisecond, and looking for
    // what can start costs more than most of them.
    constexpr Duration reactDelay { 5 };
    // Time between two readings of the machine list while work waits for a silent server. A crashed machine is shown
    // after about 0.4 s; without the list its work waits for the end of its lease.
    constexpr Duration silentListInterval { 300 };
    // How long a node that reaches few servers leaves the lead to others. Longer than a partition between data centres
    // usually lasts; if nobody else takes it, silence brings it back.
    constexpr Duration cutOffPause { 6000 };
    // The row of the upkeep table with the first sizes of the pools; the others are named by numbers of waves.
    constexpr const char* poolsKey = "pools";

    bool isCancel(std::string_view key) { return key.ends_with(tables::cancelSuffix); }

} // namespace

LeadSession::LeadSession(boost::asio::io_context& io, const FleetPlatform& fleetPlatform, Leadership& lead,
    JobSchedulerRules rules, MachineMaintenanceRules upkeepRules, Clock source,
    std::shared_ptr<const FleetConfig> config, LeadHooks leadHooks)
    : context(io)
    , platform(fleetPlatform)
    , leadership(lead)
    , clock(source)
    , hooks(std::move(leadHooks))
    , jobScheduler(rules, source, this->schedulerHooks())
    , machineUpkeep(this->jobScheduler, this->machineList, upkeepRules, source, this->upkeepHooks())
    , poolMover(this->jobScheduler, this->machineList, PoolRules {}, upkeepRules.initialQuietPeriod, source,
          this->moverHooks())
    , fleetConfig(config)
    , ticker(io)
    , reactor(io)
{
    this->jobScheduler.setConfig(std::move(config));
}

JobSchedulerHooks LeadSession::schedulerHooks()
{
    JobSchedulerHooks scheduler;
    scheduler.start = [this](const ServerRecord& server, const StartOrder& order) {
        this->platform.servers.start(server, order,
            this->guarded([this, id = server.id, task = order.task, run = order.run](OrderStatus status) {
                this->jobScheduler.startAnswered(id, task, run, status);
                this->poke();
            }));
    };
    scheduler.stop = [this](const ServerRecord& server, const StopOrder& order) {
        this->platform.servers.stop(server, order,
            this->guarded([this, id = server.id, task = order.task, run = order.run](OrderStatus status) {
                this->jobScheduler.stopAnswered(id, task, run, status);
                this->poke();
            }));
    };
    scheduler.throttle = [this](const ServerRecord& server, const ThrottleOrder& order) {
        this->platform.servers.throttle(server, order, [](OrderStatus) { /* the next report shows the effect */ });
    };
    scheduler.renewLease = [this](const ServerRecord& server, const RenewOrder& order) {
        this->platform.servers.renewLease(server, order,
            this->guarded(
                [this, id = server.id, sentAt = this->clock.now()](OrderStatus status, const RenewReport& report) {
                    this->jobScheduler.renewAnswered(id, sentAt, status, report);
                    this->poke();
                }));
    };
    scheduler.mayStart = [this] { return !this->over && this->leadership.isValid(); };
    scheduler.onSuperseded = [this] { this->end("a backend server has seen a later lead"); };
    scheduler.log = this->hooks.log;
    return scheduler;
}

MachineMaintenanceHooks LeadSession::upkeepHooks()
{
    MachineMaintenanceHooks upkeep;
    upkeep.orderMaintenance = [this](const std::string& machine, int wave) {
        this->platform.machines.maintain(
            machine, wave, this->leadership.fence(), this->guarded([this, machine, wave](MachineOrderStatus status) {
                this->machineUpkeep.orderAnswered(machine, wave, status);
                this->poke();
            }));
    };
    upkeep.requestMachineList = [this] { this->listMachines(); };
    upkeep.isMoving = [this](const std::string& machine) { return this->poolMover.isMoving(machine); };
    upkeep.reportProgress = [this](const MachineWave& wave, bool completed, const std::set<std::string>& done) {
        this->upkeepWrites.push_back(
            { { tables::upkeep, Leadership::part, std::to_string(wave.number) }, Json(done).dump() });
        // A report that is under way goes first; an older one must not overwrite a newer one.
        auto& waveReport = this->waveReports[wave.number];
        waveReport.wave = wave;
        waveReport.completed = completed;
        this->sendReports();
    };
    upkeep.log = this->hooks.log;
    return upkeep;
}

PoolMoverHooks LeadSession::moverHooks()
{
    PoolMoverHooks mover;
    mover.orderMove = [this](const std::string& machine, const std::string& pool) {
        this->platform.machines.move(
            machine, pool, this->leadership.fence(), this->guarded([this, machine, pool](MachineOrderStatus status) {
                this->poolMover.orderAnswered(machine, pool, status);
            }));
    };
    mover.requestMachineList = [this] { this->listMachines(); };
    mover.isInMaintenance = [this](const std::string& machine) { return this->machineUpkeep.isInMaintenance(machine); };
    mover.log = this->hooks.log;
    return mover;
}

void LeadSession::listMachines()
{
    if (std::exchange(this->listing, true))
        return;
    const auto askedAt = this->clock.now();
    this->machinesAskedAt = askedAt;
    this->platform.machines.list(
        this->guarded([this, askedAt](const std::optional<std::vector<MachineRecord>>& machines) {
            this->listing = false;
            if (!machines)
                return this->hooks.log("the machine list does not answer", {});
            this->jobScheduler.updateMachines(*machines, askedAt);
            this->poke();
            this->machineList.replace(*machines, this->clock.now());
        }));
}

// The operator's rows lie in another part than the lead's, so they cannot share a transaction with them. A completed
// wave stays completed, so a late write of an earlier lead does no harm once this one has completed it as well.
void LeadSession::sendReports()
{
    for (auto& [number, report] : this->waveReports) {
        if (report.sending || report.sent == (report.completed ? 2 : 1))
            continue;
        report.sending = true;
        RowTransaction transaction;
        transaction.writes.push_back(this->platform.formats.encodeWaveStatus(report.wave, report.completed));
        this->platform.store.commit(std::move(transaction), commitDeadline,
            this->guarded([this, &report, completed = report.completed](const TransactionResult& result) {
                report.sending = false;
                if (result.status == CommitStatus::Committed)
                    report.sent = completed ? 2 : 1;
            }));
    }
}

void LeadSession::storePoolSizes()
{
    auto sizes = this->poolMover.initialSizes();
    if (sizes == this->storedSizes)
        return;
    this->upkeepWrites.push_back({ { tables::upkeep, Leadership::part, poolsKey }, Json(sizes).dump() });
    this->storedSizes = std::move(sizes);
}

void LeadSession::addWave(const MachineWave& wave)
{
    this->waves[wave.number] = wave;
    if (this->loaded)
        this->machineUpkeep.addWave(wave, this->maintainedMachines[std::to_string(wave.number)]);
}

void LeadSession::start()
{
    const auto follower = [this](auto apply) {
        FollowerHooks follow;
        follow.whole = this->guarded([apply](std::span<const StoredRow> rows) { apply(rows, true); });
        follow.changes = this->guarded([apply](std::span<const StoredRow> rows) { apply(rows, false); });
        follow.heard = follow.silent = [] { /* the followers of the node watch the store */ };
        follow.log = this->hooks.log;
        return follow;
    };
    const auto least = this->leadership.leaderCondition().version;
    this->serverFollower = std::make_unique<TableFollower>(this->context, this->platform.store,
        this->platform.formats.serverTable, std::vector<std::string> { "" }, least,
        follower([this](auto rows, bool whole) { this->onServers(rows, whole); }));
    this->jobFollower = std::make_unique<TableFollower>(this->context, this->platform.store, tables::jobs,
        tables::allJobParts(), least, follower([this](auto rows, bool whole) { this->onJobs(rows, whole); }));
    this->serverFollower->start();
    this->jobFollower->start();
    this->readOnce(tables::servers, &LeadSession::onEnrolled);
    this->readOnce(tables::upkeep, &LeadSession::onUpkeep);
    this->tick();
}

void LeadSession::setConfig(std::shared_ptr<const FleetConfig> config)
{
    this->fleetConfig = config;
    this->jobScheduler.setConfig(std::move(config));
    this->poke();
}

void LeadSession::onServers(std::span<const StoredRow> rows, bool whole)
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
    if (whole) {
        for (const auto& [id, server] : this->jobScheduler.servers()) {
            if (!present.contains(id))
                this->jobScheduler.removeServer(id);
        }
    }
    this->serversLoaded = true;
    this->finishLoading();
    this->poke();
}

void LeadSession::onJobs(std::span<const StoredRow> rows, bool whole)
{
    for (const auto& row : rows) {
        if (row.removed)
            continue;
        if (isCancel(row.name.key)) {
            const auto job = row.name.key.substr(0, row.name.key.size() - tables::cancelSuffix.size());
            // Progress that is not loaded yet may say that the job has ended in another way.
            if (this->loaded)
                this->jobScheduler.cancelJob(job);
            else
                this->inheritedCancels.insert(job);
            continue;
        }
        try {
            this->jobScheduler.addJob(fromJson<JobSpec>(row.value), !this->loaded);
        } catch (const Error& error) {
            this->hooks.log("job row cannot be read", { { "key", row.name.key }, { "problem", error.what() } });
        }
    }
    if (whole && !this->jobsLoaded) {
        this->jobsLoaded = true;
        this->readOnce(tables::progress, &LeadSession::onProgress);
    }
    if (whole && this->loaded) {
        for (const auto& row : rows) {
            if (isCancel(row.name.key))
                this->jobScheduler.cancelJob(row.name.key.substr(0, row.name.key.size() - tables::cancelSuffix.size()));
        }
    }
    this->poke();
}

// A row that cannot be read is logged and left out.
void LeadSession::readEach(
    std::span<const StoredRow> rows, std::string_view problem, const std::function<void(const StoredRow&)>& read)
{
    for (const auto& row : rows) {
        try {
            read(row);
        } catch (const Error& error) {
            this->hooks.log(problem, { { "key", row.name.key }, { "problem", error.what() } });
        }
    }
}

void LeadSession::onProgress(std::span<const StoredRow> rows)
{
    this->readEach(rows, "progress row cannot be read",
        [this](const StoredRow& row) { this->jobScheduler.loadProgress(row.name.key, row.value, row.version); });
    this->progressLoaded = true;
    this->finishLoading();
}

void LeadSession::onEnrolled(std::span<const StoredRow> rows)
{
    this->readEach(rows, "server in use cannot be read",
        [this](const StoredRow& row) { this->jobScheduler.addServerInUse(fromJson<ServerRecord>(row.value)); });
    this->enrolledLoaded = true;
    this->finishLoading();
}

void LeadSession::onUpkeep(std::span<const StoredRow> rows)
{
    for (const auto& row : rows) {
        const auto json = Json::parse(row.value, nullptr, false);
        if (row.name.key == poolsKey && json.is_object())
            this->poolMover.setInitialSizes(json.get<std::map<std::string, int>>());
        else if (json.is_array())
            this->maintainedMachines[row.name.key] = json.get<std::set<std::string>>();
    }
    this->upkeepLoaded = true;
    this->finishLoading();
}

// Reads a table once; it is not followed afterwards, because only the lead writes it.
void LeadSession::readOnce(const char* table, void (LeadSession::*apply)(std::span<const StoredRow>))
{
    FollowerHooks follow;
    follow.whole = this->guarded([this, apply](std::span<const StoredRow> rows) { (this->*apply)(rows); });
    follow.changes = [](std::span<const StoredRow>) { /* our own writes */ };
    follow.heard = follow.silent = [] { /* the followers of the node watch the store */ };
    follow.log = this->hooks.log;
    this->readers.push_back(std::make_unique<TableFollower>(this->context, this->platform.store, table,
        std::vector<std::string> { Leadership::part }, this->leadership.leaderCondition().version, std::move(follow)));
    this->readers.back()->start();
}

void LeadSession::finishLoading()
{
    if (this->loaded || !this->serversLoaded || !this->progressLoaded || !this->enrolledLoaded || !this->upkeepLoaded)
        return;
    this->loaded = true;
    // A reader may be on the stack.
    boost::asio::post(this->context, this->guarded([this] { this->readers.clear(); }));
    for (const auto& job : this->inheritedCancels)
        this->jobScheduler.cancelJob(job);
    for (const auto& [number, wave] : this->waves)
        this->machineUpkeep.addWave(wave, this->maintainedMachines[std::to_string(number)]);
    this->hooks.log("lead begins",
        { { "fence", this->leadership.fence() }, { "jobs", this->jobScheduler.jobs().all().size() },
            { "servers", this->jobScheduler.servers().size() } });
    this->listMachines();
    this->poke();
}

void LeadSession::poke()
{
    if (this->over || this->reacting || !this->loaded)
        return;
    this->reacting = true;
    this->reactor.expires_after(reactDelay);
    this->reactor.async_wait(this->guarded([this](const boost::system::error_code& error) {
        if (!error)
            this->react();
    }));
}

void LeadSession::react()
{
    this->reacting = false;
    if (this->leadership.canRenewLeases())
        this->jobScheduler.dispatchChanges();
    this->storeChanges();
}

void LeadSession::tick()
{
    if (this->over)
        return;
    this->ticker.expires_after(tickInterval);
    this->ticker.async_wait(this->guarded([this](const boost::system::error_code& error) {
        if (!error)
            this->tick();
    }));
    if (!this->leadership.isLeader())
        return this->end("another VM has the lead");
    if (this->loaded && this->leadership.canRenewLeases())
        this->jobScheduler.tick();
    if (this->loaded && this->clock.now() - this->machinesAskedAt >= silentListInterval
        && this->jobScheduler.waitsForUnresponsiveServer())
        this->listMachines();
    if (this->loaded && this->jobScheduler.isPartitioned()) {
        this->hooks.log("most backend servers do not answer", { { "fence", this->leadership.fence() } });
        this->leadership.pauseCandidacy(cutOffPause);
        return this->release();
    }
    // Without the store the servers that come after a move or maintenance are not seen, so machines stay where they
    // are.
    if (this->loaded && this->leadership.isValid() && this->leadership.lastCommitSucceeded()) {
        this->machineUpkeep.tick();
        this->poolMover.tick(*this->fleetConfig);
        this->storePoolSizes();
        this->sendReports();
        this->removeExpired();
    }
    this->storeChanges();
}

void LeadSession::release()
{
    if (this->over)
        return;
    RowTransaction transaction;
    transaction.conditions.push_back(this->leadership.leaderCondition());
    transaction.writes.push_back(this->leadership.heartbeat(true));
    this->platform.store.commit(std::move(transaction), commitDeadline,
        [](const TransactionResult&) { /* without it, silence tells the same */ });
    this->end("the lead is handed over");
}

void LeadSession::end(std::string_view reason)
{
    if (std::exchange(this->over, true))
        return;
    this->hooks.log("lead ends", { { "fence", this->leadership.fence() }, { "reason", reason } });
    this->leadership.stepDown();
    // The session is still on the stack of its caller.
    boost::asio::post(this->context, [ended = this->hooks.ended] { ended(); });
}

} // namespace waxwinglug::io

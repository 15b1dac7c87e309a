// JobScheduler: registration, use, cordoning and removal of backend servers.
#include "job/scheduler.h"

#include <algorithm>
#include <utility>

namespace waxwinglug {

using detail::LeaseEndRecord;
using detail::RunEvidence;
using detail::Server;
using detail::Task;

namespace {

    // With fewer servers in use, unresponsive ones are no evidence that this node is partitioned.
    constexpr int minServersForPartition = 4;
    // How long a server has been unresponsive when the end of its leases is stored for the next leader. After a change
    // of leaders, most servers answer within 0.4 s.
    constexpr Duration leaseEndRecordDelay { 1000 };
    // How long a start has had no answer when it is recorded for the next leader; a few round trips.
    constexpr Duration unansweredStartDelay { 30 };

} // namespace

// Adds a server that is not known yet; its first renewal is due at once.
Server& JobScheduler::createServer(const ServerRecord& record)
{
    auto& server = *this->serverMap.emplace(record.id, std::make_unique<Server>()).first->second;
    server.serial = ++this->lastServerSerial;
    server.orderFence = this->latestOrderFence;
    this->scheduleRenewal(server, TimePoint {});
    return server;
}

// Replaces the server's record and updates the indexes of servers by service and by machine.
void JobScheduler::updateRecord(Server& server, ServerRecord record)
{
    if (server.record.service != record.service) {
        this->removeFromService(server);
        if (!server.record.service.empty())
            server.formerServices.insert(server.record.service);
        auto& others = this->serviceServers[record.service];
        others.insert(std::ranges::lower_bound(others, record.id, {},
                          [](const Server* other) -> const std::string& { return other->record.id; }),
            &server);
    }
    if (server.record.machine != record.machine) {
        this->removeFromMachine(server);
        this->machineServers[record.machine].push_back(&server);
    }
    server.record = std::move(record);
}

void JobScheduler::removeFromMachine(Server& server)
{
    const auto place = this->machineServers.find(server.record.machine);
    if (place == this->machineServers.end())
        return;
    std::erase(place->second, &server);
    if (place->second.empty())
        this->machineServers.erase(place);
}

void JobScheduler::addServer(ServerRecord record)
{
    const auto place = this->serverMap.find(record.id);
    const bool isNew = place == this->serverMap.end();
    auto& server = isNew ? this->createServer(record) : *place->second;
    if (isNew) {
        this->hooks.log("backend server listed",
            { { "server", record.id }, { "service", record.service }, { "machine", record.machine },
                { "rack", record.rack } });
    } else if (record.startedAt < server.record.startedAt && record.startedAt != server.answeredIncarnation) {
        return; // a row of an earlier incarnation
    }
    const bool mayHaveRestarted = !isNew && record.startedAt > server.record.startedAt;
    if (record.draining && !server.record.draining)
        this->hooks.log("backend server drains", { { "server", record.id } });
    this->updateRecord(server, std::move(record));
    if (mayHaveRestarted)
        this->expectIncarnation(server, "its row");
    server.registered = true;
    this->mayLackUseRecords = true;
    const auto& added = server.record;
    server.cordoned = this->cordonedMachines.contains(added.machine);
    server.maintenancePending = this->maintenancePendingMachines.contains(added.machine);
    this->changedServices.insert(added.service);
}

// A machine runs one server at a time, so servers that started earlier on this machine no longer exist. `latest` must
// have answered: the row of another writer may name any machine and any start.
void JobScheduler::endEarlierIncarnations(const Server& latest)
{
    for (auto* other : this->serversOn(latest.record.machine)) {
        if (other != &latest && !other->removed && other->record.startedAt < latest.record.startedAt)
            this->markRemoved(*other, "a later server runs on its machine");
    }
}

void JobScheduler::markRemoved(Server& server, std::string_view reason)
{
    this->endIncarnation(server, reason);
    server.removed = true;
}

std::span<Server* const> JobScheduler::serversOn(std::string_view machine) const
{
    const auto place = this->machineServers.find(std::string(machine));
    return place == this->machineServers.end() ? std::span<Server* const> {} : std::span(place->second);
}

void JobScheduler::removeFromService(Server& server)
{
    const auto place = this->serviceServers.find(server.record.service);
    if (place == this->serviceServers.end())
        return;
    std::erase(place->second, &server);
    if (place->second.empty())
        this->serviceServers.erase(place);
}

// Called before the server is erased.
void JobScheduler::removeFromIndexes(Server& server)
{
    this->removeFromMachine(server);
    this->removeFromService(server);
    this->renewalQueue.erase({ server.nextRenewalAt, server.serial });
    this->fullReporters.erase(&server);
    if (server.isInUnstoredList)
        std::erase(this->unstoredServers, &server);
}

void JobScheduler::addServerInUse(const ServerRecord& record)
{
    const auto place = this->serverMap.find(record.id);
    const bool isNew = place == this->serverMap.end();
    auto& server = isNew ? this->createServer(record) : *place->second;
    if (isNew) {
        this->updateRecord(server, record);
        server.registered = false;
    } else if (server.record.service != record.service) {
        server.formerServices.insert(record.service);
    }
    // Its row is older than the record: the earlier leader has heard of a later incarnation from the server itself.
    server.record.startedAt = std::max(server.record.startedAt, record.startedAt);
    server.useRecorded = server.record.startedAt == record.startedAt;
    server.inherited = true;
    server.unresponsiveSince = this->termStartedAt;
    // The earlier leader may not have known of the incarnation that the server's row names.
    if (!server.useRecorded)
        this->expectStrayOrders(server);
}

void JobScheduler::expectStrayOrders(Server& server)
{
    const auto lastOrderAt = std::max(this->clock.now(), this->termStartedAt + this->rules.earlierLeaderStartWindow);
    server.strayLeaseEnd = lastOrderAt + this->rules.maxStrayLease();
    server.isUseRecordOutdated = true;
    this->mayLackUseRecords = true;
}

void JobScheduler::setInheritedLeaseEnd(std::string_view id, TimePoint end)
{
    const auto place = this->serverMap.find(id);
    // The record of another incarnation says nothing about the present one.
    if (place == this->serverMap.end() || !place->second->inherited || !place->second->useRecorded)
        return;
    auto& server = *place->second;
    server.inheritedLeaseEnd = end;
    server.leaseEndRecord = LeaseEndRecord::Unconfirmed;
    this->mayLackUseRecords = true;
    this->hooks.log("leases of an unresponsive server are known to end",
        { { "server", id }, { "left_ms", (end - this->clock.now()).count() } });
}

void JobScheduler::setInheritedStrayLeaseEnd(std::string_view id, TimePoint end)
{
    const auto place = this->serverMap.find(id);
    if (place == this->serverMap.end() || !place->second->inherited || !place->second->useRecorded
        || end <= this->clock.now())
        return;
    place->second->strayLeaseEnd = end;
    this->hooks.log("stray orders may have created leases on a backend server",
        { { "server", id }, { "left_ms", (end - this->clock.now()).count() } });
}

void JobScheduler::addInheritedStart(std::string_view serverId, const UnansweredStart& start)
{
    const auto now = this->clock.now();
    const auto place = this->serverMap.find(serverId);
    if (place == this->serverMap.end() || start.endsBy <= now
        || this->judgeEvidence(start.task, now) != EvidenceUse::Apply)
        return;
    auto& server = *place->second;
    auto& job = *this->jobTable.find(start.task.job);
    auto& task = *job.find(start.task);
    this->dropInheritedStart(start.task, task, start.run);
    if (task.phase != detail::TaskPhase::Waiting || start.run < task.run)
        return;
    this->assignRun(job, start.task, server, start.run, detail::TaskPhase::Unconfirmed, RunEvidence::None,
        start.endsBy - this->rules.maxStrayLease());
    this->hooks.log("task waits for a start of an earlier leader that got no answer",
        { { "job", start.task.job }, { "task", detail::taskText(start.task) }, { "run", start.run },
            { "server", serverId }, { "left_ms", (start.endsBy - now).count() } });
}

std::vector<JobScheduler::UnansweredStart> JobScheduler::unansweredStarts(const Server& server) const
{
    std::vector<UnansweredStart> starts;
    for (const auto& [id, run] : server.runs) {
        // The answer to a start does not name the incarnation, so a run in doubt may be in the next one too.
        if (run.task->evidence == RunEvidence::None || run.task->phase == detail::TaskPhase::Unconfirmed)
            starts.push_back({ id, run.number, run.task->startedAt + this->rules.maxStrayLease() });
    }
    return starts;
}

std::optional<TimePoint> JobScheduler::nextUnansweredStartAt() const
{
    if (this->recentStarts.empty())
        return std::nullopt;
    return this->recentStarts.front().sentAt + unansweredStartDelay;
}

void JobScheduler::findUnansweredStarts()
{
    for (; !this->recentStarts.empty(); this->recentStarts.pop_front()) {
        const auto& start = this->recentStarts.front();
        if (this->clock.now() - start.sentAt < unansweredStartDelay)
            return;
        const auto server = this->serverMap.find(start.server);
        if (server == this->serverMap.end())
            continue;
        const auto run = server->second->runs.find(start.task);
        if (run == server->second->runs.end() || run->second.number != start.run
            || run->second.task->evidence != RunEvidence::None)
            continue;
        this->hooks.log("start without an answer is recorded",
            { { "job", start.task.job }, { "task", detail::taskText(start.task) }, { "run", start.run },
                { "server", start.server } });
        server->second->isUseRecordOutdated = true;
        this->mayLackUseRecords = true;
    }
}

TimePoint JobScheduler::inheritedLeaseEnd(const Server& server) const
{
    // No order of an earlier leader creates a lease that lasts longer.
    const auto maxEnd = this->termStartedAt + this->rules.maxInheritedStrayLease();
    if (server.inheritedLeaseEnd)
        return std::min(maxEnd, *server.inheritedLeaseEnd);
    const auto end = this->termStartedAt + this->rules.maxInheritedLease;
    return server.strayLeaseEnd && this->rules.fence > 1 ? std::max(end, std::min(maxEnd, *server.strayLeaseEnd)) : end;
}

bool JobScheduler::mayHaveInheritedRuns(const Server& server) const
{
    return server.inherited && this->clock.now() <= this->inheritedLeaseEnd(server);
}

std::size_t JobScheduler::unansweredInheritedServers() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->serverMap, [this](const auto& entry) { return this->mayHaveInheritedRuns(*entry.second); }));
}

bool JobScheduler::waitsForUnresponsiveServer() const
{
    return std::ranges::any_of(this->serverMap, [this](const auto& entry) {
        const auto& server = *entry.second;
        return !server.removed && !server.isReachable() && (this->mayHaveInheritedRuns(server) || !server.runs.empty());
    });
}

// The list shows a crashed machine as down, and a machine that is only unreachable as up with the same server. It is
// applied only to servers that were already unresponsive when it was requested: other servers may have started after
// the list was made.
void JobScheduler::updateMachines(std::span<const MachineRecord> machines, TimePoint askedAt)
{
    for (const auto& machine : machines) {
        const bool down = machine.state == MachineState::Down;
        for (auto* server : this->serversOn(machine.machine)) {
            if (server->removed || server->isReachable() || server->unresponsiveSince == TimePoint {}
                || askedAt < server->unresponsiveSince || (!down && server->record.id == machine.server))
                continue;
            if (down)
                this->handleCrash(*server, askedAt);
            else
                this->markRemoved(*server, "its machine runs another server");
        }
    }
}

// The server may start again under the same id, and may have done so before the list was made. A run whose start was
// answered before the list was requested ended with the machine if the server has left a later renewal unanswered.
void JobScheduler::handleCrash(Server& server, TimePoint askedAt)
{
    const auto hasEnded = [&server, askedAt](const Task& task) {
        return task.evidence == RunEvidence::Report
            || (task.evidence == RunEvidence::Answer && server.missedRenewalSentAt > task.confirmedAt
                && askedAt > task.confirmedAt);
    };
    const bool isKnown = !server.fenceConfirmed && !server.inherited;
    if (!isKnown)
        this->hooks.log("backend server has crashed with its machine",
            { { "server", server.record.id }, { "runs", server.runs.size() } });
    this->endRunsOfIncarnation(server, hasEnded);
    if (isKnown)
        return;
    this->resetIncarnation(server);
    server.isDown = true;
    // The next leader has to know of runs that may be in the server's next incarnation.
    if (!server.runs.empty())
        server.isUseRecordOutdated = this->mayLackUseRecords = true;
    else
        this->removedServers.push_back(server.record.id);
}

std::vector<JobScheduler::ServerUseRecord> JobScheduler::takeServerUseChanges(std::size_t maxCount)
{
    this->findUnansweredStarts();
    std::vector<ServerUseRecord> changes;
    while (changes.size() < maxCount && !this->removedServers.empty()) {
        // A server that answers again under the same id may be in use again.
        const auto server = this->serverMap.find(this->removedServers.back());
        if (server == this->serverMap.end() || !server->second->useRecorded)
            changes.push_back({ this->removedServers.back(), std::nullopt });
        this->removedServers.pop_back();
    }
    if (!this->mayLackUseRecords)
        return changes;
    this->mayLackUseRecords = false;
    for (const auto& [id, server] : this->serverMap) {
        if (changes.size() >= maxCount) {
            this->mayLackUseRecords = true;
            break;
        }
        if (auto change = this->nextUseRecord(*server))
            changes.push_back(std::move(*change));
    }
    return changes;
}

bool JobScheduler::lacksLeaseEndRecord(const Server& server) const
{
    if (!server.useRecorded || server.removed || server.leaseEndRecord == LeaseEndRecord::Stored)
        return false;
    const bool hasAnswered = server.answeredIncarnation.has_value();
    // What an earlier leader has stored is passed on at once, because this term may be short.
    if (!hasAnswered && server.inheritedLeaseEnd)
        return true;
    // A server that may have started again has no known lease.
    const bool isLeaseKnown = hasAnswered ? server.fenceConfirmed : server.inherited;
    return isLeaseKnown && server.missedRenewals > 0
        && this->clock.now() - server.unresponsiveSince >= leaseEndRecordDelay;
}

std::optional<JobScheduler::ServerUseRecord> JobScheduler::nextUseRecord(Server& server) const
{
    const bool isNewInUse = !server.useRecorded && server.registered;
    const bool isBack = server.leaseEndRecord != LeaseEndRecord::None;
    // The stored record of a server that is in use, or was before it may have started again, is replaced.
    const bool isOutdated = server.isUseRecordOutdated && (server.useRecorded || server.inherited || server.isDown);
    ServerUseRecord change { server.record.id, server.record };
    change.unansweredStarts = this->unansweredStarts(server);
    if (server.strayLeaseEnd && *server.strayLeaseEnd > this->clock.now())
        change.strayLeaseEnd = server.strayLeaseEnd;
    if ((server.isReachable() && (isNewInUse || isBack)) || isOutdated) {
        server.isUseRecordOutdated = false;
        // Nothing runs on a machine that is down, and its next incarnation can run nothing but the recorded starts.
        if (server.isDown) {
            server.leaseEndRecord = LeaseEndRecord::Unconfirmed;
            change.leaseEnd = this->clock.now();
        }
        return change;
    }
    if (!this->lacksLeaseEndRecord(server))
        return std::nullopt;
    server.leaseEndRecord = LeaseEndRecord::Unconfirmed;
    change.leaseEnd = server.answeredIncarnation ? server.leaseExpiry() : this->inheritedLeaseEnd(server);
    return change;
}

void JobScheduler::serverUseSaved(std::span<const ServerUseRecord> stored)
{
    for (const auto& change : stored) {
        const auto server = this->serverMap.find(change.server);
        if (server == this->serverMap.end() || !change.record)
            continue;
        auto& used = *server->second;
        if (change.leaseEnd) {
            used.leaseEndRecord = LeaseEndRecord::Stored;
            continue;
        }
        used.useRecorded = true;
        // Leases are granted again from now on.
        if (std::exchange(used.leaseEndRecord, LeaseEndRecord::None) != LeaseEndRecord::None)
            this->scheduleRenewal(used, this->clock.now());
        this->changedServices.insert(change.record->service);
    }
}

void JobScheduler::serverUseNotSaved(std::span<const ServerUseRecord> failed)
{
    for (const auto& change : failed) {
        if (!change.record) {
            this->removedServers.push_back(change.server);
            continue;
        }
        this->mayLackUseRecords = true;
        const auto server = this->serverMap.find(change.server);
        if (server != this->serverMap.end() && (!change.leaseEnd || server->second->isDown))
            server->second->isUseRecordOutdated = true;
    }
}

void JobScheduler::removeServer(std::string_view id)
{
    const auto place = this->serverMap.find(id);
    if (place == this->serverMap.end() || !place->second->registered)
        return;
    place->second->registered = false;
    place->second->unregisteredAt = this->clock.now();
    this->hooks.log("backend server is no longer listed", { { "server", id }, { "runs", place->second->runs.size() } });
}

void JobScheduler::serverStopped(std::string_view id)
{
    const auto server = this->serverMap.find(id);
    if (server != this->serverMap.end())
        this->markRemoved(*server->second, "its machine was moved");
}

bool JobScheduler::isPartitioned() const
{
    int inUse = 0;
    int unresponsive = 0;
    for (const auto& [id, server] : this->serverMap) {
        if (!server->useRecorded || !server->registered)
            continue;
        ++inUse;
        unresponsive += server->missedRenewals > 0;
    }
    return inUse >= minServersForPartition && unresponsive * 2 > inUse;
}

void JobScheduler::setEvacuatedDataCentres(std::set<std::string, std::less<>> dataCentres)
{
    this->evacuatedDataCentres = std::move(dataCentres);
    for (const auto& [service, jobs] : this->activeJobs)
        this->changedServices.insert(service);
}

void JobScheduler::setCordoned(std::string_view machine, bool closing)
{
    if (closing)
        this->cordonedMachines.emplace(machine);
    else
        this->cordonedMachines.erase(std::string(machine));
    for (auto* server : this->serversOn(machine))
        server->cordoned = closing;
}

void JobScheduler::setMaintenancePending(std::string_view machine, bool due)
{
    if (due)
        this->maintenancePendingMachines.emplace(machine);
    else
        this->maintenancePendingMachines.erase(std::string(machine));
    for (auto* server : this->serversOn(machine))
        server->maintenancePending = due;
}

bool JobScheduler::hasLongRunningTasks(const Server& server)
{
    return std::ranges::any_of(server.runs, [](const auto& entry) { return entry.second.spec().longRunning; });
}

const Server* JobScheduler::serverOnMachine(std::string_view machine) const
{
    // A server that has answered is preferred: the row of another writer may name any machine and any start.
    const auto rank = [](const Server& server) {
        return std::pair(server.answeredIncarnation.has_value(), server.record.startedAt);
    };
    const Server* latest = nullptr;
    for (const auto* server : this->serversOn(machine)) {
        if (server->registered && (!latest || rank(*latest) < rank(*server)))
            latest = server;
    }
    return latest;
}

// Abandons the runs of servers whose leases have expired, and erases servers that no longer exist.
void JobScheduler::dropUnresponsiveServers()
{
    const auto now = this->clock.now();
    for (auto& [id, server] : this->serverMap) {
        if (server->inherited && !this->mayHaveInheritedRuns(*server))
            server->inherited = false;
        if (server->missedRenewals == 0)
            continue;
        this->mayLackUseRecords = this->mayLackUseRecords || this->lacksLeaseEndRecord(*server);
        const bool leaseOver = server->isLeaseExpired(now);
        if (leaseOver)
            this->abandonLeasedRuns(*server);
        // The next leader need not wait for this server. Its use is recorded again before it gets its next task.
        if (server->useRecorded && !server->inherited && leaseOver && server->runs.empty()) {
            server->useRecorded = false;
            this->removedServers.push_back(id);
        }
        if (!server->fenceConfirmed)
            this->abandonDoubtfulRuns(*server);
    }
    std::erase_if(this->serverMap, [this](const auto& entry) {
        const auto& server = *entry.second;
        const bool isErasable = server.removed
            || (!server.registered && server.runs.empty() && server.missedRenewals > 0 && !server.inherited
                && !server.renewing);
        if (isErasable) {
            this->removeFromIndexes(*entry.second);
            this->removedServers.push_back(entry.first);
        }
        return isErasable;
    });
}

} // namespace waxwinglug

// Backend servers that are listed, in use, wanted by maintenance, or gone.
#include "job/scheduler.h"

#include <algorithm>

namespace waxwinglug {

using detail::Server;

namespace {

    // With fewer servers, silent ones say little about this node.
    constexpr int leastServersForCut = 4;
    // An order without an answer is carried out at most 12 s later, and leases end at most 10 s after that.
    constexpr Duration longestDoubt { 22'000 };

} // namespace

// Takes over the record, and lists the server under its machine.
void JobScheduler::placeOnMachine(Server& server, ServerRecord record)
{
    if (server.record.machine != record.machine) {
        this->leaveMachine(server);
        this->machineServers[record.machine].push_back(&server);
    }
    server.record = std::move(record);
}

void JobScheduler::leaveMachine(Server& server)
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
    auto& place = this->serverMap[record.id];
    if (!place) {
        place = std::make_unique<Server>();
        this->hooks.log("backend server listed",
            { { "server", record.id }, { "service", record.service }, { "machine", record.machine },
                { "rack", record.rack } });
    } else if (record.startedAt < place->record.startedAt) {
        return; // a row of an earlier life
    } else if (record.startedAt > place->record.startedAt) {
        this->beginNewLife(*place);
    }
    if (record.draining && !place->record.draining)
        this->hooks.log("backend server drains", { { "server", record.id } });
    this->placeOnMachine(*place, std::move(record));
    place->registered = true;
    const auto& added = place->record;
    place->cordoned = this->closingMachines.contains(added.machine);
    place->maintenancePending = this->dueMachines.contains(added.machine);
    this->endEarlierLives(*place);
    this->touched.insert(added.service);
}

// A machine runs one server at a time, so a later one shows that the earlier ones are gone.
void JobScheduler::endEarlierLives(const Server& latest)
{
    for (auto* other : this->serversOn(latest.record.machine)) {
        if (other != &latest && !other->removed && other->record.startedAt < latest.record.startedAt)
            this->endForGood(*other, "a later server lives on its machine");
    }
}

void JobScheduler::endForGood(Server& server, std::string_view reason)
{
    this->endLife(server, reason);
    server.removed = true;
}

std::span<Server* const> JobScheduler::serversOn(std::string_view machine) const
{
    const auto place = this->machineServers.find(std::string(machine));
    return place == this->machineServers.end() ? std::span<Server* const> {} : std::span(place->second);
}

void JobScheduler::addServerInUse(const ServerRecord& record)
{
    const auto* later = record.machine.empty() ? nullptr : this->serverOnMachine(record.machine);
    if (later && later->record.id != record.id && later->record.startedAt > record.startedAt) {
        this->discharged.push_back(record.id);
        return;
    }
    auto& place = this->serverMap[record.id];
    if (!place) {
        place = std::make_unique<Server>();
        this->placeOnMachine(*place, record);
        place->registered = false;
    }
    place->useRecorded = place->record.startedAt == record.startedAt;
    place->inherited = true;
    place->unresponsiveSince = this->begunAt;
}

bool JobScheduler::waitsForUnresponsiveServer() const
{
    return std::ranges::any_of(this->serverMap, [this](const auto& entry) {
        const auto& server = *entry.second;
        const bool mayRun = server.inherited && this->clock.now() - this->begunAt <= this->rules.maxInheritedLease;
        return !server.removed && !server.isReachable() && (mayRun || !server.runs.empty());
    });
}

// The list shows a crashed machine as down, and one that is only cut off as up with the same server. It counts only for
// servers that were silent before it was asked for: others may be newer than the list.
void JobScheduler::updateMachines(std::span<const MachineRecord> machines, TimePoint askedAt)
{
    for (const auto& machine : machines) {
        const bool down = machine.state == MachineState::Down;
        for (auto* server : this->serversOn(machine.machine)) {
            if (server->removed || server->isReachable() || server->unresponsiveSince == TimePoint {}
                || askedAt < server->unresponsiveSince || (!down && server->record.id == machine.server))
                continue;
            if (down)
                this->crashed(*server);
            else
                this->endForGood(*server, "its machine runs another server");
        }
    }
}

// The server may start again under its id.
void JobScheduler::crashed(Server& server)
{
    if (!server.fenceConfirmed && !server.inherited)
        return; // known already
    this->hooks.log("backend server has crashed with its machine",
        { { "server", server.record.id }, { "runs", server.runs.size() } });
    this->endConfirmedRuns(server);
    this->forgetLife(server);
    this->discharged.push_back(server.record.id);
}

std::vector<JobScheduler::ServerUseRecord> JobScheduler::takeServerUseChanges(std::size_t most)
{
    std::vector<ServerUseRecord> changes;
    while (changes.size() < most && !this->discharged.empty()) {
        // A server that answers again under its old id may be in use again.
        const auto server = this->serverMap.find(this->discharged.back());
        if (server == this->serverMap.end() || !server->second->useRecorded)
            changes.push_back({ this->discharged.back(), std::nullopt });
        this->discharged.pop_back();
    }
    for (const auto& [id, server] : this->serverMap) {
        if (changes.size() >= most)
            break;
        if (!server->useRecorded && server->isReachable() && server->registered)
            changes.push_back({ id, server->record });
    }
    return changes;
}

void JobScheduler::serverUseSaved(std::span<const ServerUseRecord> stored)
{
    for (const auto& change : stored) {
        const auto server = this->serverMap.find(change.server);
        if (server == this->serverMap.end() || !change.record)
            continue;
        server->second->useRecorded = true;
        this->touched.insert(change.record->service);
    }
}

void JobScheduler::serverUseNotSaved(std::span<const ServerUseRecord> failed)
{
    for (const auto& change : failed) {
        if (!change.record)
            this->discharged.push_back(change.server);
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
        this->endForGood(*server->second, "its machine was moved");
}

bool JobScheduler::isPartitioned() const
{
    int used = 0;
    int silent = 0;
    for (const auto& [id, server] : this->serverMap) {
        if (!server->useRecorded || !server->registered)
            continue;
        ++used;
        silent += server->missedRenewals > 0;
    }
    return used >= leastServersForCut && silent * 2 > used;
}

void JobScheduler::setCordoned(std::string_view machine, bool closing)
{
    if (closing)
        this->closingMachines.emplace(machine);
    else
        this->closingMachines.erase(std::string(machine));
    for (auto* server : this->serversOn(machine))
        server->cordoned = closing;
}

void JobScheduler::setMaintenancePending(std::string_view machine, bool due)
{
    if (due)
        this->dueMachines.emplace(machine);
    else
        this->dueMachines.erase(std::string(machine));
    for (auto* server : this->serversOn(machine))
        server->maintenancePending = due;
}

bool JobScheduler::hasLongRunningTasks(const Server& server)
{
    return std::ranges::any_of(server.runs, [](const auto& entry) { return entry.second.spec().longRunning; });
}

const Server* JobScheduler::serverOnMachine(std::string_view machine) const
{
    const Server* latest = nullptr;
    for (const auto* server : this->serversOn(machine)) {
        if (server->registered && (!latest || latest->record.startedAt < server->record.startedAt))
            latest = server;
    }
    return latest;
}

// Gives up the runs of servers whose leases are over, and forgets servers that are gone.
void JobScheduler::dropLostServers()
{
    const auto now = this->clock.now();
    const bool inheritedLeasesOver = now - this->begunAt > this->rules.maxInheritedLease;
    for (auto& [id, server] : this->serverMap) {
        if (server->inherited && inheritedLeasesOver)
            server->inherited = false;
        if (server->missedRenewals == 0)
            continue;
        const bool leaseOver = server->isLeaseExpired(now);
        // The next lead need not wait for it. It is stored again before it gets its next task.
        if (server->useRecorded && !server->inherited && leaseOver) {
            server->useRecorded = false;
            this->discharged.push_back(id);
        }
        if (server->runs.empty())
            continue;
        if (leaseOver)
            this->loseRuns(*server, "its lease is over");
        else if (!server->fenceConfirmed && now - server->incarnationSeenAt > longestDoubt)
            this->loseRuns(*server, "its new life has not answered");
    }
    std::erase_if(this->serverMap, [this](const auto& entry) {
        const auto& server = *entry.second;
        const bool gone = server.removed
            || (!server.registered && server.runs.empty() && server.missedRenewals > 0 && !server.inherited
                && !server.renewing);
        if (gone) {
            this->leaveMachine(*entry.second);
            this->discharged.push_back(entry.first);
        }
        return gone;
    });
}

} // namespace waxwinglug

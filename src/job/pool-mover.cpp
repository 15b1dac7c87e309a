// Orders of moves and what became of them.
#include "job/pool-mover.h"

#include <algorithm>
#include <vector>

namespace waxwinglug {
namespace {

    // Time between two readings of the machine list while machines are on the move, and otherwise.
    constexpr Duration busyListInterval { 700 };
    constexpr Duration calmListInterval { 5000 };
    // An order without an answer is repeated after this time; its answer takes at most 1.5 s.
    constexpr Duration orderRepeat { 2000 };
    // A refused order is not repeated earlier than this.
    constexpr Duration refusedPause { 500 };
    // An earlier lead that works sees within this time that it has lost the lead; one poll of the store takes 0.5 s.
    constexpr Duration earlierLeadStops { 1000 };
    // A move takes about 1.5 s after its order, and the clocks of servers and VMs may differ by a second or two.
    constexpr Duration settlingSlack { 4000 };
    // A machine that has not arrived after this time is looked at afresh.
    constexpr Duration longestMove { 8000 };

} // namespace

PoolMover::PoolMover(JobScheduler& jobScheduler, const MachineList& list, PoolRules rules, Duration quiet, Clock source,
    PoolMoverHooks moverHooks)
    : scheduler(jobScheduler)
    , machineList(list)
    , initialQuietPeriod(quiet)
    , clock(std::move(source))
    , hooks(std::move(moverHooks))
    , begunAt(clock.now())
    , balance(rules)
{
}

void PoolMover::tick(const FleetConfig& config)
{
    const auto now = this->clock.now();
    const bool hasStandby = std::ranges::any_of(config.services, &ServiceSpec::standby);
    if (!hasStandby || this->fenced)
        return;
    if (now - this->askedAt >= (this->moves.empty() ? calmListInterval : busyListInterval)) {
        this->askedAt = now;
        this->hooks.requestMachineList();
    }
    if (now - this->begunAt < std::min(this->initialQuietPeriod, earlierLeadStops) || !this->machineList.isRead())
        return;
    this->followMoves();
    this->startMoves(config);
}

void PoolMover::followMoves()
{
    const auto now = this->clock.now();
    for (auto place = this->moves.begin(); place != this->moves.end();) {
        const auto current = place++;
        const auto& machine = current->first;
        auto& move = current->second;
        const auto* record = this->machineList.find(machine);
        const auto* server = this->scheduler.serverOnMachine(machine);
        const bool arrived = server && server->record.id != move.oldServer && server->record.service == move.to;
        const bool listedThere = record && record->pool == move.to && record->state == MachineState::Up
            && this->machineList.readAt > move.since;
        if (move.accepted && (arrived || listedThere || now - move.since > longestMove)) {
            this->scheduler.setCordoned(machine, false);
            this->moves.erase(current);
        } else if (!move.accepted && now >= move.repeatAt) {
            this->order(machine, move);
        }
    }
}

// A move or maintenance begins a new life, so the start of the life shows that there was none lately.
bool PoolMover::isLongSettled(const detail::Server* server) const
{
    return server && this->clock.wallNow() - server->record.startedAt > this->initialQuietPeriod + settlingSlack;
}

void PoolMover::startMoves(const FleetConfig& config)
{
    const bool quiet = this->clock.now() - this->begunAt < this->initialQuietPeriod;
    std::vector<PoolDemand> demands;
    demands.reserve(config.services.size());
    for (const auto& service : config.services)
        demands.push_back({ service.name, service.standby, this->scheduler.requiredMillicores(service.name),
            this->scheduler.requiredServers(service.name) });
    std::vector<PoolMachine> machines;
    for (const auto& [name, record] : this->machineList.machines) {
        PoolMachine machine { name, record.pool, 0, false, false };
        const auto* server = this->scheduler.serverOnMachine(name);
        const auto move = this->moves.find(name);
        machine.processor = server ? server->record.capacity.cpu : record.capacity.cpu;
        if (server)
            machine.service = server->record.service;
        if (move != this->moves.end()) {
            machine.service = move->second.to;
            machine.moving = true;
        } else if (server) {
            machine.movable = server->runs.empty() && server->orphans.empty() && server->isReachable()
                && !server->cordoned && !server->record.draining && !this->hooks.isInMaintenance(name);
        } else {
            machine.movable
                = record.state == MachineState::Up && record.server.empty() && !this->hooks.isInMaintenance(name);
        }
        machine.movable = machine.movable && (!quiet || this->isLongSettled(server));
        machines.push_back(std::move(machine));
    }
    for (const auto& move : this->balance.decide(demands, machines, this->clock.now())) {
        if (this->refused.contains({ move.machine, move.to }))
            continue;
        const auto* server = this->scheduler.serverOnMachine(move.machine);
        auto& started = this->moves[move.machine];
        started.to = move.to;
        started.oldServer = server ? server->record.id : "";
        this->scheduler.setCordoned(move.machine, true);
        this->order(move.machine, started);
    }
}

void PoolMover::order(const std::string& machine, Move& move)
{
    move.since = this->clock.now();
    move.repeatAt = move.since + orderRepeat;
    this->hooks.log("machine is moved to another pool",
        { { "machine", machine }, { "pool", move.to }, { "server", move.oldServer },
            { "needed_cpu", this->scheduler.requiredMillicores(move.to) } });
    this->hooks.orderMove(machine, move.to);
}

void PoolMover::orderAnswered(const std::string& machine, const std::string& pool, MachineOrderStatus status)
{
    const auto move = this->moves.find(machine);
    if (move == this->moves.end() || move->second.to != pool || move->second.accepted)
        return;
    const auto now = this->clock.now();
    switch (status) {
    case MachineOrderStatus::Accepted:
        move->second.accepted = true;
        move->second.since = now;
        this->scheduler.serverStopped(move->second.oldServer);
        return;
    case MachineOrderStatus::FenceTooLow:
        this->hooks.log("a later lead moves machines", { { "machine", machine } });
        this->fenced = true;
        return;
    case MachineOrderStatus::Invalid:
    case MachineOrderStatus::NotInWave:
        this->refused.emplace(machine, pool);
        [[fallthrough]];
    case MachineOrderStatus::Busy:
        this->hooks.log("machine cannot be moved", { { "machine", machine }, { "pool", pool } });
        this->scheduler.setCordoned(machine, false);
        this->moves.erase(move);
        return;
    case MachineOrderStatus::Refused:
        move->second.repeatAt = now + refusedPause;
        return;
    case MachineOrderStatus::Unknown:
        return; // repeated; the platform accepts a move that was carried out
    }
}

} // namespace waxwinglug

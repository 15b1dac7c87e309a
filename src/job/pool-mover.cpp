// Orders of moves, their answers, and the arrival of machines.
#include "job/pool-mover.h"

#include <algorithm>
#include <vector>

namespace waxwinglug {
namespace {

    // Time between two reads of the machine list while a move is in progress, and otherwise.
    constexpr Duration activeListInterval { 700 };
    constexpr Duration idleListInterval { 5000 };
    // An order without an answer is repeated after this time; an answer takes at most 1.5 s.
    constexpr Duration orderRepeatDelay { 2000 };
    // A refused order is not repeated earlier than this.
    constexpr Duration refusedOrderDelay { 500 };
    // A running predecessor learns of its lost leadership timeLimit this time; one poll of the store takes 0.5 s.
    constexpr Duration predecessorStopTime { 1000 };
    // A move ends about 1.5 s after its order, and the clocks of servers and VMs may differ by 1 s to 2 s.
    constexpr Duration moveTimeMargin { 4000 };
    // A move is no longer tracked after this time, and the machine is considered for moves again.
    constexpr Duration maxMoveTime { 8000 };

} // namespace

PoolMover::PoolMover(JobScheduler& jobScheduler, const MachineList& list, PoolRules rules, Duration quietPeriod,
    Clock source, PoolMoverHooks moverHooks)
    : scheduler(jobScheduler)
    , machineList(list)
    , initialQuietPeriod(quietPeriod)
    , clock(std::move(source))
    , hooks(std::move(moverHooks))
    , startedAt(clock.now())
    , balancer(rules)
{
}

void PoolMover::tick(const FleetConfig& config)
{
    const auto now = this->clock.now();
    const bool hasStandby = std::ranges::any_of(config.services, &ServiceSpec::standby);
    if (!hasStandby || this->isFenced)
        return;
    if (now - this->listRequestedAt >= (this->moves.empty() ? idleListInterval : activeListInterval)) {
        this->listRequestedAt = now;
        this->hooks.requestMachineList();
    }
    if (now - this->startedAt < std::min(this->initialQuietPeriod, predecessorStopTime) || !this->machineList.isRead())
        return;
    this->followMoves();
    this->startMoves(config);
}

void PoolMover::followMoves()
{
    const auto now = this->clock.now();
    for (auto next = this->moves.begin(); next != this->moves.end();) {
        const auto current = next++;
        const auto& machine = current->first;
        auto& move = current->second;
        const auto* record = this->machineList.find(machine);
        const auto* server = this->scheduler.serverOnMachine(machine);
        const bool hasArrived
            = server && server->record.id != move.previousServer && server->record.service == move.targetPool;
        const bool isListedThere = record && record->pool == move.targetPool && record->state == MachineState::Up
            && this->machineList.readAt > move.changedAt;
        if (move.isAccepted && (hasArrived || isListedThere || now - move.changedAt > maxMoveTime)) {
            this->scheduler.setCordoned(machine, false);
            this->moves.erase(current);
        } else if (!move.isAccepted && now >= move.repeatAt && this->hooks.mayOrder()) {
            this->order(machine, move);
        }
    }
}

// A move or maintenance starts a new server, so a server that has run for long shows that neither was recent.
bool PoolMover::hasNoRecentMove(const detail::Server* server) const
{
    return server && this->clock.wallNow() - server->record.startedAt > this->initialQuietPeriod + moveTimeMargin;
}

void PoolMover::startMoves(const FleetConfig& config)
{
    const bool isQuiet = this->clock.now() - this->startedAt < this->initialQuietPeriod;
    std::vector<PoolDemand> demands;
    demands.reserve(config.services.size());
    for (const auto& service : config.services)
        demands.push_back({ service.name, service.standby, this->scheduler.requiredMillicores(service.name),
            this->scheduler.requiredServers(service.name) });
    std::vector<PoolMachine> machines;
    for (const auto& [name, record] : this->machineList.machines) {
        PoolMachine machine { name, record.pool, 0, false, false };
        const auto* server = this->scheduler.serverOnMachine(name);
        // A machine that gets no tasks adds nothing to its pool or to another one.
        if (this->scheduler.isEvacuated(server ? server->record.dataCentre : record.dataCentre))
            continue;
        const auto move = this->moves.find(name);
        machine.millicores = server ? server->record.capacity.cpu : record.capacity.cpu;
        if (server)
            machine.service = server->record.service;
        if (move != this->moves.end()) {
            machine.service = move->second.targetPool;
            machine.isMoving = true;
        } else if (server) {
            machine.canMove = server->runs.empty() && server->orphans.empty() && server->isReachable()
                && !server->cordoned && !server->record.draining && !this->hooks.isInMaintenance(name);
        } else {
            machine.canMove
                = record.state == MachineState::Up && record.server.empty() && !this->hooks.isInMaintenance(name);
        }
        machine.canMove = machine.canMove && (!isQuiet || this->hasNoRecentMove(server));
        machines.push_back(std::move(machine));
    }
    for (const auto& move : this->balancer.decide(demands, machines, this->clock.now())) {
        if (this->rejectedMoves.contains({ move.machine, move.targetPool }))
            continue;
        // The machine works on until its order can be sent.
        if (!this->hooks.mayOrder())
            return;
        const auto* server = this->scheduler.serverOnMachine(move.machine);
        auto& started = this->moves[move.machine];
        started.targetPool = move.targetPool;
        started.previousServer = server ? server->record.id : "";
        this->scheduler.setCordoned(move.machine, true);
        this->order(move.machine, started);
    }
}

void PoolMover::order(const std::string& machine, Move& move)
{
    move.changedAt = this->clock.now();
    move.repeatAt = move.changedAt + orderRepeatDelay;
    this->hooks.log("machine is moved to another pool",
        { { "machine", machine }, { "pool", move.targetPool }, { "server", move.previousServer },
            { "needed_cpu", this->scheduler.requiredMillicores(move.targetPool) } });
    this->hooks.orderMove(machine, move.targetPool);
}

void PoolMover::orderAnswered(const std::string& machine, const std::string& pool, MachineOrderStatus status)
{
    const auto move = this->moves.find(machine);
    if (move == this->moves.end() || move->second.targetPool != pool || move->second.isAccepted)
        return;
    const auto now = this->clock.now();
    switch (status) {
    case MachineOrderStatus::Accepted:
        move->second.isAccepted = true;
        move->second.changedAt = now;
        this->scheduler.serverStopped(move->second.previousServer);
        return;
    case MachineOrderStatus::FenceTooLow:
        this->hooks.log("a later lead moves machines", { { "machine", machine } });
        this->isFenced = true;
        return;
    case MachineOrderStatus::Invalid:
    case MachineOrderStatus::NotInWave:
        this->rejectedMoves.emplace(machine, pool);
        [[fallthrough]];
    case MachineOrderStatus::Busy:
        this->hooks.log("machine cannot be moved", { { "machine", machine }, { "pool", pool } });
        this->scheduler.setCordoned(machine, false);
        this->moves.erase(move);
        return;
    case MachineOrderStatus::Refused:
        if (!move->second.isUnconfirmed) {
            // Nothing was done. The machine works on, and later demand decides where it goes.
            this->scheduler.setCordoned(machine, false);
            this->moves.erase(move);
            return;
        }
        move->second.repeatAt = now + refusedOrderDelay;
        return;
    case MachineOrderStatus::Unknown:
        move->second.isUnconfirmed = true;
        return; // repeated by followMoves(); the platform accepts a move that was already carried out
    }
}

} // namespace waxwinglug

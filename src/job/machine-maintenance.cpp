// Stages of the machines in a wave.
#include "job/machine-maintenance.h"

#include <algorithm>
#include <vector>

namespace waxwinglug {

using detail::Server;

namespace {

    // Delay before an order that was refused or not answered is sent again.
    constexpr Duration orderRetryDelay { 400 };
    // The same after an answer that the machine does not exist or is not part of the wave, because each order begins
    // with the eviction of the machine's tasks.
    constexpr Duration disownedRetryDelay { 5000 };
    // Time between two reads of the machine list while a machine is ordered or down.
    constexpr Duration listInterval { 700 };
    // A server that still runs tasks after this time is taken down with them, unless they are long-running ones. Other
    // tasks rarely run for 3 s.
    constexpr Duration maxDrainTime { 4000 };
    // Percentage of a service's servers that may be cordoned or unavailable at once, usually and while a wave is late.
    constexpr int maxUnavailablePercent = 25;
    constexpr int lateMaxUnavailablePercent = 50;
    // A server that still reports this long after its order was accepted is not being taken down.
    constexpr Duration stillUpDelay { 1000 };
    // A machine is back no earlier than this percentage of the maintenance duration after the answer to its order; the
    // answer takes the rest at most.
    constexpr int minReturnPercent = 75;
    // Machines that may be cordoned beyond those that can be down at once, so that the next one is drained in time.
    constexpr int extraCordonedMachines = 2;

} // namespace

MachineMaintenance::MachineMaintenance(JobScheduler& jobScheduler, const MachineList& list,
    MachineMaintenanceRules maintenanceRules, Clock source, MachineMaintenanceHooks maintenanceHooks)
    : scheduler(jobScheduler)
    , machineList(list)
    , rules(maintenanceRules)
    , clock(std::move(source))
    , hooks(std::move(maintenanceHooks))
    , startedAt(clock.now())
{
}

void MachineMaintenance::addWave(const MachineWave& spec, const std::set<std::string>& done)
{
    if (const auto known = this->waves.find(spec.number); known != this->waves.end())
        return this->changeWave(known->second, spec);
    auto& wave = this->waves[spec.number];
    wave.spec = spec;
    wave.startedAt = this->clock.now();
    for (const auto& name : spec.machines) {
        auto& machine = wave.machines[name];
        machine.stage = done.contains(name) ? Stage::Done : Stage::Pending;
        this->scheduler.setMaintenancePending(name, machine.stage == Stage::Pending);
    }
    this->hooks.log("maintenance wave begins",
        { { "wave", spec.number }, { "machines", spec.machines.size() }, { "at_once", spec.maxMachinesDown },
            { "within_ms", spec.timeLimit.count() }, { "done", done.size() } });
    this->report(wave);
}

// The operator has written the wave again. It is not completed while a machine that was added has had no maintenance.
void MachineMaintenance::changeWave(Wave& wave, const MachineWave& spec)
{
    wave.spec.timeLimit = spec.timeLimit;
    wave.spec.maxMachinesDown = spec.maxMachinesDown;
    if (wave.spec.machines == spec.machines)
        return;
    wave.spec.machines = spec.machines;
    for (auto place = wave.machines.begin(); place != wave.machines.end();) {
        auto& [name, machine] = *place;
        // An order that was sent is followed to its end.
        const bool isOrdered = machine.stage == Stage::Ordered || machine.stage == Stage::Down;
        if (isOrdered || std::ranges::find(spec.machines, name) != spec.machines.end()) {
            ++place;
            continue;
        }
        this->setStage(name, machine, Stage::Done);
        place = wave.machines.erase(place);
    }
    for (const auto& name : spec.machines) {
        if (wave.machines.try_emplace(name).second)
            this->scheduler.setMaintenancePending(name, true);
    }
    this->hooks.log("maintenance wave has changed", { { "wave", spec.number }, { "machines", wave.machines.size() } });
    this->report(wave);
}

bool MachineMaintenance::isInMaintenance(const std::string& name) const
{
    return std::ranges::any_of(this->waves, [&name](const auto& entry) {
        const auto machine = entry.second.machines.find(name);
        return machine != entry.second.machines.end() && machine->second.stage != Stage::Pending
            && machine->second.stage != Stage::Done;
    });
}

int MachineMaintenance::countInStages(const Wave& wave, std::initializer_list<Stage> stages)
{
    return static_cast<int>(std::ranges::count_if(wave.machines,
        [stages](const auto& entry) { return std::ranges::find(stages, entry.second.stage) != stages.end(); }));
}

void MachineMaintenance::report(Wave& wave)
{
    std::set<std::string> done;
    for (const auto& [name, machine] : wave.machines) {
        if (machine.stage == Stage::Done)
            done.insert(name);
    }
    wave.completed = done.size() == wave.machines.size();
    if (wave.completed)
        this->hooks.log("maintenance wave is completed",
            { { "wave", wave.spec.number }, { "ms", (this->clock.now() - wave.startedAt).count() } });
    this->hooks.reportProgress(wave.spec, wave.completed, done);
}

void MachineMaintenance::setStage(const std::string& name, Machine& machine, Stage stage)
{
    machine.stage = stage;
    machine.stageSince = this->clock.now();
    this->scheduler.setCordoned(name, stage != Stage::Pending && stage != Stage::Done);
    if (stage == Stage::Done)
        this->scheduler.setMaintenancePending(name, false);
}

void MachineMaintenance::tick()
{
    const auto now = this->clock.now();
    if (this->isFenced || now - this->startedAt < this->rules.initialQuietPeriod)
        return;
    bool isWaiting = false;
    for (auto& [number, wave] : this->waves) {
        if (wave.completed)
            continue;
        this->advance(wave);
        const bool isAnyDisowned = std::ranges::any_of(wave.machines, [](const auto& entry) {
            return entry.second.stage != Stage::Done && entry.second.disownedAt != TimePoint {};
        });
        isWaiting = isWaiting || isAnyDisowned || countInStages(wave, { Stage::Ordered, Stage::Down }) > 0
            || !this->machineList.isRead();
    }
    if (isWaiting && now - this->listRequestedAt >= listInterval) {
        this->listRequestedAt = now;
        this->hooks.requestMachineList();
    }
}

void MachineMaintenance::advance(Wave& wave)
{
    this->cordonMachines(wave);
    // Every machine is checked, because any of them may be drained first.
    for (auto& [name, machine] : wave.machines)
        this->advanceMachine(wave, name, machine);
}

// True when the wave would exceed its time limit at the usual rate.
bool MachineMaintenance::isLate(const Wave& wave) const
{
    const auto timeLeft = wave.spec.timeLimit - (this->clock.now() - wave.startedAt);
    const int remaining = countInStages(wave, { Stage::Pending, Stage::Cordoned });
    const int rounds = remaining / std::max(wave.spec.maxMachinesDown, 1) + 1;
    return (this->rules.maintenanceDuration + maxDrainTime) * rounds > timeLeft;
}

// Counts the registered servers of each service, and those of them that cannot accept tasks.
std::map<std::string, MachineMaintenance::ServiceServers> MachineMaintenance::countServers() const
{
    std::map<std::string, ServiceServers> counts;
    for (const auto& [id, server] : this->scheduler.servers()) {
        if (!server->registered)
            continue;
        auto& count = counts[server->record.service];
        ++count.total;
        count.unavailable += server->cordoned || !server->isReachable();
    }
    return counts;
}

bool MachineMaintenance::isAnyLate() const
{
    return std::ranges::any_of(
        this->waves, [this](const auto& wave) { return !wave.second.completed && this->isLate(wave.second); });
}

void MachineMaintenance::cordonMachines(Wave& wave)
{
    const int maxBusy = wave.spec.maxMachinesDown + extraCordonedMachines;
    int busy = countInStages(wave, { Stage::Cordoned, Stage::Ordered, Stage::Down });
    if (busy >= maxBusy)
        return;
    // Machines with the least allocated processor come first, because they drain soonest.
    std::vector<std::pair<std::int64_t, std::string>> pending;
    for (const auto& [name, machine] : wave.machines) {
        if (machine.stage != Stage::Pending || machine.nextOrderAt > this->clock.now() || this->hooks.isMoving(name))
            continue;
        const auto* server = this->scheduler.serverOnMachine(name);
        pending.emplace_back(server ? server->allocated.cpu : 0, name);
    }
    if (pending.empty())
        return;
    std::ranges::sort(pending);
    auto counts = this->countServers();
    const int maxPercent = this->isAnyLate() ? lateMaxUnavailablePercent : maxUnavailablePercent;
    for (const auto& [load, name] : pending) {
        if (busy >= maxBusy)
            return;
        if (const auto* server = this->scheduler.serverOnMachine(name)) {
            auto& count = counts[server->record.service];
            if ((count.unavailable + 1) * 100 > std::max(count.total * maxPercent, 100))
                continue;
            count.unavailable += server->isReachable() && !server->cordoned;
        }
        this->setStage(name, wave.machines.at(name), Stage::Cordoned);
        ++busy;
    }
}

void MachineMaintenance::advanceMachine(Wave& wave, const std::string& name, Machine& machine)
{
    const auto now = this->clock.now();
    const auto* server = this->scheduler.serverOnMachine(name);
    switch (machine.stage) {
    case Stage::Pending:
        if (this->hasLeft(name, machine)) {
            this->setStage(name, machine, Stage::Done);
            this->hooks.log("machine of a wave has left", { { "machine", name }, { "wave", wave.spec.number } });
            this->report(wave);
        }
        return;
    case Stage::Done:
        return;
    case Stage::Cordoned: {
        this->scheduler.evict(name);
        const bool waitsForTasks = now - machine.stageSince < maxDrainTime;
        const bool isReady
            = !server || server->runs.empty() || (!waitsForTasks && !JobScheduler::hasLongRunningTasks(*server));
        const bool hasCapacity = countInStages(wave, { Stage::Ordered, Stage::Down }) < wave.spec.maxMachinesDown;
        if (isReady && hasCapacity && now >= machine.nextOrderAt && this->hooks.mayOrder())
            this->sendOrder(wave, name, machine);
        return;
    }
    case Stage::Ordered:
        if (now >= machine.nextOrderAt && this->hooks.mayOrder())
            this->sendOrder(wave, name, machine);
        return;
    case Stage::Down: {
        // No new server can run there yet; one that is registered only now started before, after a move.
        if (server && now - machine.stageSince < this->rules.maintenanceDuration * minReturnPercent / 100)
            machine.previousServer = server->record.id;
        const auto* record = this->machineList.find(name);
        const bool isListedUp = record
            && this->machineList.readAt > machine.stageSince + this->rules.maintenanceDuration
            && record->state == MachineState::Up
            && (machine.previousServer.empty() || record->server != machine.previousServer);
        const bool hasNewServer = server && server->record.id != machine.previousServer;
        // The platform accepts an order that was already carried out for an earlier leader, without taking the machine
        // down again.
        const bool isStillUp
            = server && server->isReachable() && server->lastReportAt > machine.stageSince + stillUpDelay;
        if (isListedUp || hasNewServer || isStillUp) {
            this->setStage(name, machine, Stage::Done);
            this->hooks.log("machine is back from maintenance", { { "machine", name }, { "wave", wave.spec.number } });
            this->report(wave);
        }
        return;
    }
    }
}

bool MachineMaintenance::hasLeft(const std::string& name, const Machine& machine) const
{
    return machine.disownedAt != TimePoint {} && this->machineList.readAt > machine.disownedAt
        && !this->machineList.find(name);
}

void MachineMaintenance::sendOrder(Wave& wave, const std::string& name, Machine& machine)
{
    const auto* server = this->scheduler.serverOnMachine(name);
    if (machine.stage != Stage::Ordered)
        machine.previousServer = server ? server->record.id : "";
    this->setStage(name, machine, Stage::Ordered);
    // The answer takes at most 1.5 s; the order is not repeated before.
    machine.nextOrderAt = this->clock.now() + std::chrono::seconds(2);
    this->hooks.log("maintenance of a machine is ordered",
        { { "machine", name }, { "wave", wave.spec.number }, { "server", machine.previousServer },
            { "runs", server ? server->runs.size() : 0 },
            { "down", countInStages(wave, { Stage::Ordered, Stage::Down }) } });
    this->hooks.orderMaintenance(name, wave.spec.number);
}

void MachineMaintenance::orderAnswered(const std::string& name, int number, MachineOrderStatus status)
{
    const auto wave = this->waves.find(number);
    if (wave == this->waves.end() || !wave->second.machines.contains(name))
        return;
    auto& machine = wave->second.machines.at(name);
    if (machine.stage != Stage::Ordered)
        return;
    const auto now = this->clock.now();
    machine.nextOrderAt = now + orderRetryDelay;
    switch (status) {
    case MachineOrderStatus::Accepted:
        machine.isUnconfirmed = false;
        this->setStage(name, machine, Stage::Down);
        return;
    case MachineOrderStatus::FenceTooLow:
        this->hooks.log("a later lead orders maintenance", { { "machine", name } });
        this->isFenced = true;
        return;
    case MachineOrderStatus::Busy:
        // An earlier, unanswered order may have taken the machine down.
        if (machine.isUnconfirmed)
            return;
        // Not up, or its server is draining; the order is sent again later.
        this->setStage(name, machine, Stage::Cordoned);
        return;
    case MachineOrderStatus::NotInWave:
    case MachineOrderStatus::Invalid:
        this->hooks.log("machine is not part of the wave", { { "machine", name }, { "wave", number } });
        this->setStage(name, machine, Stage::Pending);
        machine.disownedAt = now;
        machine.nextOrderAt = now + disownedRetryDelay;
        return;
    case MachineOrderStatus::Unknown:
        machine.isUnconfirmed = true;
        return;
    case MachineOrderStatus::Refused:
        return; // the platform did nothing; the order is repeated
    }
}

} // namespace waxwinglug

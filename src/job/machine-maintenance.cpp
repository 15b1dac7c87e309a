// Stages of the machines of a wave.
#include "job/machine-maintenance.h"

#include <algorithm>
#include <vector>

namespace waxwinglug {

using detail::Server;

namespace {

    // Pause before an order that was refused or not answered is sent again.
    constexpr Duration orderPause { 400 };
    // Time between two readings of the machine list while a machine is awaited.
    constexpr Duration listInterval { 700 };
    // A server that is still busy after this time is taken down with its short tasks; they rarely run for 3 s.
    constexpr Duration closingPatience { 4000 };
    // Share of a service's servers that may be closing or down at once, in percent, and while the wave is late.
    constexpr int usualShare = 25;
    constexpr int lateShare = 50;
    // A server that still answers this long after the order was accepted is not being taken down.
    constexpr Duration untouchedTime { 1000 };
    // A machine is back after this share of the maintenance time at the earliest, in percent; the answer to the order
    // took the rest at most.
    constexpr int earliestReturn = 75;
    // Machines that may be closing beyond those that can go down at once, so that the next one is ready in time.
    constexpr int closingAhead = 2;

} // namespace

MachineMaintenance::MachineMaintenance(JobScheduler& jobScheduler, const MachineList& list,
    MachineMaintenanceRules upkeepRules, Clock source, MachineMaintenanceHooks upkeepHooks)
    : scheduler(jobScheduler)
    , machineList(list)
    , rules(upkeepRules)
    , clock(std::move(source))
    , hooks(std::move(upkeepHooks))
    , begunAt(clock.now())
{
}

void MachineMaintenance::addWave(const MachineWave& spec, const std::set<std::string>& done)
{
    if (this->waves.contains(spec.number))
        return;
    auto& wave = this->waves[spec.number];
    wave.spec = spec;
    wave.begunAt = this->clock.now();
    for (const auto& name : spec.machines) {
        auto& machine = wave.machines[name];
        machine.stage = done.contains(name) ? Stage::Done : Stage::Due;
        this->scheduler.setMaintenancePending(name, machine.stage == Stage::Due);
    }
    this->hooks.log("maintenance wave begins",
        { { "wave", spec.number }, { "machines", spec.machines.size() }, { "at_once", spec.maxMachinesDown },
            { "within_ms", spec.timeLimit.count() }, { "done", done.size() } });
    this->report(wave);
}

bool MachineMaintenance::isInMaintenance(const std::string& name) const
{
    return std::ranges::any_of(this->waves, [&name](const auto& entry) {
        const auto machine = entry.second.machines.find(name);
        return machine != entry.second.machines.end() && machine->second.stage != Stage::Due
            && machine->second.stage != Stage::Done;
    });
}

int MachineMaintenance::countOf(const Wave& wave, std::initializer_list<Stage> stages)
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
            { { "wave", wave.spec.number }, { "ms", (this->clock.now() - wave.begunAt).count() } });
    this->hooks.reportProgress(wave.spec, wave.completed, done);
}

void MachineMaintenance::setStage(const std::string& name, Machine& machine, Stage stage)
{
    machine.stage = stage;
    machine.since = this->clock.now();
    this->scheduler.setCordoned(name, stage != Stage::Due && stage != Stage::Done);
    if (stage == Stage::Done)
        this->scheduler.setMaintenancePending(name, false);
}

void MachineMaintenance::tick()
{
    const auto now = this->clock.now();
    if (this->fenced || now - this->begunAt < this->rules.initialQuietPeriod)
        return;
    bool waits = false;
    for (auto& [number, wave] : this->waves) {
        if (wave.completed)
            continue;
        this->advance(wave);
        waits = waits || countOf(wave, { Stage::Ordered, Stage::Down }) > 0 || !this->machineList.isRead();
    }
    if (waits && now - this->askedAt >= listInterval) {
        this->askedAt = now;
        this->hooks.requestMachineList();
    }
}

void MachineMaintenance::advance(Wave& wave)
{
    this->closeMore(wave);
    // Machines that are empty go first, whatever their stage.
    for (auto& [name, machine] : wave.machines)
        this->advanceMachine(wave, name, machine);
}

// True when the wave cannot be finished in time at the usual pace.
bool MachineMaintenance::isLate(const Wave& wave) const
{
    const auto left = wave.spec.timeLimit - (this->clock.now() - wave.begunAt);
    const int open = countOf(wave, { Stage::Due, Stage::Closing });
    const int rounds = open / std::max(wave.spec.maxMachinesDown, 1) + 1;
    return (this->rules.maintenanceDuration + closingPatience) * rounds > left;
}

// Listed servers of each service, and those of them that cannot take work.
std::map<std::string, MachineMaintenance::ServiceRoom> MachineMaintenance::serviceRooms() const
{
    std::map<std::string, ServiceRoom> rooms;
    for (const auto& [id, server] : this->scheduler.servers()) {
        if (!server->registered)
            continue;
        auto& room = rooms[server->record.service];
        ++room.all;
        room.away += server->cordoned || !server->isReachable();
    }
    return rooms;
}

bool MachineMaintenance::isAnyLate() const
{
    return std::ranges::any_of(
        this->waves, [this](const auto& wave) { return !wave.second.completed && this->isLate(wave.second); });
}

void MachineMaintenance::closeMore(Wave& wave)
{
    const int most = wave.spec.maxMachinesDown + closingAhead;
    int busy = countOf(wave, { Stage::Closing, Stage::Ordered, Stage::Down });
    if (busy >= most)
        return;
    // The machines with the least to wait for come first.
    std::vector<std::pair<std::int64_t, std::string>> due;
    for (const auto& [name, machine] : wave.machines) {
        if (machine.stage != Stage::Due || machine.notBefore > this->clock.now() || this->hooks.isMoving(name))
            continue;
        const auto* server = this->scheduler.serverOnMachine(name);
        due.emplace_back(server ? server->allocated.cpu : 0, name);
    }
    if (due.empty())
        return;
    std::ranges::sort(due);
    auto rooms = this->serviceRooms();
    const int share = this->isAnyLate() ? lateShare : usualShare;
    for (const auto& [load, name] : due) {
        if (busy >= most)
            return;
        if (const auto* server = this->scheduler.serverOnMachine(name)) {
            auto& room = rooms[server->record.service];
            if ((room.away + 1) * 100 > std::max(room.all * share, 100))
                continue;
            room.away += server->isReachable() && !server->cordoned;
        }
        this->setStage(name, wave.machines.at(name), Stage::Closing);
        ++busy;
    }
}

void MachineMaintenance::advanceMachine(Wave& wave, const std::string& name, Machine& machine)
{
    const auto now = this->clock.now();
    const auto* server = this->scheduler.serverOnMachine(name);
    switch (machine.stage) {
    case Stage::Due:
    case Stage::Done:
        return;
    case Stage::Closing: {
        this->scheduler.evict(name);
        const bool patient = now - machine.since < closingPatience;
        const bool ready = !server || server->runs.empty() || (!patient && !JobScheduler::hasLongRunningTasks(*server));
        const bool room = countOf(wave, { Stage::Ordered, Stage::Down }) < wave.spec.maxMachinesDown;
        if (ready && room && now >= machine.notBefore)
            this->sendOrder(wave, name, machine);
        return;
    }
    case Stage::Ordered:
        if (now >= machine.notBefore)
            this->sendOrder(wave, name, machine);
        return;
    case Stage::Down: {
        // No new server can live there yet; one that is listed only now came before, with a move.
        if (server && now - machine.since < this->rules.maintenanceDuration * earliestReturn / 100)
            machine.oldServer = server->record.id;
        const auto* record = this->machineList.find(name);
        const bool listedUp = record && this->machineList.readAt > machine.since + this->rules.maintenanceDuration
            && record->state == MachineState::Up && (machine.oldServer.empty() || record->server != machine.oldServer);
        const bool newServer = server && server->record.id != machine.oldServer;
        // The platform accepts an order that an earlier lead had carried out, and leaves the machine alone.
        const bool untouched = server && server->isReachable() && server->lastReportAt > machine.since + untouchedTime;
        if (listedUp || newServer || untouched) {
            this->setStage(name, machine, Stage::Done);
            this->hooks.log("machine is back from maintenance", { { "machine", name }, { "wave", wave.spec.number } });
            this->report(wave);
        }
        return;
    }
    }
}

void MachineMaintenance::sendOrder(Wave& wave, const std::string& name, Machine& machine)
{
    const auto* server = this->scheduler.serverOnMachine(name);
    if (machine.stage != Stage::Ordered)
        machine.oldServer = server ? server->record.id : "";
    this->setStage(name, machine, Stage::Ordered);
    // The answer takes at most 1.5 s; until then the order is not repeated.
    machine.notBefore = this->clock.now() + std::chrono::seconds(2);
    this->hooks.log("maintenance of a machine is ordered",
        { { "machine", name }, { "wave", wave.spec.number }, { "server", machine.oldServer },
            { "runs", server ? server->runs.size() : 0 }, { "down", countOf(wave, { Stage::Ordered, Stage::Down }) } });
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
    machine.notBefore = now + orderPause;
    switch (status) {
    case MachineOrderStatus::Accepted:
        machine.isDoubtful = false;
        this->setStage(name, machine, Stage::Down);
        return;
    case MachineOrderStatus::FenceTooLow:
        this->hooks.log("a later lead orders maintenance", { { "machine", name } });
        this->fenced = true;
        return;
    case MachineOrderStatus::Busy:
        // An earlier order may have taken it down.
        if (machine.isDoubtful)
            return;
        // Not up, or its server is leaving: it gets no order until that is over.
        this->setStage(name, machine, Stage::Closing);
        return;
    case MachineOrderStatus::NotInWave:
    case MachineOrderStatus::Invalid:
        this->hooks.log("machine is not part of the wave", { { "machine", name }, { "wave", number } });
        this->setStage(name, machine, Stage::Done);
        this->report(wave->second);
        return;
    case MachineOrderStatus::Unknown:
        machine.isDoubtful = true;
        return;
    case MachineOrderStatus::Refused:
        return; // nothing was done; the order is repeated
    }
}

} // namespace waxwinglug

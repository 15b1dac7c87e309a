// Test fixture with two maintainers, two entry VMs and a small fleet on one in-memory platform.
#include "process/maintenance-world.h"

namespace waxwinglug::test {

using namespace std::chrono_literals;

MaintenanceWorld::MaintenanceWorld()
    : config(std::make_shared<Config>())
{
    this->config->pools["p"] = { "p", "s", 0.6, 1, 1, false };
    this->config->pools["q"] = { "q", "s", 0.5, 2, 1, true };
    // An end equal to the start makes the window last all day.
    this->config->windows["always"] = { "always", 0min, 0min };
    this->config->waves["w"] = { "w", { "p", "q" }, "always", 3, 10min };
    for (int index = 0; index < 10; ++index) {
        const auto name = "v" + std::to_string(index);
        Vm vm;
        vm.name = name;
        vm.pool = index < 6 ? "p" : "q";
        vm.dataCentre = "dc1";
        vm.rack = "r" + std::to_string(index / 2);
        this->config->vms[name] = vm;
        this->vmNames.push_back(name);
        this->platform.vms.push_back({ name, VmState::Live, 1 });
    }
    for (std::size_t index = 0; index < this->instances.size(); ++index)
        this->createInstance(index);
    for (std::size_t index = 0; index < this->entryVms.size(); ++index)
        this->setEntryVmAlive(index, true);
}

void MaintenanceWorld::createInstance(std::size_t index)
{
    MaintenanceHooks hooks;
    hooks.unconfirmedNodes = [this](std::string_view, std::uint64_t sequence) {
        std::vector<UnconfirmedNode> missing;
        for (std::size_t entry = 0; entry < this->entryVms.size(); ++entry) {
            if (!this->entryVms[entry].isAlive || this->entryVms[entry].view->appliedSequence() < sequence)
                missing.push_back({ "e" + std::to_string(entry), !this->entryVms[entry].isAlive });
        }
        return missing;
    };
    hooks.runningWorkCount = [this](std::string_view vm) { return std::optional(this->workCountOn(std::string(vm))); };
    hooks.expectedWorkDuration = [](std::string_view) { return Duration(0); };
    hooks.probe = [this, index](const std::string& vm, std::function<void(bool)> handler) {
        const bool passed = this->probesPass && this->vmStatus(vm).state == VmState::Live;
        this->deferWhilePaused(index, [handler, passed] { handler(passed); })();
    };
    auto& instance = this->instances[index];
    const NodeId self { "m" + std::to_string(index), ++this->incarnations[index] };
    instance.maintainer = std::make_unique<Maintainer>(
        self, this->clock.clock(), this->checkedPlatform(index), hooks, MaintenanceSettings());
    instance.maintainer->setConfig(this->config);
}

std::function<void()> MaintenanceWorld::deferWhilePaused(std::size_t index, std::function<void()> handler)
{
    return [this, index, handler = std::move(handler)] {
        auto& instance = this->instances[index];
        if (instance.isPaused)
            instance.queuedHandlers.push_back(handler);
        else
            handler();
    };
}

Platform MaintenanceWorld::checkedPlatform(std::size_t index)
{
    auto platformHooks = this->platform.platform();
    Platform hooks = platformHooks;
    hooks.table.read = [this, index, platformHooks](std::vector<std::string> keys, RowsHandler handler) {
        platformHooks.table.read(std::move(keys), [this, index, handler](const std::optional<std::vector<Row>>& rows) {
            this->deferWhilePaused(index, [handler, rows] { handler(rows); })();
        });
    };
    hooks.table.commit = [this, index, platformHooks](std::vector<RowWrite> writes, CommitHandler handler) {
        auto deliver = [this, index, platformHooks, writes = std::move(writes), handler = std::move(handler)] {
            const auto before = this->platform.rows;
            platformHooks.table.commit(writes, [this, index, handler](const CommitResult& result) {
                this->deferWhilePaused(index, [handler, result] { handler(result); })();
            });
            this->checkCommit(before, this->instances[index]);
        };
        if (this->instances[index].delayCommits)
            this->instances[index].delayedCommits.push_back(std::move(deliver));
        else
            deliver();
    };
    hooks.vms.list = [this, index, platformHooks](std::function<void(std::optional<std::vector<VmStatus>>)> handler) {
        platformHooks.vms.list([this, index, handler](const std::optional<std::vector<VmStatus>>& listed) {
            this->deferWhilePaused(index, [this, index, handler, listed] {
                if (listed)
                    this->instances[index].lastDeliveredList = *listed;
                handler(listed);
            })();
        });
    };
    hooks.control.checkpoint
        = [this](const std::string& vm, const std::function<void(bool)>&) { ++this->checkpoints[vm]; };
    hooks.control.reboot
        = [this, platformHooks](const std::string& vm, std::uint64_t incarnation, std::function<void(bool)> handler) {
              if (!this->platform.isUnavailable)
                  this->checkReboot(vm, incarnation);
              platformHooks.control.reboot(vm, incarnation, std::move(handler));
          };
    return hooks;
}

const VmStatus& MaintenanceWorld::vmStatus(const std::string& vm) const
{
    for (const auto& status : this->platform.vms) {
        if (status.name == vm)
            return status;
    }
    throw InvariantViolation("unknown VM " + vm);
}

int MaintenanceWorld::workCountOn(const std::string& vm) const
{
    int count = 0;
    for (const auto& entry : this->entryVms) {
        if (const auto found = entry.workCountByVm.find(vm); entry.isAlive && found != entry.workCountByVm.end())
            count += found->second;
    }
    return count;
}

void MaintenanceWorld::checkCommit(const std::map<std::string, Row>& before, const Instance& instance) const
{
    for (const auto& [key, row] : this->platform.rows) {
        const auto old = before.find(key);
        if (!key.starts_with(vmPrefix) || (old != before.end() && old->second.version == row.version))
            continue;
        if (this->platform.isUnavailable)
            throw InvariantViolation(key + " changed while the store is down");
        const auto now = fromJson<VmRow>(row.value);
        if (now.phase == VmPhase::Draining)
            this->checkBudget(now.pool, instance);
    }
}

// Counts from the rows and the delivered VM list alone, independently of the planner's BudgetLedger.
void MaintenanceWorld::checkBudget(const std::string& pool, const Instance& instance) const
{
    int size = 0;
    int up = 0;
    std::set<std::string> racksDown;
    for (const auto& listed : instance.lastDeliveredList) {
        const auto row = this->vmRow(listed.name);
        if (row.pool != pool)
            continue;
        ++size;
        if (row.phase == VmPhase::Serving && listed.state == VmState::Live && listed.incarnation == row.incarnation)
            ++up;
        else
            racksDown.insert(this->config->vms.at(listed.name).rack);
    }
    const auto& configured = this->config->pools.at(pool);
    if (up < size * configured.minAvailable - 1e-9)
        throw InvariantViolation("budget of pool " + pool + " is exceeded");
    if (static_cast<int>(racksDown.size()) > configured.maxRacksDown)
        throw InvariantViolation("rack budget of pool " + pool + " is exceeded");
}

void MaintenanceWorld::checkReboot(const std::string& vm, std::uint64_t incarnation) const
{
    const auto& now = this->vmStatus(vm);
    // The platform ignores an order for an earlier incarnation of the VM.
    if (now.incarnation > incarnation || now.state != VmState::Live)
        return;
    if (this->workCountOn(vm) > 0)
        throw InvariantViolation(vm + " is rebooted while work runs on it");
    for (const auto& entry : this->entryVms) {
        const auto* row = entry.isAlive ? entry.view->find(vm) : nullptr;
        if (row && (row->phase == VmPhase::Serving || row->phase == VmPhase::SlowStart))
            throw InvariantViolation(vm + " is rebooted before an entry VM has confirmed its drain");
    }
}

void MaintenanceWorld::checkRows() const
{
    std::map<std::string, std::string> plannedIn;
    for (const auto& [key, row] : this->platform.rows) {
        if (!key.starts_with(budgetPrefix))
            continue;
        for (const auto& vm : fromJson<BudgetRow>(row.value).planned) {
            if (!plannedIn.emplace(vm, key.substr(budgetPrefix.size())).second)
                throw InvariantViolation(vm + " is planned in two pools");
        }
    }
    for (const auto& [key, row] : this->platform.rows) {
        if (!key.starts_with(vmPrefix))
            continue;
        const auto name = key.substr(vmPrefix.size());
        const auto value = fromJson<VmRow>(row.value);
        const auto planned = plannedIn.find(name);
        const bool isPlanned = planned != plannedIn.end();
        if ((value.phase == VmPhase::Draining || value.phase == VmPhase::Rebooting) && !isPlanned)
            throw InvariantViolation(name + " is drained outside any budget");
        if (value.phase == VmPhase::Serving && isPlanned)
            throw InvariantViolation(name + " serves but still counts against a budget");
        if (isPlanned && planned->second != value.pool)
            throw InvariantViolation(name + " counts against the budget of another pool");
    }
}

void MaintenanceWorld::tick(std::size_t index)
{
    if (!this->instances[index].isPaused)
        this->instances[index].maintainer->tick();
}

void MaintenanceWorld::setPaused(std::size_t index, bool paused)
{
    auto& instance = this->instances[index];
    instance.isPaused = paused;
    if (paused)
        return;
    const auto queuedHandlers = std::exchange(instance.queuedHandlers, {});
    for (const auto& handler : queuedHandlers)
        handler();
}

void MaintenanceWorld::deliverDelayedCommits(std::size_t index)
{
    const auto commits = std::exchange(this->instances[index].delayedCommits, {});
    for (const auto& deliver : commits)
        deliver();
}

void MaintenanceWorld::restart(std::size_t index)
{
    this->instances[index].queuedHandlers.clear();
    this->instances[index].delayedCommits.clear();
    this->createInstance(index);
}

void MaintenanceWorld::setEntryVmAlive(std::size_t index, bool alive)
{
    auto& entry = this->entryVms[index];
    entry.isAlive = alive;
    entry.workCountByVm.clear();
    entry.view = std::make_unique<VmView>(this->platform.platform().table, "dc1", [this] { return this->vmNames; });
}

void MaintenanceWorld::pollEntryVm(std::size_t index)
{
    if (this->entryVms[index].isAlive)
        this->entryVms[index].view->poll();
}

void MaintenanceWorld::startWork(std::size_t index, const std::string& vm)
{
    auto& entry = this->entryVms[index];
    const auto* row = entry.view->find(vm);
    if (entry.isAlive && row && row->phase == VmPhase::Serving && this->vmStatus(vm).state == VmState::Live)
        ++entry.workCountByVm[vm];
}

void MaintenanceWorld::endWork(const std::string& vm)
{
    for (auto& entry : this->entryVms)
        entry.workCountByVm.erase(vm);
}

void MaintenanceWorld::failVm(const std::string& vm)
{
    for (auto& status : this->platform.vms) {
        if (status.name == vm)
            status.state = VmState::Gone;
    }
    this->endWork(vm);
}

void MaintenanceWorld::returnVm(const std::string& vm)
{
    for (auto& status : this->platform.vms) {
        if (status.name == vm && status.state == VmState::Gone)
            status = { vm, VmState::Live, status.incarnation + 1 };
    }
}

void MaintenanceWorld::commitAsOperator(RowWrite write)
{
    this->platform.platform().table.commit({ std::move(write) }, [](const CommitResult&) {});
}

void MaintenanceWorld::startRun(const std::string& wave)
{
    this->commitAsOperator(startWave(this->platform.row(waveKey(wave)), wave, this->clock.clock().wallNow()));
}

void MaintenanceWorld::clearFaults()
{
    this->platform.isUnavailable = false;
    this->platform.loseCommitAnswers = false;
    this->probesPass = true;
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        this->instances[index].delayCommits = false;
        this->deliverDelayedCommits(index);
        this->setPaused(index, false);
    }
    for (std::size_t index = 0; index < this->entryVms.size(); ++index) {
        if (!this->entryVms[index].isAlive)
            this->setEntryVmAlive(index, true);
    }
    for (const auto& name : this->vmNames) {
        this->endWork(name);
        this->returnVm(name);
    }
}

void MaintenanceWorld::deliverAll() { this->platform.deliver(); }

void MaintenanceWorld::runOneSecond()
{
    for (std::size_t index = 0; index < this->entryVms.size(); ++index)
        this->pollEntryVm(index);
    for (std::size_t index = 0; index < this->instances.size(); ++index)
        this->tick(index);
    this->deliverAll();
    this->clock.advance(1s);
    this->checkRows();
}

} // namespace waxwinglug::test

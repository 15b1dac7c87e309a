// Two maintainers, two entry VMs and a small fleet over one in-memory platform.
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
        this->build(index);
    for (std::size_t index = 0; index < this->entries.size(); ++index)
        this->setEntryAlive(index, true);
}

void MaintenanceWorld::build(std::size_t index)
{
    MaintenanceHooks hooks;
    hooks.unconfirmed = [this](std::string_view, std::uint64_t sequence) {
        std::vector<MissingNode> missing;
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            if (!this->entries[entry].alive || this->entries[entry].view->applied() < sequence)
                missing.push_back({ "e" + std::to_string(entry), !this->entries[entry].alive });
        }
        return missing;
    };
    hooks.runningWork = [this](std::string_view vm) { return std::optional(this->workOn(std::string(vm))); };
    hooks.expectedWork = [](std::string_view) { return Duration(0); };
    hooks.probe = [this, index](const std::string& vm, std::function<void(bool)> handler) {
        const bool passed = this->probesPass && this->status(vm).state == VmState::Live;
        this->whenRunning(index, [handler, passed] { handler(passed); })();
    };
    auto& instance = this->instances[index];
    const NodeId self { "m" + std::to_string(index), ++this->incarnations[index] };
    instance.maintainer
        = std::make_unique<Maintainer>(self, this->clock.clock(), this->watched(index), hooks, MaintenanceSettings());
    instance.maintainer->setConfig(this->config);
}

std::function<void()> MaintenanceWorld::whenRunning(std::size_t index, std::function<void()> handler)
{
    return [this, index, handler = std::move(handler)] {
        auto& instance = this->instances[index];
        if (instance.paused)
            instance.held.push_back(handler);
        else
            handler();
    };
}

Platform MaintenanceWorld::watched(std::size_t index)
{
    auto inner = this->platform.platform();
    Platform hooks = inner;
    hooks.table.read = [this, index, inner](std::vector<std::string> keys, RowsHandler handler) {
        inner.table.read(std::move(keys), [this, index, handler](const std::optional<std::vector<Row>>& rows) {
            this->whenRunning(index, [handler, rows] { handler(rows); })();
        });
    };
    hooks.table.commit = [this, index, inner](std::vector<RowWrite> writes, CommitHandler handler) {
        auto land = [this, index, inner, writes = std::move(writes), handler = std::move(handler)] {
            const auto before = this->platform.rows;
            inner.table.commit(writes, [this, index, handler](const CommitResult& result) {
                this->whenRunning(index, [handler, result] { handler(result); })();
            });
            this->checkCommit(before, this->instances[index]);
        };
        if (this->instances[index].holdCommits)
            this->instances[index].commitsInFlight.push_back(std::move(land));
        else
            land();
    };
    hooks.vms.list = [this, index, inner](std::function<void(std::optional<std::vector<VmStatus>>)> handler) {
        inner.vms.list([this, index, handler](const std::optional<std::vector<VmStatus>>& listed) {
            this->whenRunning(index, [this, index, handler, listed] {
                if (listed)
                    this->instances[index].list = *listed;
                handler(listed);
            })();
        });
    };
    hooks.control.checkpoint
        = [this](const std::string& vm, const std::function<void(bool)>&) { ++this->checkpoints[vm]; };
    hooks.control.reboot
        = [this, inner](const std::string& vm, std::uint64_t incarnation, std::function<void(bool)> handler) {
              if (!this->platform.isUnavailable)
                  this->checkReboot(vm, incarnation);
              inner.control.reboot(vm, incarnation, std::move(handler));
          };
    return hooks;
}

const VmStatus& MaintenanceWorld::status(const std::string& vm) const
{
    for (const auto& status : this->platform.vms) {
        if (status.name == vm)
            return status;
    }
    throw Violation("unknown VM " + vm);
}

int MaintenanceWorld::workOn(const std::string& vm) const
{
    int count = 0;
    for (const auto& entry : this->entries) {
        if (const auto found = entry.work.find(vm); entry.alive && found != entry.work.end())
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
            throw Violation(key + " changed while the store is down");
        const auto now = fromJson<VmRow>(row.value);
        if (now.phase == VmPhase::Draining)
            this->checkBudget(now.pool, instance);
    }
}

// Counts from the rows and the delivered list alone, not with the planner's ledger.
void MaintenanceWorld::checkBudget(const std::string& pool, const Instance& instance) const
{
    int size = 0;
    int up = 0;
    std::set<std::string> racksDown;
    for (const auto& listed : instance.list) {
        const auto row = this->vm(listed.name);
        if (row.pool != pool)
            continue;
        ++size;
        if (row.phase == VmPhase::Serving && listed.state == VmState::Live && listed.incarnation == row.incarnation)
            ++up;
        else
            racksDown.insert(this->config->vms.at(listed.name).rack);
    }
    const auto& declared = this->config->pools.at(pool);
    if (up < size * declared.minAvailable - 1e-9)
        throw Violation("budget of pool " + pool + " is exceeded");
    if (static_cast<int>(racksDown.size()) > declared.maxRacksDown)
        throw Violation("rack budget of pool " + pool + " is exceeded");
}

void MaintenanceWorld::checkReboot(const std::string& vm, std::uint64_t incarnation) const
{
    const auto& now = this->status(vm);
    // The platform ignores an order for an earlier run of the VM.
    if (now.incarnation > incarnation || now.state != VmState::Live)
        return;
    if (this->workOn(vm) > 0)
        throw Violation(vm + " is rebooted while work runs on it");
    for (const auto& entry : this->entries) {
        const auto* row = entry.alive ? entry.view->find(vm) : nullptr;
        if (row && (row->phase == VmPhase::Serving || row->phase == VmPhase::SlowStart))
            throw Violation(vm + " is rebooted before an entry VM has confirmed its drain");
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
                throw Violation(vm + " is planned in two pools");
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
            throw Violation(name + " is drained outside any budget");
        if (value.phase == VmPhase::Serving && isPlanned)
            throw Violation(name + " serves but still counts against a budget");
        if (isPlanned && planned->second != value.pool)
            throw Violation(name + " counts against the budget of another pool");
    }
}

void MaintenanceWorld::tick(std::size_t index)
{
    if (!this->instances[index].paused)
        this->instances[index].maintainer->tick();
}

void MaintenanceWorld::setPaused(std::size_t index, bool paused)
{
    auto& instance = this->instances[index];
    instance.paused = paused;
    if (paused)
        return;
    const auto held = std::exchange(instance.held, {});
    for (const auto& handler : held)
        handler();
}

void MaintenanceWorld::landCommits(std::size_t index)
{
    const auto landing = std::exchange(this->instances[index].commitsInFlight, {});
    for (const auto& land : landing)
        land();
}

void MaintenanceWorld::restart(std::size_t index)
{
    this->instances[index].held.clear();
    this->instances[index].commitsInFlight.clear();
    this->build(index);
}

void MaintenanceWorld::setEntryAlive(std::size_t index, bool alive)
{
    auto& entry = this->entries[index];
    entry.alive = alive;
    entry.work.clear();
    entry.view = std::make_unique<VmView>(this->platform.platform().table, "dc1", [this] { return this->vmNames; });
}

void MaintenanceWorld::pollEntry(std::size_t index)
{
    if (this->entries[index].alive)
        this->entries[index].view->poll();
}

void MaintenanceWorld::startWork(std::size_t index, const std::string& vm)
{
    auto& entry = this->entries[index];
    const auto* row = entry.view->find(vm);
    if (entry.alive && row && row->phase == VmPhase::Serving && this->status(vm).state == VmState::Live)
        ++entry.work[vm];
}

void MaintenanceWorld::endWork(const std::string& vm)
{
    for (auto& entry : this->entries)
        entry.work.erase(vm);
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

void MaintenanceWorld::operate(RowWrite write)
{
    this->platform.platform().table.commit({ std::move(write) }, [](const CommitResult&) {});
}

void MaintenanceWorld::start(const std::string& wave)
{
    this->operate(startWave(this->platform.row(waveKey(wave)), wave, this->clock.clock().wallNow()));
}

void MaintenanceWorld::heal()
{
    this->platform.isUnavailable = false;
    this->platform.loseCommitAnswers = false;
    this->probesPass = true;
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        this->instances[index].holdCommits = false;
        this->landCommits(index);
        this->setPaused(index, false);
    }
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        if (!this->entries[index].alive)
            this->setEntryAlive(index, true);
    }
    for (const auto& name : this->vmNames) {
        this->endWork(name);
        this->returnVm(name);
    }
}

void MaintenanceWorld::deliverAll() { this->platform.deliver(); }

void MaintenanceWorld::second()
{
    for (std::size_t index = 0; index < this->entries.size(); ++index)
        this->pollEntry(index);
    for (std::size_t index = 0; index < this->instances.size(); ++index)
        this->tick(index);
    this->deliverAll();
    this->clock.advance(1s);
    this->checkRows();
}

} // namespace waxwinglug::test

// Phase transitions of single VMs, from their rows and the VM list.
#include "process/maintenance-step.h"

#include <fmt/format.h>

#include <algorithm>

namespace waxwinglug::detail {

std::string waveTag(std::string_view wave, std::uint64_t run) { return fmt::format("{}#{}", wave, run); }

MaintenanceStep::MaintenanceStep(
    const MaintenanceRows& before, const std::vector<VmStatus>& listed, const StepInput& stepInput)
    : input(stepInput)
    , civilClock(stepInput.config.clock)
    , rows(before)
{
    for (const auto& status : listed)
        this->listedVms[status.name] = status;
}

void MaintenanceStep::run()
{
    this->createRows();
    // Failures and returns are processed first, so that the budgets for the drains below include them.
    for (const auto& [name, vm] : this->input.config.vms)
        this->advanceVm(name);
    this->applyMoves();
    for (const auto& [name, wave] : this->input.config.waves)
        this->advanceWave(name);
}

const VmStatus* MaintenanceStep::statusOf(const std::string& vm) const
{
    const auto found = this->listedVms.find(vm);
    return found == this->listedVms.end() ? nullptr : &found->second;
}

void MaintenanceStep::createRows()
{
    for (const auto& [name, vm] : this->input.config.vms) {
        if (this->rows.vms.contains(name))
            continue;
        if (this->isTransactionFull())
            return;
        const auto* status = this->statusOf(name);
        VmRow row;
        row.pool = vm.pool;
        row.incarnation = status ? status->incarnation : 0;
        this->writeVm(name, row, status && status->state == VmState::Live ? VmPhase::Serving : VmPhase::Failed);
    }
}

void MaintenanceStep::writeVm(const std::string& vm, VmRow row, VmPhase phase)
{
    const auto& dataCentre = this->input.config.vms.at(vm).dataCentre;
    auto& journal = this->rows.journals[dataCentre].row;
    journal.append(vm);
    this->changedJournals.insert(dataCentre);
    if (row.phase != phase) {
        this->logLines.push_back(fmt::format("vm={} pool={} {} -> {} incarnation={}", vm, row.pool,
            phaseName(row.phase), phaseName(phase), row.incarnation));
    }
    row.phase = phase;
    row.since = this->input.now;
    row.sequence = journal.sequence;
    this->rows.vms[vm].row = std::move(row);
    this->changedVms.insert(vm);
}

void MaintenanceStep::setPlanned(const std::string& pool, const std::string& vm, bool planned)
{
    auto& names = this->rows.budgets[pool].row.planned;
    const auto at = std::lower_bound(names.begin(), names.end(), vm);
    const bool present = at != names.end() && *at == vm;
    if (present == planned)
        return;
    if (planned)
        names.insert(at, vm);
    else
        names.erase(at);
    this->changedBudgets.insert(pool);
}

bool MaintenanceStep::isPlanned(const std::string& vm, const VmRow& row) const
{
    const auto budget = this->rows.budgets.find(row.pool);
    return budget != this->rows.budgets.end()
        && std::binary_search(budget->second.row.planned.begin(), budget->second.row.planned.end(), vm);
}

bool MaintenanceStep::isAvailable(const std::string& vm, const VmRow& row) const
{
    const auto* status = this->statusOf(vm);
    return row.phase == VmPhase::Serving && status && status->state == VmState::Live
        && status->incarnation == row.incarnation;
}

void MaintenanceStep::advanceVm(const std::string& vm)
{
    const auto found = this->rows.vms.find(vm);
    if (found == this->rows.vms.end() || this->changedVms.contains(vm) || this->isTransactionFull())
        return;
    const auto row = found->second.row;
    const auto* status = this->statusOf(vm);
    switch (row.phase) {
    case VmPhase::Serving:
        this->advanceServing(vm, row, status);
        break;
    case VmPhase::Draining:
        this->advanceDraining(vm, row, status);
        break;
    case VmPhase::Rebooting:
        this->advanceRebooting(vm, row, status);
        break;
    case VmPhase::Failed:
    case VmPhase::Probing:
    case VmPhase::SlowStart:
        this->advanceReturning(vm, row, status);
        break;
    }
}

void MaintenanceStep::advanceServing(const std::string& vm, VmRow row, const VmStatus* status)
{
    if (this->isAvailable(vm, row))
        return;
    // A leaving VM is announced by the platform and is no failure, unlike a VM that is gone or has restarted.
    if (!status || status->state != VmState::Leaving)
        this->recordFailure(vm, row);
    if (status && status->state == VmState::Live) {
        row.incarnation = status->incarnation;
        this->writeVm(vm, row, VmPhase::Probing);
    } else {
        this->writeVm(vm, row, VmPhase::Failed);
    }
}

bool MaintenanceStep::canContinueDrain(const VmRow& row) const
{
    const auto name = row.wave.substr(0, row.wave.rfind('#'));
    const auto wave = this->rows.waves.find(name);
    const auto configured = this->input.config.waves.find(name);
    if (wave == this->rows.waves.end() || configured == this->input.config.waves.end())
        return false;
    const auto window = this->input.config.windows.find(configured->second.window);
    return wave->second.row.state == WaveState::Running && row.wave == waveTag(name, wave->second.row.run)
        && window != this->input.config.windows.end()
        && this->civilClock.timeLeftInWindow(window->second, this->input.now) > Duration(0);
}

bool MaintenanceStep::isDrainConfirmed(const std::string& vm, const VmRow& row)
{
    const auto missing = this->input.hooks.unconfirmedNodes(this->input.config.vms.at(vm).dataCentre, row.sequence);
    if (missing.empty())
        return true;
    const auto running = std::find_if(missing.begin(), missing.end(), [](const auto& node) { return !node.isGone; });
    if (running == missing.end() && this->input.now - row.since >= this->input.settings.confirmTimeout)
        return true;
    const auto& first = running == missing.end() ? missing.front() : *running;
    this->setWaitReason(vm, fmt::format("entry VM {} has not confirmed the drain", first.name));
    return false;
}

void MaintenanceStep::advanceDraining(const std::string& vm, VmRow row, const VmStatus* status)
{
    const bool live = status && status->state == VmState::Live;
    if (live && status->incarnation > row.incarnation) {
        // The VM has restarted on its own, which already is the maintenance that the wave requires.
        this->recordFailure(vm, row);
        row.incarnation = status->incarnation;
        this->writeVm(vm, row, VmPhase::Probing);
        return;
    }
    if (live && !this->canContinueDrain(row)) {
        // No reboot has been ordered in this phase, so the VM can return to service directly.
        row.wave.clear();
        this->setPlanned(row.pool, vm, false);
        this->writeVm(vm, row, VmPhase::Serving);
        return;
    }
    if (!this->isDrainConfirmed(vm, row))
        return;
    if (status && status->state != VmState::Gone) {
        const auto work = this->input.hooks.runningWorkCount(vm);
        if (!work || *work > 0) {
            this->setWaitReason(
                vm, work ? fmt::format("{} requests or jobs run on it", *work) : "its running work is not known");
            if (this->input.now - row.since >= this->input.settings.checkpointDelay)
                this->checkpoints.push_back(vm);
            return;
        }
    }
    this->writeVm(vm, row, VmPhase::Rebooting);
}

void MaintenanceStep::advanceRebooting(const std::string& vm, VmRow row, const VmStatus* status)
{
    if (status && status->state == VmState::Live && status->incarnation > row.incarnation) {
        row.incarnation = status->incarnation;
        row.overdue = false;
        this->writeVm(vm, row, VmPhase::Probing);
        return;
    }
    this->reboots[vm] = row.incarnation;
    this->setWaitReason(vm, "the list does not show it restarted");
    if (!row.overdue && this->input.now - row.since >= this->input.settings.returnTimeout) {
        this->recordFailure(vm, row);
        row.overdue = true;
        this->writeVm(vm, row, VmPhase::Rebooting);
    }
}

// Handles the phases Failed, Probing and SlowStart: the VM returns to service, or fails again.
void MaintenanceStep::advanceReturning(const std::string& vm, VmRow row, const VmStatus* status)
{
    const bool live = status && status->state == VmState::Live;
    if (live && (status->incarnation != row.incarnation || row.phase == VmPhase::Failed)) {
        row.incarnation = std::max(row.incarnation, status->incarnation);
        if (status->incarnation == row.incarnation)
            this->writeVm(vm, row, VmPhase::Probing);
    } else if (!live) {
        this->setWaitReason(vm, "the list does not show it live");
        if (row.phase == VmPhase::Failed)
            return;
        this->recordFailure(vm, row);
        this->writeVm(vm, row, this->isPlanned(vm, row) ? VmPhase::Rebooting : VmPhase::Failed);
    } else if (row.phase == VmPhase::Probing) {
        const auto passedProbe = this->input.passedProbes.find(vm);
        if (passedProbe != this->input.passedProbes.end() && passedProbe->second == row.incarnation) {
            row.overdue = false;
            this->writeVm(vm, row, VmPhase::SlowStart);
            return;
        }
        this->probes[vm] = row.incarnation;
        this->setWaitReason(vm, "the probe has not passed");
        if (!row.overdue && this->input.now - row.since >= this->input.settings.returnTimeout) {
            this->recordFailure(vm, row);
            row.overdue = true;
            this->writeVm(vm, row, VmPhase::Probing);
        }
    } else if (this->input.now - row.since >= this->input.settings.slowStart) {
        this->setPlanned(row.pool, vm, false);
        this->writeVm(vm, row, VmPhase::Serving);
    } else {
        this->setWaitReason(vm, "slow start");
    }
}

void MaintenanceStep::recordFailure(const std::string& vm, const VmRow& row)
{
    for (const auto& [name, wave] : this->input.config.waves) {
        const auto entry = this->rows.waves.find(name);
        if (entry == this->rows.waves.end() || entry->second.row.state != WaveState::Running
            || std::find(wave.pools.begin(), wave.pools.end(), row.pool) == wave.pools.end())
            continue;
        entry->second.row.failures.push_back({ vm, this->input.now });
        this->changedWaves.insert(name);
    }
}

void MaintenanceStep::applyMoves()
{
    for (const auto& move : this->input.moves) {
        const auto found = this->rows.vms.find(move.vm);
        const auto to = this->input.config.pools.find(move.to);
        const auto from = this->input.config.pools.find(move.from);
        if (this->isTransactionFull() || found == this->rows.vms.end() || to == this->input.config.pools.end()
            || from == this->input.config.pools.end() || this->changedVms.contains(move.vm))
            continue;
        auto row = found->second.row;
        if (row.pool != move.from || !this->isAvailable(move.vm, row))
            continue;
        int size = 0;
        int down = 0;
        for (const auto& [name, entry] : this->rows.vms) {
            if (entry.row.pool == move.from && this->input.config.vms.contains(name)) {
                ++size;
                down += this->isAvailable(name, entry.row) ? 0 : 1;
            }
        }
        if (size - 1 < from->second.minVms || (down && down > maxUnavailableVms(size - 1, from->second.minAvailable)))
            continue;
        this->logLines.push_back(fmt::format("move vm={} from={} to={}", move.vm, move.from, move.to));
        row.pool = move.to;
        this->writeVm(move.vm, row, VmPhase::Serving);
    }
}

void MaintenanceStep::setWaitReason(const std::string& vm, std::string_view reason) { this->waitReasons[vm] = reason; }

std::vector<RowWrite> MaintenanceStep::writes() const
{
    std::vector<RowWrite> changed;
    const auto add = [&changed](const auto& rowsOfKind, const std::set<std::string>& names, auto keyOf) {
        for (const auto& name : names) {
            const auto& entry = rowsOfKind.at(name);
            changed.push_back({ keyOf(name), toJson(entry.row), entry.version });
        }
    };
    add(this->rows.vms, this->changedVms, vmKey);
    add(this->rows.budgets, this->changedBudgets, budgetKey);
    add(this->rows.waves, this->changedWaves, waveKey);
    add(this->rows.journals, this->changedJournals, journalKey);
    return changed;
}

} // namespace waxwinglug::detail

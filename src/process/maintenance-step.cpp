// Phases of single VMs: what the rows and the list call for next.
#include "process/maintenance-step.h"

#include <fmt/format.h>

#include <algorithm>

namespace waxwinglug::detail {

std::string waveTag(std::string_view wave, std::uint64_t run) { return fmt::format("{}#{}", wave, run); }

FleetStep::FleetStep(const FleetRows& before, const std::vector<VmStatus>& listed, const StepInput& stepInput)
    : input(stepInput)
    , civil(stepInput.config.clock)
    , rows(before)
{
    for (const auto& status : listed)
        this->list[status.name] = status;
}

void FleetStep::run()
{
    this->createRows();
    // Failures and returns first, so that the budgets of the drains below include them.
    for (const auto& [name, vm] : this->input.config.vms)
        this->advance(name);
    this->applyMoves();
    for (const auto& [name, wave] : this->input.config.waves)
        this->advanceWave(name);
}

const VmStatus* FleetStep::statusOf(const std::string& vm) const
{
    const auto found = this->list.find(vm);
    return found == this->list.end() ? nullptr : &found->second;
}

void FleetStep::createRows()
{
    for (const auto& [name, vm] : this->input.config.vms) {
        if (this->rows.vms.contains(name))
            continue;
        if (this->full())
            return;
        const auto* status = this->statusOf(name);
        VmRow row;
        row.pool = vm.pool;
        row.incarnation = status ? status->incarnation : 0;
        this->write(name, row, status && status->state == VmState::Live ? VmPhase::Serving : VmPhase::Failed);
    }
}

void FleetStep::write(const std::string& vm, VmRow row, VmPhase phase)
{
    const auto& dataCentre = this->input.config.vms.at(vm).dataCentre;
    auto& journal = this->rows.journals[dataCentre].row;
    journal.append(vm);
    this->changedJournals.insert(dataCentre);
    if (row.phase != phase) {
        this->lines.push_back(fmt::format("vm={} pool={} {} -> {} incarnation={}", vm, row.pool, phaseName(row.phase),
            phaseName(phase), row.incarnation));
    }
    row.phase = phase;
    row.since = this->input.now;
    row.sequence = journal.sequence;
    this->rows.vms[vm].row = std::move(row);
    this->changedVms.insert(vm);
}

void FleetStep::setPlanned(const std::string& pool, const std::string& vm, bool planned)
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

bool FleetStep::planned(const std::string& vm, const VmRow& row) const
{
    const auto budget = this->rows.budgets.find(row.pool);
    return budget != this->rows.budgets.end()
        && std::binary_search(budget->second.row.planned.begin(), budget->second.row.planned.end(), vm);
}

bool FleetStep::available(const std::string& vm, const VmRow& row) const
{
    const auto* status = this->statusOf(vm);
    return row.phase == VmPhase::Serving && status && status->state == VmState::Live
        && status->incarnation == row.incarnation;
}

void FleetStep::advance(const std::string& vm)
{
    const auto found = this->rows.vms.find(vm);
    if (found == this->rows.vms.end() || this->changedVms.contains(vm) || this->full())
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

void FleetStep::advanceServing(const std::string& vm, VmRow row, const VmStatus* status)
{
    if (this->available(vm, row))
        return;
    // The platform announces a leaving VM; only one that is gone or was restarted has failed.
    if (!status || status->state != VmState::Leaving)
        this->recordFailure(vm, row);
    if (status && status->state == VmState::Live) {
        row.incarnation = status->incarnation;
        this->write(vm, row, VmPhase::Probing);
    } else {
        this->write(vm, row, VmPhase::Failed);
    }
}

bool FleetStep::drainMayGoOn(const VmRow& row) const
{
    const auto name = row.wave.substr(0, row.wave.rfind('#'));
    const auto wave = this->rows.waves.find(name);
    const auto declared = this->input.config.waves.find(name);
    if (wave == this->rows.waves.end() || declared == this->input.config.waves.end())
        return false;
    const auto window = this->input.config.windows.find(declared->second.window);
    return wave->second.row.state == WaveState::Running && row.wave == waveTag(name, wave->second.row.run)
        && window != this->input.config.windows.end()
        && this->civil.timeLeft(window->second, this->input.now) > Duration(0);
}

bool FleetStep::confirmed(const std::string& vm, const VmRow& row)
{
    const auto missing = this->input.hooks.unconfirmed(this->input.config.vms.at(vm).dataCentre, row.sequence);
    if (missing.empty())
        return true;
    const auto alive = std::find_if(missing.begin(), missing.end(), [](const auto& node) { return !node.gone; });
    if (alive == missing.end() && this->input.now - row.since >= this->input.settings.confirmTime)
        return true;
    const auto& first = alive == missing.end() ? missing.front() : *alive;
    this->wait(vm, fmt::format("entry VM {} has not confirmed the drain", first.name));
    return false;
}

void FleetStep::advanceDraining(const std::string& vm, VmRow row, const VmStatus* status)
{
    const bool live = status && status->state == VmState::Live;
    if (live && status->incarnation > row.incarnation) {
        // It restarted by itself, which is the maintenance that the wave asked for.
        this->recordFailure(vm, row);
        row.incarnation = status->incarnation;
        this->write(vm, row, VmPhase::Probing);
        return;
    }
    if (live && !this->drainMayGoOn(row)) {
        // No reboot was ordered in this phase, so the VM can return without one.
        row.wave.clear();
        this->setPlanned(row.pool, vm, false);
        this->write(vm, row, VmPhase::Serving);
        return;
    }
    if (!this->confirmed(vm, row))
        return;
    if (status && status->state != VmState::Gone) {
        const auto work = this->input.hooks.runningWork(vm);
        if (!work || *work > 0) {
            this->wait(
                vm, work ? fmt::format("{} requests or jobs run on it", *work) : "its running work is not known");
            if (this->input.now - row.since >= this->input.settings.checkpointAfter)
                this->checkpoints.push_back(vm);
            return;
        }
    }
    this->write(vm, row, VmPhase::Rebooting);
}

void FleetStep::advanceRebooting(const std::string& vm, VmRow row, const VmStatus* status)
{
    if (status && status->state == VmState::Live && status->incarnation > row.incarnation) {
        row.incarnation = status->incarnation;
        row.overdue = false;
        this->write(vm, row, VmPhase::Probing);
        return;
    }
    this->reboots[vm] = row.incarnation;
    this->wait(vm, "the list does not show it restarted");
    if (!row.overdue && this->input.now - row.since >= this->input.settings.returnTime) {
        this->recordFailure(vm, row);
        row.overdue = true;
        this->write(vm, row, VmPhase::Rebooting);
    }
}

// Failed, Probing and SlowStart: back to service, or down again.
void FleetStep::advanceReturning(const std::string& vm, VmRow row, const VmStatus* status)
{
    const bool live = status && status->state == VmState::Live;
    if (live && (status->incarnation != row.incarnation || row.phase == VmPhase::Failed)) {
        row.incarnation = std::max(row.incarnation, status->incarnation);
        if (status->incarnation == row.incarnation)
            this->write(vm, row, VmPhase::Probing);
    } else if (!live) {
        this->wait(vm, "the list does not show it live");
        if (row.phase == VmPhase::Failed)
            return;
        this->recordFailure(vm, row);
        this->write(vm, row, this->planned(vm, row) ? VmPhase::Rebooting : VmPhase::Failed);
    } else if (row.phase == VmPhase::Probing) {
        const auto passed = this->input.probed.find(vm);
        if (passed != this->input.probed.end() && passed->second == row.incarnation) {
            row.overdue = false;
            this->write(vm, row, VmPhase::SlowStart);
            return;
        }
        this->probes[vm] = row.incarnation;
        this->wait(vm, "the probe has not passed");
        if (!row.overdue && this->input.now - row.since >= this->input.settings.returnTime) {
            this->recordFailure(vm, row);
            row.overdue = true;
            this->write(vm, row, VmPhase::Probing);
        }
    } else if (this->input.now - row.since >= this->input.settings.slowStart) {
        this->setPlanned(row.pool, vm, false);
        this->write(vm, row, VmPhase::Serving);
    } else {
        this->wait(vm, "slow start");
    }
}

void FleetStep::recordFailure(const std::string& vm, const VmRow& row)
{
    for (const auto& [name, wave] : this->input.config.waves) {
        const auto held = this->rows.waves.find(name);
        if (held == this->rows.waves.end() || held->second.row.state != WaveState::Running
            || std::find(wave.pools.begin(), wave.pools.end(), row.pool) == wave.pools.end())
            continue;
        held->second.row.failures.push_back({ vm, this->input.now });
        this->changedWaves.insert(name);
    }
}

void FleetStep::applyMoves()
{
    for (const auto& move : this->input.moves) {
        const auto found = this->rows.vms.find(move.vm);
        const auto to = this->input.config.pools.find(move.to);
        const auto from = this->input.config.pools.find(move.from);
        if (this->full() || found == this->rows.vms.end() || to == this->input.config.pools.end()
            || from == this->input.config.pools.end() || this->changedVms.contains(move.vm))
            continue;
        auto row = found->second.row;
        if (row.pool != move.from || !this->available(move.vm, row))
            continue;
        int size = 0;
        int down = 0;
        for (const auto& [name, held] : this->rows.vms) {
            if (held.row.pool == move.from && this->input.config.vms.contains(name)) {
                ++size;
                down += this->available(name, held.row) ? 0 : 1;
            }
        }
        if (size - 1 < from->second.minVms || (down && down > allowedDown(size - 1, from->second.minAvailable)))
            continue;
        this->lines.push_back(fmt::format("move vm={} from={} to={}", move.vm, move.from, move.to));
        row.pool = move.to;
        this->write(move.vm, row, VmPhase::Serving);
    }
}

void FleetStep::wait(const std::string& vm, std::string_view reason) { this->waits[vm] = reason; }

std::vector<RowWrite> FleetStep::writes() const
{
    std::vector<RowWrite> changed;
    const auto add = [&changed](const auto& rowsOfKind, const std::set<std::string>& names, auto keyOf) {
        for (const auto& name : names) {
            const auto& held = rowsOfKind.at(name);
            changed.push_back({ keyOf(name), toJson(held.row), held.version });
        }
    };
    add(this->rows.vms, this->changedVms, vmKey);
    add(this->rows.budgets, this->changedBudgets, budgetKey);
    add(this->rows.waves, this->changedWaves, waveKey);
    add(this->rows.journals, this->changedJournals, journalKey);
    return changed;
}

} // namespace waxwinglug::detail

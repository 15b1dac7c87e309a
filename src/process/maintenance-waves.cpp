// State of waves: pauses them, starts drains, completes them and reports progress.
#include "process/maintenance-step.h"

#include <fmt/format.h>

#include <algorithm>

namespace waxwinglug::detail {
namespace {

    bool includesPool(const Wave& wave, std::string_view pool)
    {
        return std::find(wave.pools.begin(), wave.pools.end(), pool) != wave.pools.end();
    }

    std::string pauseReason(const Wave& wave, const WaveRow& row)
    {
        std::string list;
        for (const auto& failure : row.failures)
            list.append(list.empty() ? "" : ", ").append(failure.vm);
        return fmt::format("{} VMs failed within {} min: {}; look for a common cause, then resume the wave",
            row.failures.size(), std::chrono::duration_cast<std::chrono::minutes>(wave.failureWindow).count(), list);
    }

} // namespace

void MaintenanceStep::advanceWave(const std::string& name)
{
    const auto entry = this->rows.waves.find(name);
    if (entry == this->rows.waves.end())
        return;
    const auto& wave = this->input.config.waves.at(name);
    auto& row = entry->second.row;
    if (row.state == WaveState::Running) {
        const auto oldest = this->input.now - wave.failureWindow;
        const auto expiredFailures
            = std::erase_if(row.failures, [&](const auto& failure) { return failure.at < oldest; });
        if (static_cast<int>(row.failures.size()) >= wave.pauseAfterFailures) {
            row.state = WaveState::Paused;
            row.reason = pauseReason(wave, row);
            this->logLines.push_back(fmt::format("wave paused wave={} reason={}", name, row.reason));
        }
        if (expiredFailures || row.state == WaveState::Paused)
            this->changedWaves.insert(name);
    }

    WaveProgress report;
    report.wave = name;
    report.run = row.run;
    const auto tag = waveTag(name, row.run);
    for (const auto& [vm, vmEntry] : this->rows.vms) {
        if (!includesPool(wave, vmEntry.row.pool) || !this->input.config.vms.contains(vm))
            continue;
        ++report.totalVms;
        if (vmEntry.row.wave == tag && vmEntry.row.phase == VmPhase::Serving)
            ++report.maintainedVms;
        else if (const auto reason = this->waitReasons.find(vm); reason != this->waitReasons.end())
            report.waits.push_back({ vm, vmEntry.row.phase, reason->second });
    }
    if (row.state == WaveState::Running) {
        if (report.maintainedVms == report.totalVms) {
            row.state = WaveState::Done;
            this->changedWaves.insert(name);
            this->logLines.push_back(fmt::format("wave done wave={} run={}", name, row.run));
        } else {
            this->startDrains(wave, tag, report);
        }
    }
    report.state = row.state;
    if (row.state == WaveState::Paused)
        report.reason = row.reason;
    this->waveProgress.push_back(std::move(report));
}

void MaintenanceStep::buildPlan(const Wave& wave, const std::string& tag)
{
    this->planPools.clear();
    this->planVms.clear();
    this->planVmNames.clear();
    std::map<std::string_view, std::uint32_t> poolIndex;
    for (const auto& [name, pool] : this->input.config.pools) {
        poolIndex[name] = static_cast<std::uint32_t>(this->planPools.size());
        this->planPools.push_back({ name, pool.minAvailable, pool.maxRacksDown });
    }
    std::map<std::pair<std::string_view, std::string_view>, std::uint32_t> rackIndex;
    for (const auto& [name, entry] : this->rows.vms) {
        const auto configured = this->input.config.vms.find(name);
        const auto pool = poolIndex.find(entry.row.pool);
        if (configured == this->input.config.vms.end() || pool == poolIndex.end())
            continue;
        const auto& vm = configured->second;
        const auto rack = rackIndex.try_emplace({ vm.dataCentre, vm.rack }, rackIndex.size()).first->second;
        PlanVm plan;
        plan.pool = pool->second;
        plan.rack = rack;
        plan.isDown = !this->isAvailable(name, entry.row);
        plan.isUnderMaintenance = plan.isDown && this->isPlanned(name, entry.row);
        plan.needsMaintenance = includesPool(wave, entry.row.pool) && entry.row.wave != tag;
        if (plan.needsMaintenance || plan.isUnderMaintenance)
            plan.workDuration = this->input.hooks.expectedWorkDuration(name);
        this->planVms.push_back(plan);
        this->planVmNames.push_back(name);
    }
}

void MaintenanceStep::startDrains(const Wave& wave, const std::string& tag, WaveProgress& report)
{
    this->buildPlan(wave, tag);
    const auto plan = planWave(this->planPools, this->planVms, this->input.settings.estimatedTimePerVm);
    report.reason = plan.limitingFactor;
    this->estimateEnd(wave, plan, report);
    const auto window = this->input.config.windows.find(wave.window);
    const auto timeLeft = window == this->input.config.windows.end()
        ? Duration(0)
        : this->civilClock.timeLeftInWindow(window->second, this->input.now);
    if (timeLeft == Duration(0)) {
        report.reason = fmt::format("outside window {}", wave.window);
        return;
    }
    for (const auto vm : plan.blockedVms)
        report.waits.push_back({ this->planVmNames[vm], VmPhase::Serving, "no order of work fits the pool's budget" });
    for (const auto index : plan.vmsToDrain) {
        const auto& name = this->planVmNames[index];
        // A VM whose row changed in this step may have just returned to service; the next step plans it again.
        if (this->isTransactionFull() || this->changedVms.contains(name))
            continue;
        if (this->planVms[index].workDuration + this->input.settings.estimatedTimePerVm > timeLeft) {
            report.waits.push_back({ name, VmPhase::Serving, "the window ends before it would be back" });
            continue;
        }
        auto row = this->rows.vms.at(name).row;
        row.wave = tag;
        this->setPlanned(row.pool, name, true);
        this->writeVm(name, row, VmPhase::Draining);
    }
}

// Estimates the end of the wave by distributing the remaining time over the coming windows.
void MaintenanceStep::estimateEnd(const Wave& wave, const WavePlan& plan, WaveProgress& report) const
{
    const auto window = this->input.config.windows.find(wave.window);
    if (!plan.blockedVms.empty() || window == this->input.config.windows.end())
        return;
    // No end is estimated for a wave that needs more windows than this.
    constexpr int maxWindows = 100;
    auto remaining = plan.remainingTime;
    auto at = this->input.now;
    for (int count = 0; count < maxWindows; ++count) {
        const auto next = this->civilClock.nextWindow(window->second, at);
        if (!next)
            return;
        const auto start = std::max(at, next->start);
        if (remaining <= next->end - start) {
            report.expectedEnd = start + remaining;
            return;
        }
        remaining -= next->end - start;
        at = next->end;
    }
}

} // namespace waxwinglug::detail

// The cycle of the maintainer: checks the lease, reads the rows, commits one transaction and sends orders.
#include <waxwinglug/maintenance.h>

#include "process/maintenance-step.h"

#include <fmt/format.h>

namespace waxwinglug {
namespace {

    template <typename T> void cacheTypedRow(ByName<Versioned<T>>& rows, std::string_view name, const Row& row)
    {
        if (row.version)
            rows[std::string(name)] = { fromJson<T>(row.value), row.version };
        else
            rows.erase(std::string(name));
    }

} // namespace

Maintainer::Maintainer(NodeId node, Clock source, Platform platformHooks, MaintenanceHooks maintenanceHooks,
    MaintenanceSettings maintenanceSettings)
    : self(std::move(node))
    , clock(std::move(source))
    , platform(std::move(platformHooks))
    , hooks(std::move(maintenanceHooks))
    , settings(maintenanceSettings)
{
}

void Maintainer::setConfig(std::shared_ptr<const Config> newConfig)
{
    if (this->config && newConfig) {
        for (const auto& [name, window] : newConfig->windows) {
            if (nextWindowChanges(this->config->clock, newConfig->clock, window, this->clock.wallNow()))
                this->log(fmt::format("clock change alters the next window, replanning waves window={}", name));
        }
    }
    this->config = std::move(newConfig);
    this->needsFullRead = true;
}

void Maintainer::requestMoves(std::vector<PoolMove> requested) { this->requestedMoves = std::move(requested); }

void Maintainer::tick()
{
    if (this->isCycleRunning || !this->config)
        return;
    this->isCycleRunning = true;
    const auto requestedAt = this->clock.now();
    this->platform.table.read(
        this->keysToRead(), [this, requestedAt, weak = std::weak_ptr(this->alive)](const auto& answer) {
            if (!weak.expired())
                this->onRows(requestedAt, answer);
        });
}

std::vector<std::string> Maintainer::keysToRead() const
{
    std::vector<std::string> keys { std::string(maintainLeaseKey) };
    if (!this->holdsLease)
        return keys;
    // Wave rows are always read, because operators may write them at any time.
    for (const auto& [name, wave] : this->config->waves)
        keys.push_back(waveKey(name));
    if (!this->needsFullRead) {
        for (const auto& key : this->staleKeys) {
            if (key != maintainLeaseKey && !key.starts_with(wavePrefix))
                keys.push_back(key);
        }
        return keys;
    }
    std::set<std::string> dataCentres;
    for (const auto& [name, vm] : this->config->vms) {
        keys.push_back(vmKey(name));
        dataCentres.insert(vm.dataCentre);
    }
    for (const auto& [name, pool] : this->config->pools)
        keys.push_back(budgetKey(name));
    for (const auto& name : dataCentres)
        keys.push_back(journalKey(name));
    return keys;
}

void Maintainer::cacheRow(const Row& row)
{
    const std::string_view key = row.key;
    const auto name = key.substr(key.find('/') + 1);
    if (key.starts_with(vmPrefix))
        cacheTypedRow(this->cachedRows.vms, name, row);
    else if (key.starts_with(budgetPrefix))
        cacheTypedRow(this->cachedRows.budgets, name, row);
    else if (key.starts_with(wavePrefix))
        cacheTypedRow(this->cachedRows.waves, name, row);
    else if (key != maintainLeaseKey)
        cacheTypedRow(this->cachedRows.journals, name, row);
}

void Maintainer::onRows(TimePoint requestedAt, const std::optional<std::vector<Row>>& answer)
{
    if (!answer) {
        this->endCycle(this->holdsLease);
        return;
    }
    const auto& lease = answer->front();
    if (lease.version != this->cachedRows.lease.version || !this->leaseChangedAt)
        this->leaseChangedAt = this->clock.now();
    this->cachedRows.lease = { lease.version ? fromJson<LeaseRow>(lease.value) : LeaseRow(), lease.version };
    const auto& leaseRow = this->cachedRows.lease.row;
    if (!lease.version || leaseRow.holder != this->self.name || leaseRow.incarnation != this->self.incarnation) {
        this->acquireLeaseIfExpired();
        return;
    }
    if (!this->holdsLease) {
        // Rows that were read before the lease was acquired may be outdated.
        this->cachedRows = { {}, {}, {}, {}, this->cachedRows.lease };
        this->needsFullRead = true;
        this->log("lease taken");
        this->endCycle(true);
        return;
    }
    for (const auto& row : *answer)
        this->cacheRow(row);
    this->needsFullRead = false;
    this->staleKeys.clear();
    this->platform.vms.list([this, requestedAt, weak = std::weak_ptr(this->alive)](const auto& listed) {
        if (weak.expired())
            return;
        if (!listed || this->clock.now() - requestedAt > this->settings.maxListAge)
            this->endCycle(true);
        else
            this->runStep(*listed);
    });
}

void Maintainer::acquireLeaseIfExpired()
{
    if (this->holdsLease)
        this->log(fmt::format("lease lost holder={}", this->cachedRows.lease.row.holder));
    this->lastProgress.clear();
    const bool expired = this->clock.now() - *this->leaseChangedAt >= this->settings.leaseDuration;
    if (this->cachedRows.lease.version && !expired) {
        this->endCycle(false);
        return;
    }
    this->holdsLease = false;
    this->commit({});
}

void Maintainer::runStep(const std::vector<VmStatus>& listed)
{
    const detail::StepInput input { *this->config, this->settings, this->hooks, this->passedProbes,
        this->requestedMoves, this->clock.wallNow() };
    detail::MaintenanceStep step(this->cachedRows, listed, input);
    step.run();
    this->requestedMoves.clear();
    this->lastProgress = step.progress();
    for (const auto& line : step.logLines)
        this->log(line);
    for (const auto& [vm, incarnation] : step.reboots)
        this->sendOrder(vm, "reboot", [&] {
            this->platform.control.reboot(
                vm, incarnation, [](bool) { /* repeated until the VM list shows the restart */ });
        });
    for (const auto& vm : step.checkpoints)
        this->sendOrder(vm, "checkpoint",
            [&] { this->platform.control.checkpoint(vm, [](bool) { /* repeated while work is running */ }); });
    for (const auto& [vm, incarnation] : step.probes) {
        this->sendOrder(vm, "probe", [&] {
            this->hooks.probe(vm, [this, vm, incarnation, weak = std::weak_ptr(this->alive)](bool passed) {
                if (!weak.expired() && passed)
                    this->passedProbes[vm] = incarnation;
            });
        });
    }
    auto writes = step.writes();
    if (writes.empty() && this->clock.now() - this->renewedAt < this->settings.renewInterval)
        this->endCycle(true);
    else
        this->commit(std::move(writes));
}

void Maintainer::sendOrder(const std::string& vm, std::string_view kind, const std::function<void()>& send)
{
    auto& last = this->lastOrderAt[fmt::format("{} {}", kind, vm)];
    const auto now = this->clock.now();
    if (last != TimePoint() && now - last < this->settings.repeatInterval)
        return;
    last = now;
    send();
}

void Maintainer::commit(std::vector<RowWrite> writes)
{
    const LeaseRow renewed { this->self.name, this->self.incarnation, this->cachedRows.lease.row.renewals + 1 };
    writes.push_back({ std::string(maintainLeaseKey), toJson(renewed), this->cachedRows.lease.version });
    for (const auto& write : writes)
        this->staleKeys.insert(write.key);
    const auto sentAt = this->clock.now();
    this->platform.table.commit(
        std::move(writes), [this, sentAt, weak = std::weak_ptr(this->alive)](const CommitResult& result) {
            if (weak.expired())
                return;
            if (result.status == CommitStatus::Committed)
                this->renewedAt = sentAt;
            // Whatever the answer, the next cycle reads the written rows and works from their content.
            this->endCycle(this->holdsLease);
        });
}

void Maintainer::endCycle(bool active)
{
    this->holdsLease = active;
    if (!active)
        this->needsFullRead = true;
    this->isCycleRunning = false;
}

void Maintainer::log(std::string_view line) const
{
    if (this->hooks.log)
        this->hooks.log(fmt::format("maintain: {}", line));
}

RowWrite startWave(const Row& current, std::string_view wave, WallTime now)
{
    const auto before
        = current.version ? fromJson<WaveRow>(current.value) : WaveRow { 0, WaveState::Done, now, {}, {} };
    if (before.state == WaveState::Running || before.state == WaveState::Paused) {
        throw Error(ErrorKind::Conflict, fmt::format("run {} of wave {} is still active", before.run, wave),
            "wait until it ends or cancel it");
    }
    return { waveKey(wave), toJson(WaveRow { before.run + 1, WaveState::Running, now, {}, {} }), current.version };
}

RowWrite resumeWave(const Row& current)
{
    auto wave = current.version ? fromJson<WaveRow>(current.value) : WaveRow { 0, WaveState::Done, {}, {}, {} };
    if (wave.state != WaveState::Paused)
        throw Error(ErrorKind::Refused, "the wave is not paused", "start it instead");
    wave.state = WaveState::Running;
    wave.failures.clear();
    wave.reason.clear();
    return { current.key, toJson(wave), current.version };
}

RowWrite cancelWave(const Row& current)
{
    auto wave = current.version ? fromJson<WaveRow>(current.value) : WaveRow { 0, WaveState::Done, {}, {}, {} };
    if (wave.state != WaveState::Running && wave.state != WaveState::Paused)
        throw Error(ErrorKind::Refused, "the wave has no active run", "start it first");
    wave.state = WaveState::Cancelled;
    return { current.key, toJson(wave), current.version };
}

} // namespace waxwinglug

// The cycle of the maintainer: lease, reading, one transaction, orders.
#include <waxwinglug/maintenance.h>

#include "process/maintenance-step.h"

#include <fmt/format.h>

namespace waxwinglug {
namespace {

    template <typename T> void hold(ByName<Held<T>>& rows, std::string_view name, const Row& row)
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

void Maintainer::setConfig(std::shared_ptr<const Config> accepted)
{
    if (this->config && accepted) {
        for (const auto& [name, window] : accepted->windows) {
            if (movesWindow(this->config->clock, accepted->clock, window, this->clock.wallNow()))
                this->log(fmt::format("window moved by a clock change, waves are planned again window={}", name));
        }
    }
    this->config = std::move(accepted);
    this->readAll = true;
}

void Maintainer::requestMoves(std::vector<PoolMove> wanted) { this->moves = std::move(wanted); }

void Maintainer::tick()
{
    if (this->open || !this->config)
        return;
    this->open = true;
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
    // Operators write wave rows at any time.
    for (const auto& [name, wave] : this->config->waves)
        keys.push_back(waveKey(name));
    if (!this->readAll) {
        for (const auto& key : this->stale) {
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

void Maintainer::takeRow(const Row& row)
{
    const std::string_view key = row.key;
    const auto name = key.substr(key.find('/') + 1);
    if (key.starts_with(vmPrefix))
        hold(this->fleet.vms, name, row);
    else if (key.starts_with(budgetPrefix))
        hold(this->fleet.budgets, name, row);
    else if (key.starts_with(wavePrefix))
        hold(this->fleet.waves, name, row);
    else if (key != maintainLeaseKey)
        hold(this->fleet.journals, name, row);
}

void Maintainer::onRows(TimePoint requestedAt, const std::optional<std::vector<Row>>& answer)
{
    if (!answer) {
        this->endCycle(this->holdsLease);
        return;
    }
    const auto& lease = answer->front();
    if (lease.version != this->fleet.lease.version || !this->leaseSeen)
        this->leaseSeen = this->clock.now();
    this->fleet.lease = { lease.version ? fromJson<LeaseRow>(lease.value) : LeaseRow(), lease.version };
    const auto& held = this->fleet.lease.row;
    if (!lease.version || held.holder != this->self.name || held.incarnation != this->self.incarnation) {
        this->watchLease();
        return;
    }
    if (!this->holdsLease) {
        // Rows read before the lease was taken may be old.
        this->fleet = { {}, {}, {}, {}, this->fleet.lease };
        this->readAll = true;
        this->log("lease taken");
        this->endCycle(true);
        return;
    }
    for (const auto& row : *answer)
        this->takeRow(row);
    this->readAll = false;
    this->stale.clear();
    this->platform.vms.list([this, requestedAt, weak = std::weak_ptr(this->alive)](const auto& listed) {
        if (weak.expired())
            return;
        if (!listed || this->clock.now() - requestedAt > this->settings.listAge)
            this->endCycle(true);
        else
            this->decide(*listed);
    });
}

void Maintainer::watchLease()
{
    if (this->holdsLease)
        this->log(fmt::format("lease lost holder={}", this->fleet.lease.row.holder));
    this->lastProgress.clear();
    const bool expired = this->clock.now() - *this->leaseSeen >= this->settings.leaseTime;
    if (this->fleet.lease.version && !expired) {
        this->endCycle(false);
        return;
    }
    this->holdsLease = false;
    this->commit({});
}

void Maintainer::decide(const std::vector<VmStatus>& listed)
{
    const detail::StepInput input { *this->config, this->settings, this->hooks, this->probed, this->moves,
        this->clock.wallNow() };
    detail::FleetStep step(this->fleet, listed, input);
    step.run();
    this->moves.clear();
    this->lastProgress = step.progress();
    for (const auto& line : step.lines)
        this->log(line);
    for (const auto& [vm, incarnation] : step.reboots)
        this->order(vm, "reboot", [&] {
            this->platform.control.reboot(vm, incarnation, [](bool) { /* repeated until the list shows it */ });
        });
    for (const auto& vm : step.checkpoints)
        this->order(vm, "checkpoint",
            [&] { this->platform.control.checkpoint(vm, [](bool) { /* repeated while work runs */ }); });
    for (const auto& [vm, incarnation] : step.probes) {
        this->order(vm, "probe", [&] {
            this->hooks.probe(vm, [this, vm, incarnation, weak = std::weak_ptr(this->alive)](bool passed) {
                if (!weak.expired() && passed)
                    this->probed[vm] = incarnation;
            });
        });
    }
    auto writes = step.writes();
    if (writes.empty() && this->clock.now() - this->renewedAt < this->settings.renewEvery)
        this->endCycle(true);
    else
        this->commit(std::move(writes));
}

void Maintainer::order(const std::string& vm, std::string_view kind, const std::function<void()>& send)
{
    auto& last = this->orders[fmt::format("{} {}", kind, vm)];
    const auto now = this->clock.now();
    if (last != TimePoint() && now - last < this->settings.repeatAfter)
        return;
    last = now;
    send();
}

void Maintainer::commit(std::vector<RowWrite> writes)
{
    const LeaseRow renewed { this->self.name, this->self.incarnation, this->fleet.lease.row.renewals + 1 };
    writes.push_back({ std::string(maintainLeaseKey), toJson(renewed), this->fleet.lease.version });
    for (const auto& write : writes)
        this->stale.insert(write.key);
    const auto sentAt = this->clock.now();
    this->platform.table.commit(
        std::move(writes), [this, sentAt, weak = std::weak_ptr(this->alive)](const CommitResult& result) {
            if (weak.expired())
                return;
            if (result.status == CommitStatus::Committed)
                this->renewedAt = sentAt;
            // Whatever the answer, the next cycle reads the written rows and decides from what they show.
            this->endCycle(this->holdsLease);
        });
}

void Maintainer::endCycle(bool active)
{
    this->holdsLease = active;
    if (!active)
        this->readAll = true;
    this->open = false;
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
        throw Error(ErrorKind::Conflict, fmt::format("run {} of wave {} is open", before.run, wave),
            "wait for its end or cancel it");
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
        throw Error(ErrorKind::Refused, "the wave has no open run", "start it first");
    wave.state = WaveState::Cancelled;
    return { current.key, toJson(wave), current.version };
}

} // namespace waxwinglug

// States of backend servers: configuration, VM list, direct evidence, and the limit on ejections.
#include <waxwinglug/connection.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace waxwinglug {

bool BackendSelector::countsAsMember(const Backend& backend)
{
    return backend.configured && !backend.cordoned && backend.state != BackendState::Draining
        && backend.state != BackendState::Gone;
}

void BackendSelector::updateUsable(ServerIndex server)
{
    auto& backend = this->backends[server];
    const bool takes = countsAsMember(backend) && backend.state != BackendState::Ejected;
    if (takes == (backend.usableIndex >= 0))
        return;
    if (takes) {
        backend.usableIndex = static_cast<int>(this->usable.size());
        this->usable.push_back(server);
        return;
    }
    const auto lastServer = this->usable.back();
    this->usable[static_cast<std::size_t>(backend.usableIndex)] = lastServer;
    this->backends[lastServer].usableIndex = backend.usableIndex;
    this->usable.pop_back();
    backend.usableIndex = -1;
}

void BackendSelector::updateMembership(Backend& backend, const std::function<void()>& apply)
{
    const auto count = [this, &backend](int by) {
        auto& pool = this->pools[static_cast<std::size_t>(backend.pool)];
        if (!countsAsMember(backend))
            return;
        pool.members += by;
        if (backend.state == BackendState::Ejected)
            pool.ejected += by;
    };
    const int poolBefore = backend.pool;
    count(-1);
    apply();
    count(1);
    this->updateUsable(static_cast<ServerIndex>(&backend - this->backends.data()));
    this->enforceEjectionLimit(poolBefore);
    this->enforceEjectionLimit(backend.pool);
}

void BackendSelector::setState(Backend& backend, BackendState state)
{
    backend.stateSince = this->clock.now();
    backend.failureScore = 0;
    backend.consecutiveFailures = 0;
    backend.leavingEvidenceAt.reset();
    backend.nextProbe.reset();
    backend.probeRunning = false;
    this->updateMembership(backend, [&backend, state] { backend.state = state; });
}

// When a pool has shrunk, more servers may be ejected than the limit allows. Returns those ejected first to service.
void BackendSelector::enforceEjectionLimit(int pool)
{
    const auto index = static_cast<std::size_t>(pool);
    while (this->pools[index].ejected > std::floor(this->options.maxEjectedFraction * this->pools[index].members)) {
        Backend* oldest = nullptr;
        for (auto& backend : this->backends) {
            if (backend.pool == pool && backend.state == BackendState::Ejected && countsAsMember(backend)
                && (!oldest || backend.stateSince < oldest->stateSince))
                oldest = &backend;
        }
        this->setState(*oldest, BackendState::SlowStart);
    }
}

int BackendSelector::poolIndex(std::string_view name)
{
    const auto found
        = std::find_if(this->pools.begin(), this->pools.end(), [name](const auto& pool) { return pool.name == name; });
    if (found != this->pools.end())
        return static_cast<int>(found - this->pools.begin());
    this->pools.push_back({ std::string(name), 0, 0, 0 });
    return static_cast<int>(this->pools.size()) - 1;
}

int BackendSelector::rackIndex(std::string_view name)
{
    return this->racks.emplace(std::string(name), static_cast<int>(this->racks.size())).first->second;
}

void BackendSelector::setBackends(std::span<const BackendSpec> specs)
{
    std::vector<bool> listed(this->backends.size() + specs.size());
    // Reserved in advance, because updateMembership() is called with references to elements.
    this->backends.reserve(this->backends.size() + specs.size());
    for (const auto& spec : specs) {
        const auto [entry, isNew] = this->byName.emplace(spec.vm, static_cast<ServerIndex>(this->backends.size()));
        const int pool = this->poolIndex(spec.pool);
        if (isNew) {
            this->backends.emplace_back();
            this->backends.back().configured = false;
            this->backends.back().pool = pool;
        }
        auto& backend = this->backends[entry->second];
        listed[entry->second] = true;
        const bool returns = !isNew && !backend.configured;
        const int rack = this->rackIndex(spec.rack);
        // Consecutive failures are compared with the answers of one pool, so a move to another pool resets them.
        if (pool != backend.pool)
            backend.consecutiveFailures = 0;
        this->updateMembership(backend, [&backend, &spec, pool, rack] {
            backend.configured = true;
            backend.spec = spec;
            backend.pool = pool;
            backend.rack = rack;
        });
        if (returns && backend.state != BackendState::Draining && backend.state != BackendState::Gone)
            this->setState(backend, BackendState::SlowStart);
    }
    this->usable.reserve(this->backends.size());
    for (std::size_t i = 0; i < this->backends.size(); ++i) {
        auto& backend = this->backends[i];
        if (!listed[i] && backend.configured)
            this->updateMembership(backend, [&backend] { backend.configured = false; });
    }
}

void BackendSelector::setCordoned(std::string_view vm, bool cordoned)
{
    const auto server = this->find(vm);
    if (!server || this->backends[*server].cordoned == cordoned)
        return;
    auto& backend = this->backends[*server];
    this->updateMembership(backend, [&backend, cordoned] { backend.cordoned = cordoned; });
    if (!cordoned && this->takesWork(*server))
        this->setState(backend, BackendState::SlowStart);
}

void BackendSelector::markLeaving(std::string_view vm, std::uint64_t incarnation)
{
    const auto server = this->find(vm);
    if (!server)
        return;
    auto& backend = this->backends[*server];
    if (incarnation != 0 && incarnation < backend.incarnation)
        return;
    backend.incarnation = std::max(backend.incarnation, incarnation);
    if (backend.state == BackendState::Gone)
        return;
    // Renews the time of the evidence, so that a server that keeps refusing connections is not probed early.
    if (backend.state != BackendState::Draining || backend.leavingEvidenceAt) {
        this->setState(backend, BackendState::Draining);
        backend.leavingEvidenceAt = this->clock.now();
    }
}

void BackendSelector::applyVmList(std::span<const VmStatus> list)
{
    for (const auto& status : list) {
        if (const auto server = this->find(status.name))
            this->applyStatus(this->backends[*server], status);
    }
}

void BackendSelector::applyStatus(Backend& backend, const VmStatus& status)
{
    if (status.incarnation < backend.incarnation)
        return;
    const bool restarted = status.incarnation > backend.incarnation && backend.incarnation != 0;
    backend.incarnation = status.incarnation;
    if (status.state != VmState::Live) {
        const auto target = status.state == VmState::Gone ? BackendState::Gone : BackendState::Draining;
        if (restarted || backend.state != target || backend.leavingEvidenceAt)
            this->setState(backend, target);
        return;
    }
    if (restarted) {
        this->setState(backend, BackendState::SlowStart);
        return;
    }
    if (backend.state != BackendState::Draining && backend.state != BackendState::Gone)
        return;
    if (!backend.leavingEvidenceAt) {
        // The server was leaving according to the list alone, and the list now reports it as live.
        this->setState(backend, BackendState::SlowStart);
    } else if (this->clock.now() - *backend.leavingEvidenceAt >= this->options.maxListLag && !backend.nextProbe
        && !backend.probeRunning) {
        // The list is newer than the evidence but may be wrong, so the server is probed before it gets work.
        backend.probeInterval = this->options.initialProbeInterval;
        backend.nextProbe = this->clock.now();
    }
}

} // namespace waxwinglug

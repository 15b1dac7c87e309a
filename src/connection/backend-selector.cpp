// Selection of a backend server, and the use of its slots.
#include <waxwinglug/connection.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwinglug {

BackendSelector::BackendSelector(SelectorOptions selectorOptions, Clock source)
    : options(selectorOptions)
    , clock(std::move(source))
{
}

std::optional<ServerIndex> BackendSelector::find(std::string_view vm) const
{
    const auto found = this->byName.find(vm);
    return found == this->byName.end() ? std::nullopt : std::optional(found->second);
}

int BackendSelector::freeSlots() const
{
    const auto now = this->clock.now();
    int slots = 0;
    for (const auto server : this->usable)
        slots += std::max(0, this->capacity(this->backends[server], now) - this->backends[server].activeCount);
    return slots;
}

int BackendSelector::capacity(const Backend& backend, TimePoint now) const
{
    const int slots = std::min(backend.spec.slots, backend.spec.connections);
    if (backend.state != BackendState::SlowStart || now - backend.stateSince >= this->options.slowStartTime)
        return slots;
    const auto elapsed = std::chrono::duration<double>(now - backend.stateSince) / this->options.slowStartTime;
    const auto share = this->options.slowStartFraction + (1 - this->options.slowStartFraction) * elapsed;
    return std::max(1, static_cast<int>(slots * share));
}

double BackendSelector::load(const Backend& backend, TimePoint now) const
{
    // A server that fails immediately has few active requests, so its failures count as active requests.
    return static_cast<double>(backend.activeCount + backend.consecutiveFailures) / this->capacity(backend, now);
}

bool BackendSelector::isEligible(ServerIndex server, const SelectRequest& request, TimePoint now) const
{
    const auto& backend = this->backends[server];
    return backend.activeCount < this->capacity(backend, now)
        && std::find(request.exclude.begin(), request.exclude.end(), server) == request.exclude.end();
}

std::optional<ServerIndex> BackendSelector::pickRandom(
    const SelectRequest& request, TimePoint now, Random& random) const
{
    constexpr int rounds = 3;
    for (int round = 0; round < rounds; ++round) {
        std::optional<ServerIndex> best;
        for (int candidate = 0; candidate < 2; ++candidate) {
            const auto server = this->usable[random() % this->usable.size()];
            const auto& backend = this->backends[server];
            if (!this->isEligible(server, request, now))
                continue;
            if (request.avoidRackOf && this->backends[*request.avoidRackOf].rack == backend.rack)
                continue;
            if (!best || this->load(backend, now) < this->load(this->backends[*best], now))
                best = server;
        }
        if (best)
            return best;
    }
    return std::nullopt;
}

std::optional<ServerIndex> BackendSelector::pickByScan(
    const SelectRequest& request, TimePoint now, Random& random) const
{
    std::optional<ServerIndex> best;
    std::pair<bool, double> bestRank;
    const auto offset = random() % this->usable.size();
    for (std::size_t i = 0; i < this->usable.size(); ++i) {
        const auto server = this->usable[(offset + i) % this->usable.size()];
        if (!this->isEligible(server, request, now))
            continue;
        const auto& backend = this->backends[server];
        const bool sameRack = request.avoidRackOf && this->backends[*request.avoidRackOf].rack == backend.rack;
        const std::pair rank(sameRack, this->load(backend, now));
        if (!best || rank < bestRank) {
            best = server;
            bestRank = rank;
        }
    }
    return best;
}

std::optional<ServerIndex> BackendSelector::select(const SelectRequest& request, Random& random)
{
    if (this->usable.empty())
        return std::nullopt;
    const auto now = this->clock.now();
    auto server = this->pickRandom(request, now, random);
    if (!server)
        server = this->pickByScan(request, now, random);
    if (server)
        ++this->backends[*server].activeCount;
    return server;
}

void BackendSelector::release(ServerIndex server, AttemptResult result)
{
    auto& backend = this->backends[server];
    --backend.activeCount;
    auto& pool = this->pools[static_cast<std::size_t>(backend.pool)];
    if (result == AttemptResult::Answered) {
        ++pool.answers;
        backend.consecutiveFailures = 0;
        backend.failureScore = std::max(0.0, backend.failureScore - this->options.scoreDecayPerAnswer);
    } else if (result == AttemptResult::Failed) {
        if (backend.consecutiveFailures++ == 0)
            backend.poolAnswersBeforeFailures = pool.answers;
        const auto answersElsewhere = pool.answers - backend.poolAnswersBeforeFailures;
        if (backend.consecutiveFailures >= this->options.consecutiveFailures
            && answersElsewhere >= static_cast<std::uint64_t>(this->options.consecutiveFailures))
            this->eject(server);
    }
}

void BackendSelector::recordSuccessElsewhere(std::span<const ServerIndex> failedOn, ServerIndex succeededOn)
{
    for (const auto server : failedOn) {
        if (server == succeededOn)
            continue;
        auto& backend = this->backends[server];
        backend.failureScore += 1;
        if (backend.failureScore >= this->options.ejectionScore)
            this->eject(server);
    }
}

void BackendSelector::eject(ServerIndex server)
{
    auto& backend = this->backends[server];
    if (!this->takesWork(server) || !this->canEject(backend.pool))
        return;
    this->setState(backend, BackendState::Ejected);
    backend.probeInterval
        = std::clamp(backend.probeInterval * 2, this->options.initialProbeInterval, this->options.maxProbeInterval);
    backend.nextProbe = this->clock.now() + backend.probeInterval;
}

bool BackendSelector::canEject(int pool) const
{
    const auto& count = this->pools[static_cast<std::size_t>(pool)];
    return count.ejected + 1 <= std::floor(this->options.maxEjectedFraction * count.members);
}

void BackendSelector::collectDueProbes(std::vector<ServerIndex>& due)
{
    due.clear();
    const auto now = this->clock.now();
    for (ServerIndex server = 0; server < this->backends.size(); ++server) {
        auto& backend = this->backends[server];
        if (!backend.configured || !backend.nextProbe || *backend.nextProbe > now)
            continue;
        backend.nextProbe.reset();
        backend.probeRunning = true;
        due.push_back(server);
    }
}

void BackendSelector::recordProbe(ServerIndex server, bool answers)
{
    auto& backend = this->backends[server];
    // setState() resets the flag: the result of a probe that began in another state is ignored.
    if (!backend.probeRunning)
        return;
    backend.probeRunning = false;
    if (answers) {
        this->setState(backend, BackendState::SlowStart);
        return;
    }
    backend.probeInterval
        = std::clamp(backend.probeInterval * 2, this->options.initialProbeInterval, this->options.maxProbeInterval);
    backend.nextProbe = this->clock.now() + backend.probeInterval;
}

void BackendSelector::tick()
{
    const auto now = this->clock.now();
    for (auto& backend : this->backends) {
        if (backend.state != BackendState::SlowStart || now - backend.stateSince < this->options.slowStartTime)
            continue;
        this->setState(backend, BackendState::Serving);
        backend.probeInterval = Duration(0);
    }
}

} // namespace waxwinglug

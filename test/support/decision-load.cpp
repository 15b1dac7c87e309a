// Synthetic load that measures the cost of an admission decision.
#include "support/decision-load.h"

#include <charconv>

namespace waxwinglug::test {

DecisionLoad::DecisionLoad()
    : resources(teamCount)
{
    AllotmentHooks hooks;
    hooks.isGone = [](const NodeId&) { return false; };
    hooks.sendRequest = [](const NodeId&, const UnitRequest&) {};
    hooks.sendLoan = [](const NodeId&, const UnitLoan&) {};
    this->allotments = std::make_unique<Allotments>(
        NodeId { "e1", 1 }, AllotmentSettings {}, this->clock.clock(), this->platform.platform().table, hooks);
    for (int i = 0; i < teamCount; ++i) {
        auto name = "t" + std::to_string(i);
        this->resources[static_cast<std::size_t>(i)] = "team/" + name;
        this->allotments->setLimit("team/" + name, vmCount * slotsPerVm / teamCount, 1);
        this->allotments->setWaiting("team/" + name, vmCount);
        this->shares.push_back({ std::move(name), 100.0 / teamCount });
    }
    for (int i = 0; i < 10; ++i) {
        this->allotments->tick();
        this->platform.deliver();
    }
    for (int i = 0; i < poolCount; ++i) {
        RequestSchedulerSettings settings;
        settings.slots = vmCount * slotsPerVm / poolCount;
        settings.queueLimit = 100;
        PoolLoad pool;
        pool.scheduler = std::make_unique<RequestScheduler>(settings, [this](std::string_view team) {
            int index = 0;
            std::from_chars(team.data() + 1, team.data() + team.size(), index);
            return this->allotments->holdsFreeUnit(this->resources[static_cast<std::size_t>(index)]);
        });
        pool.scheduler->setTeams(this->shares);
        pool.running.resize(static_cast<std::size_t>(settings.slots));
        this->pools.push_back(std::move(pool));
        this->teamOfEntry.emplace_back(8192);
    }
}

void DecisionLoad::step()
{
    if (++this->stepNumber % 64 == 0)
        this->clock.advance(Duration { 1 });
    const auto now = this->clock.now();
    const auto index = this->random() % poolCount;
    auto& pool = this->pools[index];
    while (pool.count > 0 && pool.running[pool.first].end <= now) {
        const auto& run = pool.running[pool.first];
        pool.scheduler->markFinished(run.ticket, now);
        this->allotments->release(this->resources[run.team]);
        pool.first = (pool.first + 1) % pool.running.size();
        --pool.count;
    }
    pool.scheduler->expire(now, [this](Ticket) { ++this->refusalCount; });
    const auto team = static_cast<TeamIndex>(this->random() % teamCount);
    const auto workClass = this->random() % 8 == 0 ? WorkClass::Background : WorkClass::Interactive;
    const auto admission
        = pool.scheduler->submit({ this->shares[team].name, workClass, now + Duration { 2000 }, Duration { 50 } }, now);
    if (admission.ticket != 0)
        this->teamOfEntry[index][static_cast<std::uint32_t>(admission.ticket)] = team;
    else
        ++this->refusalCount;
    while (const auto ticket = pool.scheduler->grantNext(now)) {
        const auto owner = this->teamOfEntry[index][static_cast<std::uint32_t>(ticket)];
        if (!this->allotments->acquire(this->resources[owner]))
            std::abort(); // the hook has just reported a free unit
        pool.scheduler->markStarted(ticket, now);
        pool.running[(pool.first + pool.count) % pool.running.size()] = { now + Duration { 100 }, ticket, owner };
        ++pool.count;
        ++this->grantCount;
    }
}

std::uint64_t DecisionLoad::stepCount() const
{
    std::uint64_t sum = 0;
    for (const auto& pool : this->pools)
        sum += pool.scheduler->stepCount();
    return sum;
}

std::size_t DecisionLoad::waitingCount() const
{
    std::size_t sum = 0;
    for (const auto& pool : this->pools)
        sum += pool.scheduler->waitingCount();
    return sum;
}

} // namespace waxwinglug::test

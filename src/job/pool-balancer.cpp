// Assigns machines of the standby pool and of pools with a surplus to pools with a shortage.
#include "job/pool-balancer.h"

#include <algorithm>

namespace waxwinglug {

PoolBalancer::PoolBalancer(PoolRules poolRules)
    : rules(poolRules)
{
}

struct PoolBalancer::PoolState {
    const PoolDemand* demand = nullptr;
    int size = 0;
    int initialSize = 0;
    std::int64_t millicores = 0;
    // Processor beyond the required one and the headroom, in thousandths of a core; negative: a shortage.
    std::int64_t surplus(const PoolRules& rules) const
    {
        return this->millicores - this->demand->requiredMillicores * (100 + rules.headroomPercent) / 100;
    }
    std::vector<const PoolMachine*> movableMachines;
};

// Takes a machine out of a pool if it keeps at least `minSize` machines and has no shortage afterwards; otherwise
// returns nullptr.
const PoolMachine* PoolBalancer::takeMachine(PoolState& from, int minSize) const
{
    if (from.movableMachines.empty()
        || from.size <= std::max({ minSize, this->rules.minMachines, from.demand->minMachines }))
        return nullptr;
    const auto* machine = from.movableMachines.back();
    if (from.surplus(this->rules) < machine->millicores)
        return nullptr;
    from.movableMachines.pop_back();
    --from.size;
    from.millicores -= machine->millicores;
    return machine;
}

// Finds a machine for a pool with a shortage: first in pools above their initial size, then in the standby pool, then
// in other pools with a surplus, which get a machine back from the grown pool at their own peak.
const PoolMachine* PoolBalancer::findMachine(
    std::span<PoolState*> candidates, PoolState& standby, const PoolState& lacking) const
{
    for (auto* pool : candidates) {
        const auto* machine = pool == &lacking ? nullptr : this->takeMachine(*pool, pool->initialSize);
        if (machine)
            return machine;
    }
    if (!standby.movableMachines.empty()) {
        const auto* machine = standby.movableMachines.back();
        standby.movableMachines.pop_back();
        return machine;
    }
    // The pool with the largest surplus is the donor.
    PoolState* donor = nullptr;
    for (auto* pool : candidates) {
        if (pool != &lacking && !pool->movableMachines.empty()
            && (!donor || pool->surplus(this->rules) > donor->surplus(this->rules)))
            donor = pool;
    }
    return donor ? this->takeMachine(*donor, donor->initialSize * this->rules.minRetainedPercent / 100) : nullptr;
}

std::map<std::string, int> PoolBalancer::initialSizes() const
{
    std::map<std::string, int> sizes;
    for (const auto& [service, pool] : this->pools)
        sizes[service] = pool.initialSize;
    return sizes;
}

void PoolBalancer::setInitialSizes(const std::map<std::string, int>& sizes)
{
    for (const auto& [service, size] : sizes)
        this->pools[service].initialSize = size;
}

std::vector<MachineMove> PoolBalancer::decide(
    std::span<const PoolDemand> demands, std::span<const PoolMachine> machines, TimePoint now)
{
    std::map<std::string, PoolState> states;
    PoolState* standby = nullptr;
    std::vector<PoolState*> activePools;
    for (const auto& demand : demands) {
        auto& state = states[demand.service];
        state.demand = &demand;
        if (demand.isStandby)
            standby = &state;
        else
            activePools.push_back(&state);
    }
    for (const auto& machine : machines) {
        const auto state = states.find(machine.service);
        if (state == states.end())
            continue;
        ++state->second.size;
        state->second.millicores += machine.millicores;
        if (machine.canMove && !machine.isMoving)
            state->second.movableMachines.push_back(&machine);
    }
    std::vector<MachineMove> moves;
    if (!standby)
        return moves;
    for (auto* state : activePools) {
        auto& pool = this->pools[state->demand->service];
        if (pool.initialSize == 0)
            pool.initialSize = state->size;
        state->initialSize = pool.initialSize;
    }
    // Pools with the largest shortage come first.
    std::ranges::sort(activePools, {}, [this](const PoolState* state) { return state->surplus(this->rules); });
    for (auto* state : activePools) {
        while (state->surplus(this->rules) < 0) {
            const auto* machine = this->findMachine(activePools, *standby, *state);
            if (!machine)
                break;
            state->millicores += machine->millicores;
            ++state->size;
            moves.push_back({ machine->name, state->demand->service });
        }
    }
    for (auto* state : activePools)
        this->shrink(*state, standby->demand->service, now, moves);
    return moves;
}

// Returns machines beyond the initial size to the standby pool after a surplus that lasted for the shrink delay.
void PoolBalancer::shrink(PoolState& state, const std::string& standby, TimePoint now, std::vector<MachineMove>& moves)
{
    auto& pool = this->pools[state.demand->service];
    const bool hasSurplus = state.size > state.initialSize && !state.movableMachines.empty()
        && state.surplus(this->rules) >= state.movableMachines.back()->millicores;
    if (hasSurplus && !pool.hasSurplus)
        pool.surplusSince = now;
    pool.hasSurplus = hasSurplus;
    if (!hasSurplus || now - pool.surplusSince < this->rules.shrinkDelay)
        return;
    while (const auto* machine = this->takeMachine(state, state.initialSize))
        moves.push_back({ machine->name, standby });
}

} // namespace waxwinglug

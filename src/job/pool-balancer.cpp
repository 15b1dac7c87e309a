// Pools that need machines take them from the standby pool and from pools that have too many.
#include "job/pool-balancer.h"

#include <algorithm>

namespace waxwinglug {

PoolBalancer::PoolBalancer(PoolRules poolRules)
    : rules(poolRules)
{
}

struct PoolBalancer::State {
    const PoolDemand* demand = nullptr;
    int size = 0;
    int firstSize = 0;
    std::int64_t processor = 0;
    // Processor beyond the needed one; negative: machines are missing.
    std::int64_t surplus(const PoolRules& rules) const
    {
        return this->processor - this->demand->needed * (100 + rules.headroom) / 100;
    }
    std::vector<const PoolMachine*> movable;
};

// Takes a machine that the pool can do without while it keeps `least` machines; nullptr when there is none.
const PoolMachine* PoolBalancer::take(State& from, int least) const
{
    if (from.movable.empty() || from.size <= std::max({ least, this->rules.leastMachines, from.demand->leastMachines }))
        return nullptr;
    const auto* machine = from.movable.back();
    if (from.surplus(this->rules) < machine->processor)
        return nullptr;
    from.movable.pop_back();
    --from.size;
    from.processor -= machine->processor;
    return machine;
}

// A machine for a pool that lacks one: first from pools that have grown, then from the standby pool, then from calm
// pools, which get it back from this one when their own peak comes.
const PoolMachine* PoolBalancer::findMachine(std::span<State*> pools, State& standby, const State& lacking) const
{
    for (auto* pool : pools) {
        const auto* machine = pool == &lacking ? nullptr : this->take(*pool, pool->firstSize);
        if (machine)
            return machine;
    }
    if (!standby.movable.empty()) {
        const auto* machine = standby.movable.back();
        standby.movable.pop_back();
        return machine;
    }
    // The pool with the most room lends first.
    State* lender = nullptr;
    for (auto* pool : pools) {
        if (pool != &lacking && !pool->movable.empty()
            && (!lender || pool->surplus(this->rules) > lender->surplus(this->rules)))
            lender = pool;
    }
    return lender ? this->take(*lender, lender->firstSize * this->rules.lendShare / 100) : nullptr;
}

std::map<std::string, int> PoolBalancer::initialSizes() const
{
    std::map<std::string, int> sizes;
    for (const auto& [service, pool] : this->pools)
        sizes[service] = pool.firstSize;
    return sizes;
}

void PoolBalancer::setInitialSizes(const std::map<std::string, int>& sizes)
{
    for (const auto& [service, size] : sizes)
        this->pools[service].firstSize = size;
}

std::vector<MachineMove> PoolBalancer::decide(
    std::span<const PoolDemand> demands, std::span<const PoolMachine> machines, TimePoint now)
{
    std::map<std::string, State> states;
    State* standby = nullptr;
    std::vector<State*> order;
    for (const auto& demand : demands) {
        auto& state = states[demand.service];
        state.demand = &demand;
        if (demand.standby)
            standby = &state;
        else
            order.push_back(&state);
    }
    for (const auto& machine : machines) {
        const auto state = states.find(machine.service);
        if (state == states.end())
            continue;
        ++state->second.size;
        state->second.processor += machine.processor;
        if (machine.movable && !machine.moving)
            state->second.movable.push_back(&machine);
    }
    std::vector<MachineMove> moves;
    if (!standby)
        return moves;
    for (auto* state : order) {
        auto& pool = this->pools[state->demand->service];
        if (pool.firstSize == 0)
            pool.firstSize = state->size;
        state->firstSize = pool.firstSize;
    }
    // Pools with the greatest lack come first.
    std::ranges::sort(order, {}, [this](const State* state) { return state->surplus(this->rules); });
    for (auto* state : order) {
        while (state->surplus(this->rules) < 0) {
            const auto* machine = this->findMachine(order, *standby, *state);
            if (!machine)
                break;
            state->processor += machine->processor;
            ++state->size;
            moves.push_back({ machine->name, state->demand->service });
        }
    }
    for (auto* state : order)
        this->shrink(*state, standby->demand->service, now, moves);
    return moves;
}

// Sends machines beyond the first size to the standby pool when the pool has not needed them for a while.
void PoolBalancer::shrink(State& state, const std::string& standby, TimePoint now, std::vector<MachineMove>& moves)
{
    auto& pool = this->pools[state.demand->service];
    const bool large = state.size > state.firstSize && !state.movable.empty()
        && state.surplus(this->rules) >= state.movable.back()->processor;
    if (large && !pool.large)
        pool.largeSince = now;
    pool.large = large;
    if (!large || now - pool.largeSince < this->rules.patience)
        return;
    while (const auto* machine = this->take(state, state.firstSize))
        moves.push_back({ machine->name, standby });
}

} // namespace waxwinglug

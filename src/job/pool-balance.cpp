// Pools that need machines take them from the standby pool and from pools that have too many.
#include "job/pool-balance.h"

#include <algorithm>

namespace waxwinglug {

PoolBalance::PoolBalance(PoolRules poolRules)
    : rules(poolRules)
{
}

std::vector<PoolMove> PoolBalance::decide(
    std::span<const PoolDemand> demands, std::span<const PoolMachine> machines, TimePoint now)
{
    struct State {
        const PoolDemand* demand = nullptr;
        int size = 0;
        std::int64_t processor = 0;
        std::vector<const PoolMachine*> movable;
    };
    std::map<std::string, State> states;
    std::string standby;
    for (const auto& demand : demands) {
        states[demand.service].demand = &demand;
        if (demand.standby)
            standby = demand.service;
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
    std::vector<PoolMove> moves;
    if (standby.empty())
        return moves;
    auto& reserve = states.at(standby).movable;
    // Pools with the greatest lack come first.
    std::vector<State*> order;
    for (auto& [service, state] : states) {
        if (!state.demand->standby)
            order.push_back(&state);
    }
    const auto lack = [this](const State& state) {
        return state.demand->needed * (100 + this->rules.headroom) / 100 - state.processor;
    };
    std::ranges::sort(order, std::greater {}, [&lack](const State* state) { return lack(*state); });
    for (auto* state : order) {
        while (lack(*state) > 0 && !reserve.empty()) {
            const auto* machine = reserve.back();
            reserve.pop_back();
            state->processor += machine->processor;
            ++state->size;
            moves.push_back({ machine->name, state->demand->service });
        }
    }
    for (auto* state : order) {
        auto& pool = this->pools[state->demand->service];
        if (pool.firstSize == 0)
            pool.firstSize = state->size;
        const int keep = std::max(this->rules.leastMachines, pool.firstSize * this->rules.keepShare / 100);
        const auto largest = state->movable.empty() ? 0 : state->movable.back()->processor;
        const bool large = state->size > keep && largest > 0 && lack(*state) + largest <= 0;
        if (large && !pool.large)
            pool.largeSince = now;
        pool.large = large;
        if (!large || now - pool.largeSince < this->rules.patience)
            continue;
        int spare = state->size - keep;
        while (spare-- > 0 && !state->movable.empty() && lack(*state) + state->movable.back()->processor <= 0) {
            const auto* machine = state->movable.back();
            state->movable.pop_back();
            state->processor -= machine->processor;
            moves.push_back({ machine->name, standby });
        }
    }
    return moves;
}

} // namespace waxwinglug

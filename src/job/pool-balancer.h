// Decides which machines move between the pools of services.
//
// Pattern of load: the queues' demand peaks in turn for a few seconds at more than a pool holds, while machines of a
// standby pool are switched off and cost nothing. A move takes about 1.5 s, so it is decided by the work that arrives,
// before the work that waits shows the peak. Machines return once the peak has passed for a while, because two moves
// cost as much as a machine that rests for more than two seconds.
#pragma once

#include <waxwinglug/base.h>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace waxwinglug {

struct PoolDemand {
    std::string service;
    bool standby = false;
    // Processor that waiting and arriving work needs to be in time, in thousandths of a core.
    std::int64_t needed = 0;
    // Servers that its lasting tasks need, because only so many of a step may share one.
    int leastMachines = 0;
};

struct PoolMachine {
    std::string name;
    std::string service; // the pool that it is in or on its way to
    std::int64_t processor = 0;
    bool moving = false;
    // Up, empty, and not wanted by maintenance.
    bool movable = false;
};

struct MachineMove {
    std::string machine;
    std::string to;
};

struct PoolRules {
    // Room beyond the needed processor, in percent, because estimates are rough.
    int headroom = 15;
    // How long a pool must have been too large before a machine leaves it. Two moves cost as much as a machine that
    // rests for about 2 s, and peaks are further apart.
    Duration patience { 1000 };
    // Machines that a calm pool keeps while another one lacks some, in percent of those it had when it was first seen.
    int lendShare = 60;
    // A pool never has fewer machines, so that one loss does not stop its service.
    int leastMachines = 2;
};

class PoolBalancer {
public:
    explicit PoolBalancer(PoolRules rules);

    // The sizes that pools had when they were first seen, also by an earlier lead.
    std::map<std::string, int> initialSizes() const;
    void setInitialSizes(const std::map<std::string, int>& sizes);

    std::vector<MachineMove> decide(
        std::span<const PoolDemand> demands, std::span<const PoolMachine> machines, TimePoint now);

private:
    struct State;
    struct Pool {
        int firstSize = 0;
        // Since when the pool has had a machine too many.
        TimePoint largeSince;
        bool large = false;
    };

    const PoolMachine* take(State& from, int least) const;
    const PoolMachine* findMachine(std::span<State*> pools, State& standby, const State& lacking) const;
    void shrink(State& state, const std::string& standby, TimePoint now, std::vector<MachineMove>& moves);

    const PoolRules rules;
    std::map<std::string, Pool> pools;
};

} // namespace waxwinglug

// Decides which machines move between the pools of services.
//
// Load pattern: the demand of the queues peaks in turn, for a few seconds, above the capacity of a pool, while machines
// of a standby pool are switched off and cost nothing. A move takes about 1.5 s, so it is decided by the arrival rate
// of work, before waiting work shows the peak. Machines return to the standby pool some time after the peak, because
// two moves cost as much as a machine that is idle for about 2 s.
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
    bool isStandby = false;
    // Processor that pending and arriving work requires to meet its deadlines, in thousandths of a core.
    std::int64_t requiredMillicores = 0;
    // Servers that its long-running tasks require, because the number of tasks of a step on one server is limited.
    int minMachines = 0;
};

struct PoolMachine {
    std::string name;
    std::string service; // of the pool that it is in or moves to
    std::int64_t millicores = 0;
    bool isMoving = false;
    // Up, without tasks, and not subject to maintenance.
    bool canMove = false;
};

struct MachineMove {
    std::string machine;
    std::string targetPool;
};

struct PoolRules {
    // Capacity beyond the required processor, in percent, because estimates are rough.
    int headroomPercent = 15;
    // How long a pool must have had a surplus before it returns machines to the standby pool. Two moves cost as much as
    // a machine that is idle for about 2 s, and peaks are further apart.
    Duration shrinkDelay { 1000 };
    // Machines that a pool with a surplus keeps while another pool lacks some, in percent of its initial size.
    int minRetainedPercent = 60;
    // A pool keeps at least this many machines, so that the loss of one does not stop its service.
    int minMachines = 2;
};

class PoolBalancer {
public:
    explicit PoolBalancer(PoolRules rules);

    // Machines of each pool when it was first seen, by this leader or an earlier one.
    std::map<std::string, int> initialSizes() const;
    void setInitialSizes(const std::map<std::string, int>& sizes);

    // The moves to order now. Keeps track of surpluses over time, so it is to be called regularly.
    std::vector<MachineMove> decide(
        std::span<const PoolDemand> demands, std::span<const PoolMachine> machines, TimePoint now);

private:
    struct PoolState;
    struct Pool {
        int initialSize = 0;
        // Start of the current surplus of at least one machine.
        TimePoint surplusSince;
        bool hasSurplus = false;
    };

    const PoolMachine* takeMachine(PoolState& from, int minSize) const;
    const PoolMachine* findMachine(
        std::span<PoolState*> candidates, PoolState& standby, const PoolState& lacking) const;
    void shrink(PoolState& state, const std::string& standby, TimePoint now, std::vector<MachineMove>& moves);

    const PoolRules rules;
    std::map<std::string, Pool> pools;
};

} // namespace waxwinglug

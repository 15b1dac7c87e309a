// Chooses which VMs of a wave to take out of service next, and estimates how long the rest takes. Pure functions over
// indices, so that a step for 850 VMs in 342 pools allocates little and repeats exactly.
#pragma once

#include <waxwinglug/base.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

struct PlanPool {
    std::string_view name;
    double minAvailable = 0.8;
    int maxRacksDown = 1;
};

struct PlanVm {
    std::uint32_t pool = 0; // index into the pools
    std::uint32_t rack = 0; // any number; equal for VMs of one rack
    // Expected time until the running work has ended.
    Duration work { 0 };
    // Out of service, planned or not.
    bool down = false;
    // Comes back by itself, because planned work holds it.
    bool returns = false;
    // The wave still has to maintain it.
    bool wanted = false;
};

// Counts the VMs out of service by pool and by rack of each pool, and answers whether one more may go.
class BudgetLedger {
public:
    BudgetLedger(std::span<const PlanPool> planPools, std::span<const PlanVm> planVms);

    // Most VMs of the pool that may be out of service at the same time.
    int allowed(std::uint32_t pool) const { return this->pools[pool].allowed; }
    int down(std::uint32_t pool) const { return this->pools[pool].down; }
    int racksDown(std::uint32_t pool) const { return this->pools[pool].racksDown; }
    bool canTake(std::uint32_t vm) const;
    void take(std::uint32_t vm);
    void release(std::uint32_t vm);

private:
    struct PoolCount {
        int size = 0;
        int allowed = 0;
        int maxRacksDown = 0;
        int down = 0;
        int racksDown = 0;
    };

    std::vector<PoolCount> pools;
    std::vector<std::uint32_t> poolOfVm;
    // The VMs of one pool in one rack share a cell.
    std::vector<std::uint32_t> cellOfVm;
    std::vector<int> cellDown;
};

// Most VMs of a pool of this size that may be out of service.
int allowedDown(int size, double minAvailable);

struct WavePlan {
    // VMs to drain now, whole racks first.
    std::vector<std::uint32_t> start;
    // VMs that no order of work can take within the budgets, as long as nothing else changes.
    std::vector<std::uint32_t> blocked;
    // Time until the last VM that is not blocked is back, inside windows.
    Duration remaining { 0 };
    int rounds = 0;
    // Why it is not sooner: the pool that needs the most rounds.
    std::string limit;
    // VMs looked at, the bound of the test for the planning time.
    std::uint64_t steps = 0;
};

// `perVm` is the time for reboot, probe and slow start of one VM.
WavePlan planWave(std::span<const PlanPool> pools, std::span<const PlanVm> vms, Duration perVm);

} // namespace waxwinglug

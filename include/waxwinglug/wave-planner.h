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
    Duration workDuration { 0 };
    // Out of service, planned or not.
    bool isDown = false;
    // Comes back by itself, because planned work holds it.
    bool isUnderMaintenance = false;
    // The wave still has to maintain it.
    bool needsMaintenance = false;
};

// Counts the VMs out of service by pool and by rack of each pool, and answers whether one more may go.
class BudgetLedger {
public:
    BudgetLedger(std::span<const PlanPool> planPools, std::span<const PlanVm> planVms);

    // Most VMs of the pool that may be out of service at the same time.
    int maxVmsDown(std::uint32_t pool) const { return this->pools[pool].maxVmsDown; }
    int vmsDown(std::uint32_t pool) const { return this->pools[pool].vmsDown; }
    int racksDown(std::uint32_t pool) const { return this->pools[pool].racksDown; }
    bool canTakeDown(std::uint32_t vm) const;
    void takeDown(std::uint32_t vm);
    void bringUp(std::uint32_t vm);

private:
    struct PoolState {
        int size = 0;
        int maxVmsDown = 0;
        int maxRacksDown = 0;
        int vmsDown = 0;
        int racksDown = 0;
    };

    std::vector<PoolState> pools;
    std::vector<std::uint32_t> poolOfVm;
    // The VMs of one pool in one rack share a cell.
    std::vector<std::uint32_t> poolRackOfVm;
    std::vector<int> vmsDownInPoolRack;
};

// Most VMs of a pool of this size that may be out of service.
int maxUnavailableVms(int size, double minAvailable);

struct WavePlan {
    // VMs to drain now, whole racks first.
    std::vector<std::uint32_t> vmsToDrain;
    // VMs that no order of work can take within the budgets, as long as nothing else changes.
    std::vector<std::uint32_t> blockedVms;
    // Time until the last VM that is not blocked is back, inside windows.
    Duration remainingTime { 0 };
    int roundCount = 0;
    // Why it is not sooner: the pool that needs the most rounds.
    std::string limitingFactor;
    // VMs looked at, the bound of the test for the planning time.
    std::uint64_t examinedVms = 0;
};

// `perVm` is the time for reboot, probe and slow start of one VM.
WavePlan planWave(std::span<const PlanPool> pools, std::span<const PlanVm> vms, Duration perVm);

} // namespace waxwinglug

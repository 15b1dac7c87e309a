// Selects the VMs of a wave to take out of service next, and estimates the time that the rest of the wave needs. The
// functions are pure and work on indices, which makes plans deterministic and keeps allocations low for fleets of 850
// VMs in 342 pools.
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
    std::uint32_t rack = 0; // opaque number; equal for VMs of one rack
    // Expected time until the running work has ended.
    Duration workDuration { 0 };
    // Out of service, planned or not.
    bool isDown = false;
    // Out of service because of maintenance, and thus expected to return.
    bool isUnderMaintenance = false;
    // Not maintained by the wave yet.
    bool needsMaintenance = false;
};

// Counts the VMs out of service by pool and by rack of each pool, and checks whether another VM may be taken out of
// service within the budgets.
class BudgetLedger {
public:
    BudgetLedger(std::span<const PlanPool> planPools, std::span<const PlanVm> planVms);

    // Maximum number of VMs of the pool that may be out of service at the same time.
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
    // Index into vmsDownInPoolRack of each VM; VMs of one pool in one rack share it.
    std::vector<std::uint32_t> poolRackOfVm;
    std::vector<int> vmsDownInPoolRack;
};

// Maximum number of VMs that may be out of service in a pool of this size; `minAvailable` is a fraction of the pool.
int maxUnavailableVms(int size, double minAvailable);

struct WavePlan {
    // VMs to drain now, whole racks first.
    std::vector<std::uint32_t> vmsToDrain;
    // VMs that do not fit the budgets in any round, as long as the budgets and the failed VMs stay the same.
    std::vector<std::uint32_t> blockedVms;
    // Window time until the last VM that is not blocked has returned to service.
    Duration remainingTime { 0 };
    int roundCount = 0;
    // Description of the pool that needs the most rounds and so determines the remaining time.
    std::string limitingFactor;
    // Number of VM visits during planning. A test bounds it, as a measure of planning time that does not depend on the
    // machine.
    std::uint64_t examinedVms = 0;
};

// Plans the next drains. `timePerVm` is the time for reboot, probe and slow start of one VM.
WavePlan planWave(std::span<const PlanPool> pools, std::span<const PlanVm> vms, Duration timePerVm);

} // namespace waxwinglug

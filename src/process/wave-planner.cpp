// Selects the VMs of a wave to take out of service next.
#include <waxwinglug/wave-planner.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace waxwinglug {
namespace {

    // VMs to maintain. `vms` groups them by rack; within a rack, the VM with the shortest work comes first.
    struct RackOrder {
        std::vector<std::uint32_t> vms;
        // Index range of each rack in `vms`, ordered by the longest work in the rack.
        std::vector<std::pair<std::size_t, std::size_t>> racks;
        std::vector<std::uint32_t> vmsByWork;
    };

    RackOrder orderRacks(std::span<const PlanVm> vms)
    {
        RackOrder order;
        for (std::uint32_t index = 0; index < vms.size(); ++index) {
            if (vms[index].needsMaintenance && !vms[index].isDown)
                order.vms.push_back(index);
        }
        order.vmsByWork = order.vms;
        std::stable_sort(order.vmsByWork.begin(), order.vmsByWork.end(),
            [&](auto left, auto right) { return vms[left].workDuration < vms[right].workDuration; });
        order.vms = order.vmsByWork;
        std::stable_sort(order.vms.begin(), order.vms.end(),
            [&](auto left, auto right) { return vms[left].rack < vms[right].rack; });
        for (std::size_t begin = 0; begin < order.vms.size();) {
            auto end = begin;
            while (end < order.vms.size() && vms[order.vms[end]].rack == vms[order.vms[begin]].rack)
                ++end;
            order.racks.emplace_back(begin, end);
            begin = end;
        }
        // A rack has returned when its slowest VM has returned.
        std::stable_sort(order.racks.begin(), order.racks.end(), [&](const auto& left, const auto& right) {
            return vms[order.vms[left.second - 1]].workDuration < vms[order.vms[right.second - 1]].workDuration;
        });
        return order;
    }

    // Takes all VMs of the rack out of service, or none of them.
    bool takeRackDown(BudgetLedger& ledger, std::span<const std::uint32_t> rack)
    {
        for (std::size_t taken = 0; taken < rack.size(); ++taken) {
            if (ledger.canTakeDown(rack[taken])) {
                ledger.takeDown(rack[taken]);
                continue;
            }
            for (const auto vm : rack.first(taken))
                ledger.bringUp(vm);
            return false;
        }
        return true;
    }

    // Plans one round: whole racks where every budget allows it, then single VMs. Marks the selected VMs in `taken`.
    std::vector<std::uint32_t> planRound(
        BudgetLedger& ledger, const RackOrder& order, std::vector<bool>& taken, std::uint64_t& examinedVms)
    {
        std::vector<std::uint32_t> round;
        std::vector<std::uint32_t> remainingVms;
        for (const auto& [begin, end] : order.racks) {
            remainingVms.clear();
            for (auto index = begin; index < end; ++index) {
                if (!taken[order.vms[index]])
                    remainingVms.push_back(order.vms[index]);
            }
            examinedVms += end - begin;
            if (takeRackDown(ledger, remainingVms))
                round.insert(round.end(), remainingVms.begin(), remainingVms.end());
        }
        for (const auto vm : round)
            taken[vm] = true;
        for (const auto vm : order.vmsByWork) {
            ++examinedVms;
            if (taken[vm] || !ledger.canTakeDown(vm))
                continue;
            ledger.takeDown(vm);
            taken[vm] = true;
            round.push_back(vm);
        }
        return round;
    }

    std::string describeLimit(std::span<const PlanPool> pools, std::span<const PlanVm> vms, const BudgetLedger& ledger)
    {
        std::vector<int> vmsToMaintain(pools.size());
        for (const auto& vm : vms)
            vmsToMaintain[vm.pool] += vm.needsMaintenance && !vm.isDown ? 1 : 0;
        std::uint32_t limitingPool = 0;
        double maxRounds = -1;
        for (std::uint32_t pool = 0; pool < pools.size(); ++pool) {
            const double rounds = vmsToMaintain[pool] / std::max(0.5, static_cast<double>(ledger.maxVmsDown(pool)));
            if (rounds > maxRounds) {
                maxRounds = rounds;
                limitingPool = pool;
            }
        }
        if (maxRounds <= 0)
            return {};
        return fmt::format("pool {} has {} VMs left and a budget of {} down at once in {} racks; {} are down now",
            pools[limitingPool].name, vmsToMaintain[limitingPool], ledger.maxVmsDown(limitingPool),
            pools[limitingPool].maxRacksDown, ledger.vmsDown(limitingPool));
    }

} // namespace

int maxUnavailableVms(int size, double minAvailable)
{
    // Compensates rounding errors: 5 * 0.8 must give 4 VMs even if the product is slightly above 4 in floating point.
    constexpr double tolerance = 1e-9;
    return size - static_cast<int>(std::ceil(size * minAvailable - tolerance));
}

BudgetLedger::BudgetLedger(std::span<const PlanPool> planPools, std::span<const PlanVm> planVms)
    : pools(planPools.size())
    , poolOfVm(planVms.size())
    , poolRackOfVm(planVms.size())
{
    std::vector<std::uint32_t> order(planVms.size());
    std::iota(order.begin(), order.end(), 0U);
    const auto key = [&](std::uint32_t vm) { return std::pair(planVms[vm].pool, planVms[vm].rack); };
    std::sort(order.begin(), order.end(), [&](auto left, auto right) { return key(left) < key(right); });
    for (std::size_t index = 0; index < order.size(); ++index) {
        if (index == 0 || key(order[index]) != key(order[index - 1]))
            this->vmsDownInPoolRack.push_back(0);
        this->poolRackOfVm[order[index]] = static_cast<std::uint32_t>(this->vmsDownInPoolRack.size() - 1);
    }
    for (std::uint32_t vm = 0; vm < planVms.size(); ++vm) {
        this->poolOfVm[vm] = planVms[vm].pool;
        ++this->pools[planVms[vm].pool].size;
    }
    for (std::size_t pool = 0; pool < planPools.size(); ++pool) {
        this->pools[pool].maxVmsDown = maxUnavailableVms(this->pools[pool].size, planPools[pool].minAvailable);
        this->pools[pool].maxRacksDown = planPools[pool].maxRacksDown;
    }
    for (std::uint32_t vm = 0; vm < planVms.size(); ++vm) {
        if (planVms[vm].isDown)
            this->takeDown(vm);
    }
}

bool BudgetLedger::canTakeDown(std::uint32_t vm) const
{
    const auto& pool = this->pools[this->poolOfVm[vm]];
    if (pool.vmsDown >= pool.maxVmsDown)
        return false;
    if (this->vmsDownInPoolRack[this->poolRackOfVm[vm]] > 0)
        return pool.racksDown <= pool.maxRacksDown;
    return pool.racksDown < pool.maxRacksDown;
}

void BudgetLedger::takeDown(std::uint32_t vm)
{
    auto& pool = this->pools[this->poolOfVm[vm]];
    ++pool.vmsDown;
    if (this->vmsDownInPoolRack[this->poolRackOfVm[vm]]++ == 0)
        ++pool.racksDown;
}

void BudgetLedger::bringUp(std::uint32_t vm)
{
    auto& pool = this->pools[this->poolOfVm[vm]];
    --pool.vmsDown;
    if (--this->vmsDownInPoolRack[this->poolRackOfVm[vm]] == 0)
        --pool.racksDown;
}

WavePlan planWave(std::span<const PlanPool> pools, std::span<const PlanVm> vms, Duration timePerVm)
{
    WavePlan plan;
    BudgetLedger ledger(pools, vms);
    plan.limitingFactor = describeLimit(pools, vms, ledger);
    const auto order = orderRacks(vms);
    std::vector<bool> taken(vms.size());
    plan.vmsToDrain = planRound(ledger, order, taken, plan.examinedVms);

    // Later rounds assume that VMs under maintenance return together, and that failed VMs do not return.
    auto round = plan.vmsToDrain;
    Duration longestWork { 0 };
    for (std::uint32_t vm = 0; vm < vms.size(); ++vm) {
        if (vms[vm].isDown && vms[vm].isUnderMaintenance) {
            round.push_back(vm);
            longestWork = std::max(longestWork, vms[vm].workDuration);
        }
    }
    while (!round.empty()) {
        for (const auto vm : round) {
            longestWork = std::max(longestWork, vms[vm].workDuration);
            ledger.bringUp(vm);
        }
        plan.remainingTime += longestWork + timePerVm;
        ++plan.roundCount;
        longestWork = Duration(0);
        round = planRound(ledger, order, taken, plan.examinedVms);
    }
    for (const auto vm : order.vmsByWork) {
        if (!taken[vm])
            plan.blockedVms.push_back(vm);
    }
    return plan;
}

} // namespace waxwinglug

// Tests of the wave planner: budgets, whole racks, order, and the bound on the number of examined VMs.
#include <waxwinglug/wave-planner.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    PlanVm vmToMaintain(std::uint32_t pool, std::uint32_t rack, Duration work = 0ms)
    {
        PlanVm vm;
        vm.pool = pool;
        vm.rack = rack;
        vm.workDuration = work;
        vm.needsMaintenance = true;
        return vm;
    }

    // Guards against draining single VMs where the budget allows a whole rack.
    TEST(WavePlanner, drainsAWholeRack)
    {
        const std::vector<PlanPool> pools { { "p", 0.5, 1 } };
        std::vector<PlanVm> vms(8);
        for (std::uint32_t index = 0; index < 8; ++index)
            vms[index] = vmToMaintain(0, index / 4, index < 4 ? 9s : 1s);
        const auto plan = planWave(pools, vms, 60s);
        EXPECT_EQ(plan.vmsToDrain, (std::vector<std::uint32_t> { 4, 5, 6, 7 }));
        EXPECT_EQ(plan.roundCount, 2);
        EXPECT_EQ(plan.remainingTime, 130s);
        EXPECT_NE(plan.limitingFactor.find("pool p"), std::string::npos);
    }

    TEST(WavePlanner, drainsVmsWithTheShortestWorkFirst)
    {
        const std::vector<PlanPool> pools { { "p", 0.75, 4 } };
        const std::vector<PlanVm> vms { vmToMaintain(0, 0, 9s), vmToMaintain(0, 1, 2s), vmToMaintain(0, 2, 5s),
            vmToMaintain(0, 3, 7s) };
        EXPECT_EQ(planWave(pools, vms, 60s).vmsToDrain, (std::vector<std::uint32_t> { 1 }));
    }

    // Guards against a budget that is off by one VM because of rounding.
    TEST(WavePlanner, budgetIsRoundedTowardsAvailability)
    {
        EXPECT_EQ(maxUnavailableVms(5, 0.8), 1);
        EXPECT_EQ(maxUnavailableVms(10, 0.8), 2);
        EXPECT_EQ(maxUnavailableVms(9, 0.8), 1);
        EXPECT_EQ(maxUnavailableVms(2, 0.8), 0);
    }

    TEST(WavePlanner, reportsVmsBlockedByTheBudget)
    {
        const std::vector<PlanPool> pools { { "p", 0.8, 1 } };
        const std::vector<PlanVm> vms { vmToMaintain(0, 0), vmToMaintain(0, 0) };
        const auto plan = planWave(pools, vms, 60s);
        EXPECT_TRUE(plan.vmsToDrain.empty());
        EXPECT_EQ(plan.blockedVms.size(), 2U);
    }

    // Guards against planning time that grows with many rounds over all VMs, for 850 VMs in 342 pools. The test bounds
    // the number of examined VMs, which does not depend on the machine; bench/planner.cpp measures the time.
    TEST(WavePlanner, examinedVmsAreBoundedForLargeFleets)
    {
        std::vector<PlanPool> pools(342, { "p", 0.5, 1 });
        std::vector<PlanVm> vms(850);
        for (std::uint32_t index = 0; index < 850; ++index)
            vms[index] = vmToMaintain(index % 342, index / 4, Duration(index * 7 % 1000));
        const auto plan = planWave(pools, vms, 60s);
        EXPECT_TRUE(plan.blockedVms.empty());
        EXPECT_LE(plan.examinedVms, 10'200U); // at most 6 rounds that examine 850 VMs twice
    }

    // Guards against a plan that violates a budget, or that omits a VM that the budgets allow. The budgets are counted
    // here without BudgetLedger.
    RC_GTEST_PROP(WavePlanner, drainsKeepEveryBudgetAndOmitNoVmThatFits, ())
    {
        std::vector<PlanPool> pools;
        for (int index = *rc::gen::inRange(1, 5); index > 0; --index)
            pools.push_back({ "p", *rc::gen::inRange(0, 11) / 10.0, *rc::gen::inRange(1, 4) });
        std::vector<PlanVm> vms;
        const int count = *rc::gen::inRange(0, 40);
        for (int index = 0; index < count; ++index) {
            auto vm = vmToMaintain(*rc::gen::inRange<std::uint32_t>(0, static_cast<std::uint32_t>(pools.size())),
                *rc::gen::inRange(0U, 8U), Duration(*rc::gen::inRange(0, 1000)));
            vm.isDown = *rc::gen::weightedElement<bool>({ { 6, false }, { 1, true } });
            vm.isUnderMaintenance = vm.isDown && *rc::gen::arbitrary<bool>();
            vm.needsMaintenance = *rc::gen::arbitrary<bool>();
            vms.push_back(vm);
        }
        const auto plan = planWave(pools, vms, 60s);
        auto after = vms;
        for (const auto vm : plan.vmsToDrain) {
            RC_ASSERT(vms[vm].needsMaintenance && !after[vm].isDown);
            after[vm].isDown = true;
        }
        const auto fits = [&](std::uint32_t pool, const std::vector<PlanVm>& state) {
            int size = 0;
            int down = 0;
            std::set<std::uint32_t> racks;
            for (const auto& vm : state) {
                size += vm.pool == pool ? 1 : 0;
                if (vm.pool == pool && vm.isDown) {
                    ++down;
                    racks.insert(vm.rack);
                }
            }
            return size - down >= size * pools[pool].minAvailable - 1e-9
                && static_cast<int>(racks.size()) <= pools[pool].maxRacksDown;
        };
        for (const auto vm : plan.vmsToDrain)
            RC_ASSERT(fits(vms[vm].pool, after));
        for (std::uint32_t vm = 0; vm < vms.size(); ++vm) {
            if (!vms[vm].needsMaintenance || after[vm].isDown)
                continue;
            auto more = after;
            more[vm].isDown = true;
            RC_ASSERT(!fits(vms[vm].pool, more));
        }
    }

} // namespace
} // namespace waxwinglug

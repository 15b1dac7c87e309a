// Benchmark of planWave for 50 to 850 VMs in 5 to 342 pools.
#include <waxwinglug/wave-planner.h>

#include <benchmark/benchmark.h>

namespace waxwinglug {
namespace {

    // Range 0: number of VMs; range 1: number of pools. Each rack has four VMs; half of each pool may be out of
    // service.
    void planStep(benchmark::State& state)
    {
        const auto poolCount = static_cast<std::uint32_t>(state.range(1));
        const std::vector<PlanPool> pools(poolCount, { "p", 0.5, 1 });
        std::vector<PlanVm> vms;
        for (std::uint32_t index = 0; index < static_cast<std::uint32_t>(state.range(0)); ++index) {
            PlanVm vm;
            vm.pool = index % poolCount;
            vm.rack = index / 4;
            vm.workDuration = Duration(index * 7 % 1000);
            vm.needsMaintenance = true;
            vms.push_back(vm);
        }
        std::uint64_t examinedVms = 0;
        for (auto _ : state)
            examinedVms = planWave(pools, vms, std::chrono::minutes(3)).examinedVms;
        state.counters["steps"] = static_cast<double>(examinedVms);
    }

    BENCHMARK(planStep)
        ->Args({ 50, 5 })
        ->Args({ 200, 20 })
        ->Args({ 850, 342 })
        ->Args({ 850, 5 })
        ->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace waxwinglug

BENCHMARK_MAIN();

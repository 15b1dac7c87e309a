// Measures the scheduler's processor time per task at the sizes of the grown and the large deployments.
#include "support/scheduling-load.h"

#include <benchmark/benchmark.h>

namespace waxwinglug {
namespace {

    // Ten seconds of load per iteration. The time is given per started task.
    void schedule(benchmark::State& state)
    {
        test::SchedulingLoad load(static_cast<int>(state.range(1)));
        load.setRate(static_cast<int>(state.range(0)));
        for (int step = 0; step < 600; ++step)
            load.step();
        const auto starts = load.starts();
        const auto renewals = load.renewals();
        const auto examined = load.jobScheduler().examinedServerCount();
        const auto dispatchTime = load.dispatchTime();
        for (auto _ : state) {
            for (int step = 0; step < 2000; ++step)
                load.step();
        }
        const auto started = static_cast<double>(load.starts() - starts);
        state.counters["starts"] = started;
        state.counters["open_jobs"] = static_cast<double>(load.unfinishedJobs());
        state.counters["holds_per_start"] = static_cast<double>(load.renewals() - renewals) / started;
        state.counters["examined_per_start"]
            = static_cast<double>(load.jobScheduler().examinedServerCount() - examined) / started;
        state.counters["dispatch_us_per_start"]
            = static_cast<double>((load.dispatchTime() - dispatchTime).count()) / 1000 / started;
        state.counters["time_per_start"]
            = benchmark::Counter(started, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
    }
    BENCHMARK(schedule)
        ->ArgNames({ "jobs", "servers" })
        ->Args({ 30, 85 })
        ->Args({ 60, 85 })
        ->Args({ 120, 85 })
        ->Args({ 160, 275 })
        ->Args({ 400, 275 })
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace waxwinglug

BENCHMARK_MAIN();

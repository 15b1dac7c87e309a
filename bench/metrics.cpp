// Cost of recording one request in the metrics: with a cached series, by team name, and from several threads.
#include <waxwinglug/metrics.h>

#include <benchmark/benchmark.h>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    Metrics& sharedMetrics()
    {
        static Metrics metrics;
        return metrics;
    }

    void recordCachedSeries(benchmark::State& state)
    {
        auto& series = sharedMetrics().series("north", WorkClass::Interactive);
        for (auto each : state)
            series.record({ 1500us, 40ms, 42ms });
    }
    BENCHMARK(recordCachedSeries)->Threads(1)->Threads(4);

    void recordByName(benchmark::State& state)
    {
        for (auto each : state)
            sharedMetrics().record("north", WorkClass::Interactive, { 1500us, 40ms, 42ms });
    }
    BENCHMARK(recordByName)->Threads(1)->Threads(4);

    void exposition29Teams(benchmark::State& state)
    {
        Metrics metrics;
        for (int i = 0; i < 29; ++i)
            metrics.record("team" + std::to_string(i), WorkClass::Interactive, { 1ms, 2ms, 3ms });
        std::size_t bytes = 0;
        for (auto each : state)
            bytes = metrics.exposition().size();
        state.counters["bytes"] = static_cast<double>(bytes);
    }
    BENCHMARK(exposition29Teams)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace waxwinglug

BENCHMARK_MAIN();

// Cost of a backend selection and of a retry decision, and the write rate of Idempotency-Key claims.
#include "support/allocations.h"
#include "support/fake-platform.h"

#include <waxwinglug/at-most-once.h>
#include <waxwinglug/connection.h>

#include <benchmark/benchmark.h>

#include <deque>
#include <string>
#include <vector>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    constexpr int slots = 8;

    std::vector<BackendSpec> specs(int count)
    {
        std::vector<BackendSpec> result;
        result.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            result.push_back(
                { "v" + std::to_string(i), "p", "r" + std::to_string(i / 4), { "127.0.0.1", 9000 }, slots, 64 });
        return result;
    }

    // The second argument is the percentage of occupied slots.
    void selection(benchmark::State& state)
    {
        const auto count = static_cast<int>(state.range(0));
        ManualClock clock;
        Random random(1);
        BackendSelector selector({}, clock.clock());
        selector.setBackends(specs(count));
        for (auto left = state.range(0) * slots * state.range(1) / 100; left > 0; --left)
            selector.select({}, random);
        const ServerIndex tried = 3;
        const SelectRequest request { { &tried, 1 }, tried };
        const auto before = test::allocationCount();
        for (auto _ : state) {
            const auto server = selector.select(request, random);
            benchmark::DoNotOptimize(server);
            if (server)
                selector.release(*server, AttemptResult::Answered);
        }
        const auto allocations = static_cast<double>(test::allocationCount() - before);
        state.counters["allocations"] = allocations / static_cast<double>(state.iterations());
    }
    BENCHMARK(selection)->ArgsProduct({ { 50, 200, 850 }, { 50, 100 } })->ArgNames({ "vms", "taken" });

    // One retry decision after a failed attempt, and the selection of the next server.
    void retryDecision(benchmark::State& state)
    {
        ManualClock clock;
        Random random(1);
        BackendSelector selector({}, clock.clock());
        selector.setBackends(specs(static_cast<int>(state.range(0))));
        RetryBudget budget({ 0, 2'000'000'000 });
        const RetryPolicy policy;
        Request fresh({ { "e1", 1 }, 1, 1 }, true, clock.now() + 1h);
        const int attempt = fresh.dispatch(0);
        fresh.markFailed(attempt, AttemptEnd::ConnectFailed);
        const auto before = test::allocationCount();
        for (auto _ : state) {
            const auto decision = policy.decide(fresh, clock.now(), budget, random);
            const auto server = selector.select({ fresh.triedServers(), decision.avoidRackOf }, random);
            benchmark::DoNotOptimize(server);
            selector.release(*server, AttemptResult::Answered);
        }
        const auto allocations = static_cast<double>(test::allocationCount() - before);
        state.counters["allocations"] = allocations / static_cast<double>(state.iterations());
    }
    BENCHMARK(retryDecision)->Arg(50)->Arg(200)->Arg(850)->ArgName("vms");

    // Ten simulated seconds of claims, 600 per second over all nodes.
    void claimWrites(benchmark::State& state)
    {
        const auto nodes = static_cast<int>(state.range(0));
        constexpr int milliseconds = 10'000;
        int commits = 0;
        int granted = 0;
        std::int64_t waited = 0;
        for (auto _ : state) {
            test::FakePlatform fake;
            ManualClock clock;
            std::uint64_t nonce = 0;
            granted = 0;
            waited = 0;
            std::deque<IdempotencyClaims> claims;
            for (int node = 0; node < nodes; ++node)
                claims.emplace_back(
                    fake.platform().table, clock.clock(), ClaimOptions {}, [&nonce] { return ++nonce; });
            for (int now = 0; now < milliseconds; ++now) {
                for (int i = 0; i < (now % 5 == 0 ? 3 : 0); ++i) {
                    const RequestId id { { "e", 1 }, static_cast<std::uint64_t>(now * 3 + i), 0 };
                    claims[static_cast<std::size_t>(now / 5 * 3 + i) % claims.size()].claim(
                        "north", id.text(), id, ClaimsWhenDown::Refuse, [&, now](const ClaimResult& result) {
                            granted += result.kind == ClaimResult::Kind::Granted ? 1 : 0;
                            waited += clock.now().time_since_epoch().count() - 3'600'000 - now;
                        });
                }
                clock.advance(1ms);
                for (auto& node : claims)
                    node.tick(nodes);
                fake.deliver();
            }
            commits = fake.commitCount;
        }
        state.counters["transactions/s"] = commits / (milliseconds / 1000.0);
        state.counters["claims/s"] = granted / (milliseconds / 1000.0);
        state.counters["meanWaitMs"] = static_cast<double>(waited) / granted;
    }
    BENCHMARK(claimWrites)->Arg(3)->Arg(9)->Arg(48)->ArgName("nodes")->Unit(benchmark::kMillisecond)->Iterations(1);

} // namespace
} // namespace waxwinglug

BENCHMARK_MAIN();

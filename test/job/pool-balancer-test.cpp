// Moves of machines between pools as their demand changes.
#include "job/pool-balancer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

namespace waxwinglug {
namespace {

    constexpr std::int64_t machineMillicores = 64'000; // processor of one machine, in thousandths of a core

    // Pools of machines without tasks; a move takes effect at once.
    struct Pools {
        std::map<std::string, std::int64_t> requiredMillicores { { "quotes", 0 }, { "sheets", 0 }, { "spare", 0 } };
        int requiredSheetServers = 0; // servers that long-running tasks of "sheets" require
        std::map<std::string, std::string> machines;
        std::optional<PoolBalancer> balancer { PoolRules {} };
        TimePoint now { std::chrono::hours(1) };

        Pools()
        {
            for (int number = 0; number < 26; ++number) {
                const auto* pool = number < 9 ? "quotes" : number < 18 ? "sheets" : "spare";
                this->machines["m" + std::to_string(100 + number)] = pool;
            }
        }

        std::vector<MachineMove> decide(Duration passed)
        {
            this->now += passed;
            std::vector<PoolDemand> demands;
            demands.reserve(this->requiredMillicores.size());
            for (const auto& [service, amount] : this->requiredMillicores)
                demands.push_back(
                    { service, service == "spare", amount, service == "sheets" ? this->requiredSheetServers : 0 });
            std::vector<PoolMachine> list;
            list.reserve(this->machines.size());
            for (const auto& [name, pool] : this->machines)
                list.push_back({ name, pool, machineMillicores, false, true });
            auto moves = this->balancer->decide(demands, list, this->now);
            for (const auto& move : moves)
                this->machines[move.machine] = move.targetPool;
            return moves;
        }

        long sizeOf(const std::string& pool) const
        {
            return std::ranges::count_if(this->machines, [&pool](const auto& entry) { return entry.second == pool; });
        }
    };

} // namespace

// Guards against standby machines that stay off while the demand of a queue exceeds the capacity of its pool.
TEST(PoolBalancer, peakTakesMachinesOfStandbyPool)
{
    Pools pools;
    EXPECT_TRUE(pools.decide(Duration(0)).empty());
    pools.requiredMillicores["quotes"] = 780'000;
    pools.decide(Duration(100));
    EXPECT_EQ(pools.sizeOf("quotes"), 15); // 780 cores and 15% headroom
    EXPECT_EQ(pools.sizeOf("sheets"), 9);
}

// Guards against two moves of a machine through the standby pool: the next peak takes it directly from the grown pool.
TEST(PoolBalancer, nextPeakTakesMachinesOfGrownPool)
{
    Pools pools;
    pools.decide(Duration(0));
    pools.requiredMillicores["quotes"] = 900'000;
    pools.decide(Duration(100));
    pools.requiredMillicores["quotes"] = 30'000;
    pools.requiredMillicores["sheets"] = 900'000;
    const auto moves = pools.decide(Duration(100));
    EXPECT_EQ(pools.sizeOf("sheets"), 17);
    EXPECT_GE(pools.sizeOf("quotes"), 9);
    EXPECT_TRUE(std::ranges::all_of(moves, [](const auto& move) { return move.targetPool == "sheets"; }));
}

// Guards against machines that cost money without demand, and against moves between two peaks one second apart.
TEST(PoolBalancer, machinesReturnAfterShrinkDelay)
{
    Pools pools;
    pools.decide(Duration(0));
    pools.requiredMillicores["quotes"] = 900'000;
    pools.decide(Duration(100));
    pools.requiredMillicores["quotes"] = 0;
    EXPECT_TRUE(pools.decide(Duration(100)).empty());
    EXPECT_TRUE(pools.decide(Duration(900)).empty());
    pools.decide(Duration(100));
    EXPECT_EQ(pools.sizeOf("quotes"), 9);
    EXPECT_EQ(pools.sizeOf("spare"), 8);
}

// Guards against a pool with a surplus that lends the machines it requires at the start of its own peak.
TEST(PoolBalancer, poolWithSurplusKeepsMinimumShare)
{
    Pools pools;
    pools.decide(Duration(0));
    pools.requiredMillicores["quotes"] = 3'000'000;
    pools.decide(Duration(100));
    EXPECT_EQ(pools.sizeOf("sheets"), 5); // 60% of nine
    EXPECT_EQ(pools.sizeOf("spare"), 0);
}

// Guards against a new leader that records the size of a grown pool as its initial size.
TEST(PoolBalancer, initialSizesSurviveLeaderChange)
{
    Pools pools;
    pools.decide(Duration(0));
    const auto sizes = pools.balancer->initialSizes();
    pools.requiredMillicores["quotes"] = 900'000;
    pools.decide(Duration(100));
    pools.balancer.emplace(PoolRules {});
    pools.balancer->setInitialSizes(sizes);
    pools.requiredMillicores["quotes"] = 0;
    pools.decide(Duration(100));
    pools.decide(Duration(3000));
    EXPECT_EQ(pools.sizeOf("quotes"), 9);
}

// Guards against a long-running task without a server: the number of tasks on one server is limited, and the pool has
// lent its other servers.
TEST(PoolBalancer, longRunningTasksKeepRequiredServers)
{
    Pools pools;
    pools.requiredSheetServers = 7;
    pools.decide(Duration(0));
    pools.requiredMillicores["quotes"] = 3'000'000;
    pools.decide(Duration(100));
    EXPECT_EQ(pools.sizeOf("sheets"), 7);
}

} // namespace waxwinglug

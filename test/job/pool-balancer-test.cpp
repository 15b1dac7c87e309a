#include "job/pool-balancer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

namespace waxwinglug {
namespace {

    constexpr std::int64_t size = 64'000; // of one machine, in thousandths of a core

    // Pools of machines that are all empty; a move takes effect at once.
    struct Pools {
        std::map<std::string, std::int64_t> needed { { "quotes", 0 }, { "sheets", 0 }, { "spare", 0 } };
        int sheetServers = 0; // that lasting tasks of "sheets" need
        std::map<std::string, std::string> machines;
        std::optional<PoolBalancer> balance { PoolRules {} };
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
            demands.reserve(this->needed.size());
            for (const auto& [service, amount] : this->needed)
                demands.push_back(
                    { service, service == "spare", amount, service == "sheets" ? this->sheetServers : 0 });
            std::vector<PoolMachine> list;
            list.reserve(this->machines.size());
            for (const auto& [name, pool] : this->machines)
                list.push_back({ name, pool, size, false, true });
            auto moves = this->balance->decide(demands, list, this->now);
            for (const auto& move : moves)
                this->machines[move.machine] = move.to;
            return moves;
        }

        long sizeOf(const std::string& pool) const
        {
            return std::ranges::count_if(this->machines, [&pool](const auto& entry) { return entry.second == pool; });
        }
    };

} // namespace

// Load: a queue peaks at more than its pool holds. Guards against machines that stay off meanwhile.
TEST(PoolBalancer, peakTakesMachinesOfTheStandbyPool)
{
    Pools pools;
    EXPECT_TRUE(pools.decide(Duration(0)).empty());
    pools.needed["quotes"] = 780'000;
    pools.decide(Duration(100));
    EXPECT_EQ(pools.sizeOf("quotes"), 15); // 780 cores and 15% headroom
    EXPECT_EQ(pools.sizeOf("sheets"), 9);
}

// Guards against machines that go back and forth: the next peak takes them directly from the pool that has grown.
TEST(PoolBalancer, nextPeakTakesMachinesOfTheLastOne)
{
    Pools pools;
    pools.decide(Duration(0));
    pools.needed["quotes"] = 900'000;
    pools.decide(Duration(100));
    pools.needed["quotes"] = 30'000;
    pools.needed["sheets"] = 900'000;
    const auto moves = pools.decide(Duration(100));
    EXPECT_EQ(pools.sizeOf("sheets"), 17);
    EXPECT_GE(pools.sizeOf("quotes"), 9);
    EXPECT_TRUE(std::ranges::all_of(moves, [](const auto& move) { return move.to == "sheets"; }));
}

// Guards against machines that are paid for without need, and against moves between two peaks of a second.
TEST(PoolBalancer, machinesReturnOnlyAfterAWhile)
{
    Pools pools;
    pools.decide(Duration(0));
    pools.needed["quotes"] = 900'000;
    pools.decide(Duration(100));
    pools.needed["quotes"] = 0;
    EXPECT_TRUE(pools.decide(Duration(100)).empty());
    EXPECT_TRUE(pools.decide(Duration(900)).empty());
    pools.decide(Duration(100));
    EXPECT_EQ(pools.sizeOf("quotes"), 9);
    EXPECT_EQ(pools.sizeOf("spare"), 8);
}

// Guards against a calm pool that gives away what it needs when its own peak begins.
TEST(PoolBalancer, calmPoolLendsOnlyAPart)
{
    Pools pools;
    pools.decide(Duration(0));
    pools.needed["quotes"] = 3'000'000;
    pools.decide(Duration(100));
    EXPECT_EQ(pools.sizeOf("sheets"), 5); // 60% of nine
    EXPECT_EQ(pools.sizeOf("spare"), 0);
}

// Guards against a new lead that takes an enlarged pool for its normal size.
TEST(PoolBalancer, firstSizesOutliveTheLead)
{
    Pools pools;
    pools.decide(Duration(0));
    const auto sizes = pools.balance->initialSizes();
    pools.needed["quotes"] = 900'000;
    pools.decide(Duration(100));
    pools.balance.emplace(PoolRules {});
    pools.balance->setInitialSizes(sizes);
    pools.needed["quotes"] = 0;
    pools.decide(Duration(100));
    pools.decide(Duration(3000));
    EXPECT_EQ(pools.sizeOf("quotes"), 9);
}

// Guards against a lasting task that finds no server, because so few may share one and the pool has lent the others.
TEST(PoolBalancer, lastingTasksKeepTheServersThatTheyNeed)
{
    Pools pools;
    pools.sheetServers = 7;
    pools.decide(Duration(0));
    pools.needed["quotes"] = 3'000'000;
    pools.decide(Duration(100));
    EXPECT_EQ(pools.sizeOf("sheets"), 7);
}

} // namespace waxwinglug

// Tests of pool sizing: peaks, smoothed demand, hysteresis and the minimum size of the spare pool.
#include <waxwinglug/pool-sizer.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    // Two pools and a spare pool whose VMs move at once as the sizer requests.
    struct Fleet {
        Fleet()
        {
            this->config.pools["a"] = { "a", "a", 0.8, 1, 2, false };
            this->config.pools["b"] = { "b", "b", 0.8, 1, 2, false };
            this->config.pools["spare"] = { "spare", "misc", 0.8, 1, 3, true };
            for (int index = 0; index < 24; ++index)
                this->poolOf["v" + std::to_string(100 + index)] = index < 8 ? "a" : index < 16 ? "b" : "spare";
        }

        std::vector<std::string> vmsOf(const std::string& pool) const
        {
            std::vector<std::string> names;
            for (const auto& [vm, in] : this->poolOf) {
                if (in == pool)
                    names.push_back(vm);
            }
            return names;
        }

        // Advances the clock by one second and passes one sample of each pool to the sizer.
        std::vector<PoolMove> second(double demandA, double demandB, double demandSpare = 0)
        {
            this->clock.advance(1s);
            const auto moves = this->sizer.update(this->clock.now(), this->config,
                { { "a", demandA, 8, this->vmsOf("a") }, { "b", demandB, 8, this->vmsOf("b") },
                    { "spare", demandSpare, 8, this->vmsOf("spare") } });
            for (const auto& move : moves)
                this->poolOf[move.vm] = move.to;
            this->moved += moves.size();
            return moves;
        }

        Config config;
        ManualClock clock;
        PoolSizer sizer;
        std::map<std::string, std::string> poolOf;
        std::size_t moved = 0;
    };

    // Guards against moves in response to peaks. A move takes minutes and would complete long after the peak.
    TEST(PoolSizer, shortPeaksMoveNoVms)
    {
        Fleet fleet;
        for (int second = 0; second < 7200; ++second) {
            // Five times the mean of 40 for 12 s of each minute, a twentieth of it otherwise.
            const bool peakA = second % 60 < 12;
            const bool peakB = second % 60 >= 30 && second % 60 < 42;
            fleet.second(peakA ? 200 : 2, peakB ? 200 : 2, 4);
        }
        EXPECT_EQ(fleet.moved, 0U);
    }

    // Guards against a shortage that goes unnoticed because demand falls between peaks, and against sizing for the
    // peaks instead of the mean.
    TEST(PoolSizer, sustainedGrowthTakesVmsFromTheSparePool)
    {
        Fleet fleet;
        for (int second = 0; second < 14400; ++second)
            fleet.second(second % 60 < 12 ? 290 : 3, 40, 4);
        // The mean demand of 60 slots needs 11 VMs at the target utilization.
        EXPECT_GE(fleet.vmsOf("a").size(), 11U);
        EXPECT_LE(fleet.vmsOf("a").size(), 12U);
        EXPECT_EQ(fleet.vmsOf("b").size(), 8U);
    }

    // Guards against useless moves: a VM returns to the spare pool only when that lacks VMs for another pool.
    TEST(PoolSizer, surplusReturnsOnlyWhenAnotherPoolNeedsIt)
    {
        Fleet fleet;
        for (int second = 0; second < 7200; ++second)
            fleet.second(10, 40);
        EXPECT_EQ(fleet.moved, 0U);
        for (int second = 0; second < 14400; ++second)
            fleet.second(10, 90);
        EXPECT_GE(fleet.vmsOf("b").size(), 16U);
        EXPECT_LT(fleet.vmsOf("a").size(), 8U);
        EXPECT_EQ(fleet.vmsOf("spare").size(), 3U);
    }

    TEST(PoolSizer, weightsAdjustTheSettings)
    {
        const PoolSizerSettings plain;
        EXPECT_EQ(applyWeights(plain, {}).moveDelay, plain.moveDelay);
        EXPECT_GT(applyWeights(plain, { 1, 2, 4, 1 }).moveDelay, plain.moveDelay);
        EXPECT_GT(applyWeights(plain, { 4, 1, 1, 1 }).targetUtilization, plain.targetUtilization);
        EXPECT_LT(applyWeights(plain, { 1, 1, 1, 4 }).targetUtilization, plain.targetUtilization);
    }

    // Guards against a pool below its minimum size, a VM that is moved twice in one step, and a move from a pool that
    // the VM is not in.
    RC_GTEST_PROP(PoolSizer, movesStartInTheVmsPoolAndKeepEveryMinimumSize, ())
    {
        Fleet fleet;
        const auto demands = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 200), rc::gen::inRange(0, 200)));
        for (const auto& [demandA, demandB] : demands) {
            for (int second = 0; second < 120; ++second) {
                const auto before = fleet.poolOf;
                std::set<std::string> moved;
                for (const auto& move : fleet.second(demandA, demandB, demandA % 30)) {
                    RC_ASSERT(before.at(move.vm) == move.from);
                    RC_ASSERT(move.from == "spare" || move.to == "spare");
                    RC_ASSERT(moved.insert(move.vm).second);
                }
                for (const auto& [name, pool] : fleet.config.pools)
                    RC_ASSERT(static_cast<int>(fleet.vmsOf(name).size()) >= pool.minVms);
            }
        }
    }

} // namespace
} // namespace waxwinglug

// Compares policies for pool moves and for waves in virtual time on the same demand and failure traces. The four
// measures are idle slots, roll-out time, number of moves and share error. This is a simplified model, not a simulator
// of the system: it advances in steps of one second, measures demand in slots, and drops demand beyond what can wait.
// Usage: maintenance-table [SEED [DRIFT]]
#include <waxwinglug/pool-sizer.h>
#include <waxwinglug/vm-rows.h>
#include <waxwinglug/wave-planner.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <numeric>
#include <random>

namespace waxwinglug {
namespace {

    using namespace std::chrono_literals;

    constexpr int pools = 5;
    constexpr int vmsPerPool = 10;
    constexpr int vmCount = pools * vmsPerPool;
    constexpr int teams = 6;
    constexpr double slotsPerVm = 8;
    constexpr int runSeconds = 6 * 3600;
    constexpr int moveSeconds = 120; // a moved VM serves no requests for this long
    constexpr int maintenanceSeconds = 180;
    constexpr double maxWaitSeconds = 60; // maximum queue, in seconds of the pool's capacity
    constexpr int sparePool = pools - 1;

    struct User {
        std::string_view name;
        Weights weights;
        std::array<double, teams> shares;
        // Mean demand of each pool in slots, and the fraction by which it drifts during the run.
        std::array<double, pools> mean;
        double drift;
    };

    enum class MovePolicy {
        None,
        Immediate,
        Trend,
    };

    enum class WavePolicy {
        None,
        Planner,
        OneAtATime,
        FixedBatch,
    };

    struct SimVm {
        int pool = 0;
        int rack = 0;
        int downUntil = 0;
        bool planned = false; // under maintenance until downUntil
        bool maintained = false;
    };

    struct Result {
        double idleFraction = 0; // fraction of all slots, mean
        double rollOutMinutes = 0;
        int moves = 0;
        double shareError = 0; // fraction of all slots, mean
        double lostFraction = 0; // fraction of the demand
        int overBudgetSeconds = 0; // pool-seconds in which maintenance exceeds a budget
        int maintainedVms = 0;
    };

    // Demand in slots: the queues peak in turn at five times their mean and fall to a twentieth of it in between, while
    // the mean itself drifts slowly.
    double demandOf(const User& user, int pool, int second)
    {
        // 12 s of each minute at 5 times the mean and 48 s at 1/20 average to about the mean.
        const bool peak = second % 60 / 12 == pool;
        const double phase = 2 * std::numbers::pi * (second / static_cast<double>(runSeconds) + pool / 4.0);
        const auto mean = user.mean[static_cast<std::size_t>(pool)] * (1 + user.drift * std::sin(phase));
        return mean * (peak ? 5 : 0.05);
    }

    // Divides the capacity by share, and redistributes what a team does not need to the others.
    std::array<double, teams> divide(
        double capacity, const std::array<double, teams>& shares, const std::array<double, teams>& wanted)
    {
        std::array<double, teams> allocated {};
        for (int round = 0; round < teams && capacity > 1e-9; ++round) {
            double activeShares = 0;
            for (int team = 0; team < teams; ++team)
                activeShares += allocated[team] < wanted[team] - 1e-9 ? shares[team] : 0;
            if (activeShares <= 0)
                break;
            const double before = capacity;
            for (int team = 0; team < teams; ++team) {
                if (allocated[team] >= wanted[team] - 1e-9)
                    continue;
                const double more = std::min(wanted[team] - allocated[team], before * shares[team] / activeShares);
                allocated[team] += more;
                capacity -= more;
            }
        }
        return allocated;
    }

    class MaintenanceModel {
    public:
        MaintenanceModel(const User& simulated, MovePolicy moves, WavePolicy wavePolicy, unsigned seed)
            : user(simulated)
            , movePolicy(moves)
            , wave(wavePolicy)
            , random(seed)
        {
            for (int index = 0; index < vmCount; ++index)
                this->vms.push_back({ index / vmsPerPool, index / 4, 0, false, false });
            for (int pool = 0; pool < pools; ++pool) {
                const auto name = std::to_string(pool);
                this->config.pools[name] = { name, name, 0.8, 1, 4, pool == sparePool };
                this->planPools.push_back({ this->config.pools[name].name, 0.8, 1 });
            }
            this->sizer.setSettings(applyWeights({}, user.weights));
        }

        Result run()
        {
            double demanded = 0;
            double served = 0;
            for (int second = 0; second < runSeconds; ++second) {
                this->injectFailure(second);
                if (second >= 600)
                    this->advanceWave(second);
                this->move(second);
                this->measure(second, demanded, served);
            }
            this->result.idleFraction /= runSeconds;
            this->result.shareError /= runSeconds;
            this->result.lostFraction = 1 - served / demanded;
            return this->result;
        }

    private:
        bool isUp(const SimVm& vm, int second) const { return vm.downUntil <= second; }

        // Thirteen failures a day of ten minutes each. The random draws do not depend on the policy.
        void injectFailure(int second)
        {
            const bool fails = std::uniform_real_distribution<>(0, 1)(this->random) < 13.0 / 86400;
            const auto which = std::uniform_int_distribution<std::size_t>(0, vmCount - 1)(this->random);
            if (fails && this->isUp(this->vms[which], second)) {
                this->vms[which].downUntil = second + 600;
                this->vms[which].planned = false;
            }
        }

        std::vector<PlanVm> planVms(int second) const
        {
            std::vector<PlanVm> list;
            for (const auto& vm : this->vms) {
                const bool down = !this->isUp(vm, second);
                list.push_back({ static_cast<std::uint32_t>(vm.pool), static_cast<std::uint32_t>(vm.rack), 0ms, down,
                    down && vm.planned, !vm.maintained });
            }
            return list;
        }

        std::vector<std::uint32_t> chooseDrains(int second) const
        {
            const auto list = this->planVms(second);
            if (this->wave == WavePolicy::Planner)
                return planWave(this->planPools, list, Duration(maintenanceSeconds * 1000)).vmsToDrain;
            const bool busy
                = std::any_of(list.begin(), list.end(), [](const auto& vm) { return vm.isUnderMaintenance; });
            if (busy)
                return {};
            std::vector<std::uint32_t> start;
            const std::size_t batch = this->wave == WavePolicy::OneAtATime ? 1 : 5;
            BudgetLedger ledger(this->planPools, list);
            for (std::uint32_t index = 0; index < list.size() && start.size() < batch; ++index) {
                // One at a time also respects the budgets; fixed batches ignore them, as simple scripts do.
                const bool fits = this->wave == WavePolicy::FixedBatch || ledger.canTakeDown(index);
                if (list[index].needsMaintenance && !list[index].isDown && fits)
                    start.push_back(index);
            }
            return start;
        }

        void advanceWave(int second)
        {
            if (this->wave == WavePolicy::None || this->result.rollOutMinutes > 0)
                return;
            for (const auto index : this->chooseDrains(second)) {
                auto& vm = this->vms[index];
                vm.downUntil = second + maintenanceSeconds;
                vm.planned = true;
                vm.maintained = true;
            }
            const auto done = [&](const SimVm& vm) { return vm.maintained && this->isUp(vm, second); };
            this->result.maintainedVms = static_cast<int>(std::count_if(this->vms.begin(), this->vms.end(), done));
            if (this->result.maintainedVms == vmCount)
                this->result.rollOutMinutes = (second - 600) / 60.0;
            const BudgetLedger ledger(this->planPools, this->planVms(second));
            for (std::uint32_t pool = 0; pool < pools; ++pool) {
                const bool plannedHere = std::any_of(this->vms.begin(), this->vms.end(), [&](const auto& vm) {
                    return vm.pool == static_cast<int>(pool) && vm.planned && !this->isUp(vm, second);
                });
                if (plannedHere && (ledger.vmsDown(pool) > ledger.maxVmsDown(pool) || ledger.racksDown(pool) > 1))
                    ++this->result.overBudgetSeconds;
            }
        }

        std::vector<PoolSample> samples(int second) const
        {
            std::vector<PoolSample> list;
            for (int pool = 0; pool < pools; ++pool) {
                const auto& queue = this->waiting[static_cast<std::size_t>(pool)];
                const double demand
                    = demandOf(this->user, pool, second) + std::accumulate(queue.begin(), queue.end(), 0.0);
                PoolSample sample { std::to_string(pool), demand, slotsPerVm, {} };
                for (std::size_t index = 0; index < this->vms.size(); ++index) {
                    if (this->vms[index].pool == pool && this->isUp(this->vms[index], second))
                        sample.servingVms.push_back(std::to_string(index));
                }
                list.push_back(std::move(sample));
            }
            return list;
        }

        void move(int second)
        {
            if (this->movePolicy == MovePolicy::None)
                return;
            const auto list = this->samples(second);
            std::vector<PoolMove> moves;
            if (this->movePolicy == MovePolicy::Trend)
                moves = this->sizer.update(TimePoint(std::chrono::seconds(second)), this->config, list);
            else
                moves = followCurrentDemand(list);
            for (const auto& wanted : moves) {
                auto& vm = this->vms[static_cast<std::size_t>(std::stoi(wanted.vm))];
                vm.pool = std::stoi(wanted.to);
                vm.downUntil = second + moveSeconds;
                vm.planned = false;
                ++this->result.moves;
            }
        }

        // Moves at most one VM per second and pool, like the sizer, but follows the current demand without smoothing.
        static std::vector<PoolMove> followCurrentDemand(const std::vector<PoolSample>& list)
        {
            std::vector<PoolMove> moves;
            const auto& spare = list[sparePool];
            std::size_t taken = 0;
            for (int pool = 0; pool < sparePool; ++pool) {
                const auto& sample = list[static_cast<std::size_t>(pool)];
                const double needed = sample.demandSlots / (0.7 * slotsPerVm);
                const auto have = static_cast<double>(sample.servingVms.size());
                if (needed > have && spare.servingVms.size() > taken + 4)
                    moves.push_back({ spare.servingVms[taken++], spare.pool, sample.pool });
                else if (needed + 1 < have && sample.servingVms.size() > 4)
                    moves.push_back({ sample.servingVms.front(), sample.pool, spare.pool });
            }
            return moves;
        }

        void measure(int second, double& demanded, double& served)
        {
            std::array<double, teams> wantedAll {};
            std::array<double, teams> allocatedAll {};
            double capacityAll = 0;
            for (int pool = 0; pool < pools; ++pool) {
                std::array<double, teams> wanted {};
                const double demand = demandOf(this->user, pool, second);
                // Each team demands more from some queues than from others; the parts of a queue add up to one.
                double sum = 0;
                for (int team = 0; team < teams; ++team)
                    sum += 1 + (team + pool) % teams;
                for (int team = 0; team < teams; ++team)
                    wanted[team] = demand * (1 + (team + pool) % teams) / sum + this->waiting[pool][team];
                double capacity = 0;
                for (const auto& vm : this->vms)
                    capacity += vm.pool == pool && this->isUp(vm, second) ? slotsPerVm : 0;
                const auto allocated = divide(capacity, this->user.shares, wanted);
                double left = 0;
                for (int team = 0; team < teams; ++team)
                    left += wanted[team] - allocated[team];
                const double keep = left > 0 ? std::min(1.0, capacity * maxWaitSeconds / left) : 0;
                for (int team = 0; team < teams; ++team) {
                    this->waiting[pool][team] = (wanted[team] - allocated[team]) * keep;
                    wantedAll[team] += wanted[team];
                    allocatedAll[team] += allocated[team];
                }
                capacityAll += capacity;
                demanded += demand;
            }
            const auto entitled = divide(capacityAll, this->user.shares, wantedAll);
            const double allocatedSlots = std::accumulate(allocatedAll.begin(), allocatedAll.end(), 0.0);
            served += allocatedSlots;
            this->result.idleFraction += (vmCount * slotsPerVm - allocatedSlots) / (vmCount * slotsPerVm);
            for (int team = 0; team < teams; ++team)
                this->result.shareError += std::abs(entitled[team] - allocatedAll[team]) / (vmCount * slotsPerVm);
        }

        const User& user;
        MovePolicy movePolicy;
        WavePolicy wave;
        std::mt19937_64 random;
        std::vector<SimVm> vms;
        std::vector<PlanPool> planPools;
        std::array<std::array<double, teams>, pools> waiting {};
        Config config;
        PoolSizer sizer;
        Result result;
    };

    // Weighted sum of the measures, each relative to the worst policy: 0 is best, 1 is the worst in every measure.
    double score(const Weights& weights, const Result& result, const std::vector<Result>& all)
    {
        const auto relative = [&](auto measure) {
            double worst = 0;
            for (const auto& other : all)
                worst = std::max(worst, static_cast<double>(other.*measure));
            return worst > 0 ? static_cast<double>(result.*measure) / worst : 0;
        };
        const double sum = weights.bufferCost + weights.rollOutTime + weights.moves + weights.shareError;
        return (weights.bufferCost * relative(&Result::idleFraction)
                   + weights.rollOutTime * relative(&Result::rollOutMinutes) + weights.moves * relative(&Result::moves)
                   + weights.shareError * relative(&Result::shareError))
            / sum;
    }

    std::string rollOutText(const Result& result)
    {
        return result.rollOutMinutes > 0 ? fmt::format("{:.1f}", result.rollOutMinutes)
                                         : fmt::format("unfinished {}/{}", result.maintainedVms, vmCount);
    }

    void printMoves(const User& user, unsigned seed)
    {
        fmt::print("\n{} (weights: buffer {}, roll-out {}, moves {}, share {})\n\n", user.name, user.weights.bufferCost,
            user.weights.rollOutTime, user.weights.moves, user.weights.shareError);
        fmt::print("| moves policy | idle slots % | roll-out min | moves | share error % | lost demand % | score |\n");
        fmt::print("|---|---|---|---|---|---|---|\n");
        constexpr std::array<std::string_view, 3> names { "no moves", "immediate", "slow trend (in use)" };
        std::vector<Result> results;
        for (const auto policy : { MovePolicy::None, MovePolicy::Immediate, MovePolicy::Trend })
            results.push_back(MaintenanceModel(user, policy, WavePolicy::Planner, seed).run());
        // The roll-out time of an unfinished wave counts as the whole run.
        auto compared = results;
        for (auto& result : compared)
            result.rollOutMinutes = result.rollOutMinutes > 0 ? result.rollOutMinutes : (runSeconds - 600) / 60.0;
        for (std::size_t index = 0; index < results.size(); ++index) {
            const auto& result = results[index];
            fmt::print("| {} | {:.1f} | {} | {} | {:.2f} | {:.1f} | {:.3f} |\n", names[index],
                100 * result.idleFraction, rollOutText(result), result.moves, 100 * result.shareError,
                100 * result.lostFraction, score(user.weights, compared[index], compared));
        }
        fmt::print("\n| wave policy (no moves) | roll-out min | pool-seconds over budget | lost demand % |\n");
        fmt::print("|---|---|---|---|\n");
        constexpr std::array<std::string_view, 3> waves { "planner (in use)", "one VM at a time",
            "fixed batches of 5" };
        std::size_t index = 0;
        for (const auto policy : { WavePolicy::Planner, WavePolicy::OneAtATime, WavePolicy::FixedBatch }) {
            const auto result = MaintenanceModel(user, MovePolicy::None, policy, seed).run();
            fmt::print("| {} | {} | {} | {:.1f} |\n", waves[index++], rollOutText(result), result.overBudgetSeconds,
                100 * result.lostFraction);
        }
    }

    void printRowSizes()
    {
        fmt::print("\n| VMs | vm row B | all vm rows KB | full journal B | wave row B |\n|---|---|---|---|---|\n");
        for (const int count : { 50, 200, 850 }) {
            const WallTime now(1'800'000'000'000ms);
            const VmRow row { "quoting-17", VmPhase::SlowStart, 1'800'000'000'000, "nightly#12", now, 123456, false };
            JournalRow journal;
            for (int index = 0; index < count; ++index)
                journal.append(fmt::format("worker-{:04}", index));
            const WaveRow wave { 12, WaveState::Running, now, { { "worker-0001", now }, { "worker-0002", now } }, "" };
            const auto bytes = toJson(row).size();
            fmt::print("| {} | {} | {:.1f} | {} | {} |\n", count, bytes, static_cast<double>(bytes) * count / 1000,
                toJson(journal).size(), toJson(wave).size());
        }
    }

} // namespace
} // namespace waxwinglug

int main(int argc, char** argv)
{
    using namespace waxwinglug;
    const unsigned seed = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 1;
    // With a drift of 1, the mean of a queue can grow beyond the capacity of its pool.
    const double drift = argc > 2 ? std::atof(argv[2]) : 0;
    User tongyuan { "Tongyuan Copper Eaves", { 3, 1, 1, 3 }, { 40, 25, 15, 10, 5, 5 }, { 50, 45, 40, 30, 10 }, 0.4 };
    User velokrekls { "Velokrekls Labs", { 1, 3, 3, 1 }, { 35, 30, 15, 10, 5, 5 }, { 45, 40, 30, 50, 10 }, 0.6 };
    if (drift > 0)
        tongyuan.drift = velokrekls.drift = drift;
    fmt::print("seed {}\n", seed);
    printMoves(tongyuan, seed);
    printMoves(velokrekls, seed);
    printRowSizes();
    return 0;
}

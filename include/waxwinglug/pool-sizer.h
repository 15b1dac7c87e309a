// Decides which VMs move between pools. Demand peaks last seconds while moves take minutes, so the sizer follows the
// smoothed demand with hysteresis; queues and spare slots absorb the peaks.
#pragma once

#include <waxwinglug/base.h>
#include <waxwinglug/config.h>
#include <waxwinglug/maintenance.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglug {

struct PoolSizerSettings {
    // Time constant of the exponential smoothing. It spans several peak cycles, so that one peak changes the smoothed
    // demand by only a few percent.
    Duration trendTimeConstant { std::chrono::minutes(10) };
    // A shortage or surplus must last this long before a VM moves.
    Duration moveDelay { std::chrono::minutes(5) };
    // Fraction of the slots that the smoothed demand may occupy.
    double targetUtilization = 0.7;
    // A pool may give up a VM when it has more than this many VMs beyond its need.
    double minSurplusVms = 1.5;
};

// Adjusts the settings to the weights of the four measures; equal weights change nothing. A high weight of moves
// lengthens the delay before a move and widens the hysteresis. A high weight of buffer cost raises the target
// utilization. A high weight of share error lowers it, because teams fall short of their share where slots are missing.
PoolSizerSettings applyWeights(PoolSizerSettings settings, const Weights& weights);

// Measurements of a pool at one time.
struct PoolSample {
    std::string pool;
    // Slots in use plus requests that wait for a slot.
    double demandSlots = 0;
    // Slots of one VM of the pool.
    double slotsPerVm = 8;
    // Serving VMs of the pool, least loaded first, which is also the order in which they are moved.
    std::vector<std::string> servingVms;
};

class PoolSizer {
public:
    explicit PoolSizer(PoolSizerSettings sizerSettings = {})
        : settings(sizerSettings)
    {
    }

    void setSettings(PoolSizerSettings newSettings) { this->settings = newSettings; }

    // Processes one sample of every pool and returns the moves to make now: from the spare pool to pools with a
    // shortage, and from pools with a surplus to the spare pool when it lacks VMs. Each call moves at most one VM into
    // or out of a pool other than the spare pool, and a move restarts the delay of that pool.
    std::vector<PoolMove> update(TimePoint now, const Config& config, const std::vector<PoolSample>& samples);

    // The smoothed demand of a pool in slots; nullopt before its first sample.
    std::optional<double> smoothedDemandSlots(std::string_view pool) const;

private:
    struct State {
        double smoothedDemandSlots = 0;
        TimePoint sampledAt;
        // Start of the current shortage or surplus, if there is one.
        std::optional<TimePoint> shortageSince;
        std::optional<TimePoint> surplusSince;
    };

    enum class Adjustment {
        None,
        TakeVm,
        GiveVm,
    };

    Adjustment updateTrend(TimePoint now, const Pool& pool, const PoolSample& sample);

    PoolSizerSettings settings;
    ByName<State> states;
};

} // namespace waxwinglug

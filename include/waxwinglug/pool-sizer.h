// Decides which VMs move between pools. Peaks last seconds and moves take minutes, so the sizer follows the slow trend
// of demand with hysteresis; queues and spare slots absorb the peaks.
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
    // Time constant of the trend: several cycles of peaks, so that one peak moves it by a few percent only.
    Duration trendTimeConstant { std::chrono::minutes(10) };
    // A need must last this long before a VM moves.
    Duration moveDelay { std::chrono::minutes(5) };
    // Part of the slots that the trend may fill.
    double targetUtilization = 0.7;
    // A pool can give a VM back when it has this many more than it needs.
    double minSurplusVms = 1.5;
};

// Shifts the settings by the weights of the four measures; equal weights change nothing. A high weight of moves
// lengthens the wait and widens the band, a high weight of buffer cost fills the pools further, and a high weight of
// share keeps more slots free, because teams fall short of their share where slots are missing.
PoolSizerSettings applyWeights(PoolSizerSettings settings, const Weights& weights);

// What a pool shows at one time.
struct PoolSample {
    std::string pool;
    // Slots in use, and requests waiting for one.
    double demandSlots = 0;
    // Slots of one VM of the pool.
    double slotsPerVm = 8;
    // VMs of the pool that serve, least loaded first. The first are moved.
    std::vector<std::string> servingVms;
};

class PoolSizer {
public:
    explicit PoolSizer(PoolSizerSettings sizerSettings = {})
        : settings(sizerSettings)
    {
    }

    void setSettings(PoolSizerSettings changed) { this->settings = changed; }

    // Takes one sample of every pool and returns the moves to make now: from the spare pool to pools that need more,
    // and back to it when it lacks VMs. At most one move for a pool and call, and the wait starts anew after it.
    std::vector<PoolMove> update(TimePoint now, const Config& config, const std::vector<PoolSample>& samples);

    // The smoothed demand of a pool in slots; nothing before its first sample.
    std::optional<double> smoothedDemandSlots(std::string_view pool) const;

private:
    struct State {
        double smoothedDemandSlots = 0;
        TimePoint sampledAt;
        // Since when the pool has needed more, or could give a VM.
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

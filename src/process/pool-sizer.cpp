// Decides which VMs move between pools.
#include <waxwinglug/pool-sizer.h>

#include <algorithm>
#include <cmath>

namespace waxwinglug {
namespace {

    // Bounds of the factor that the weight of moves applies to the settings, so that extreme weights neither stop all
    // moves nor make the sizer follow every peak.
    constexpr double minFactor = 0.5;
    constexpr double maxFactor = 3;

    Duration scaleDuration(Duration time, double factor)
    {
        return Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    }

} // namespace

PoolSizerSettings applyWeights(PoolSizerSettings settings, const Weights& weights)
{
    const double mean = (weights.bufferCost + weights.rollOutTime + weights.moves + weights.shareError) / 4;
    if (mean <= 0)
        return settings;
    const double movesFactor = std::clamp(weights.moves / mean, minFactor, maxFactor);
    settings.moveDelay = scaleDuration(settings.moveDelay, movesFactor);
    settings.minSurplusVms *= std::max(1.0, movesFactor);
    // The weights change the target utilization by at most 0.1 in each direction.
    constexpr double maxUtilizationShift = 0.1;
    const double relativeWeight = (weights.bufferCost - weights.shareError) / mean;
    settings.targetUtilization
        += std::clamp(relativeWeight * maxUtilizationShift, -maxUtilizationShift, maxUtilizationShift);
    return settings;
}

std::optional<double> PoolSizer::smoothedDemandSlots(std::string_view pool) const
{
    const auto found = this->states.find(pool);
    return found == this->states.end() ? std::nullopt : std::optional(found->second.smoothedDemandSlots);
}

PoolSizer::Adjustment PoolSizer::updateTrend(TimePoint now, const Pool& pool, const PoolSample& sample)
{
    auto [at, isNew] = this->states.try_emplace(pool.name);
    auto& state = at->second;
    if (isNew) {
        // The first sample may lie in a peak, so the smoothed demand starts at the value at which the pool has neither
        // a shortage nor a surplus.
        state.smoothedDemandSlots
            = this->settings.targetUtilization * sample.slotsPerVm * static_cast<double>(sample.servingVms.size());
        state.sampledAt = now;
    } else {
        // Exponential smoothing that is independent of the sampling interval.
        const auto elapsedMs = static_cast<double>((now - state.sampledAt).count());
        const double weight = 1 - std::exp(-elapsedMs / static_cast<double>(this->settings.trendTimeConstant.count()));
        state.smoothedDemandSlots += weight * (sample.demandSlots - state.smoothedDemandSlots);
    }
    state.sampledAt = now;

    const double neededVms = state.smoothedDemandSlots / (this->settings.targetUtilization * sample.slotsPerVm);
    const auto currentVms = static_cast<double>(sample.servingVms.size());
    const bool hasShortage = neededVms > currentVms;
    const bool hasSurplus
        = neededVms + this->settings.minSurplusVms<currentVms&& static_cast<int>(sample.servingVms.size())> pool.minVms;
    state.shortageSince = hasShortage ? state.shortageSince.value_or(now) : std::optional<TimePoint>();
    state.surplusSince = hasSurplus ? state.surplusSince.value_or(now) : std::optional<TimePoint>();
    if (hasShortage && now - *state.shortageSince >= this->settings.moveDelay)
        return Adjustment::TakeVm;
    if (hasSurplus && now - *state.surplusSince >= this->settings.moveDelay)
        return Adjustment::GiveVm;
    return Adjustment::None;
}

std::vector<PoolMove> PoolSizer::update(TimePoint now, const Config& config, const std::vector<PoolSample>& samples)
{
    const auto spare
        = std::find_if(config.pools.begin(), config.pools.end(), [](const auto& item) { return item.second.isSpare; });
    std::vector<PoolMove> moves;
    if (spare == config.pools.end())
        return moves;
    const PoolSample* spareSample = nullptr;
    std::vector<std::pair<Adjustment, const PoolSample*>> adjustments;
    for (const auto& sample : samples) {
        const auto pool = config.pools.find(sample.pool);
        if (pool == config.pools.end())
            continue;
        const auto adjustment = this->updateTrend(now, pool->second, sample);
        if (sample.pool == spare->first)
            spareSample = &sample;
        else if (adjustment != Adjustment::None)
            adjustments.emplace_back(adjustment, &sample);
    }
    if (!spareSample)
        return moves;
    // The spare pool keeps enough VMs for its own demand and its minimum size.
    const auto& state = this->states.at(spare->first);
    const double spareDemandVms
        = std::ceil(state.smoothedDemandSlots / (this->settings.targetUtilization * spareSample->slotsPerVm));
    const auto minSpareVms
        = std::max(static_cast<std::size_t>(spare->second.minVms), static_cast<std::size_t>(spareDemandVms));
    std::size_t takenVms = 0;
    std::size_t unmetShortages = 0;
    const auto add = [&](std::string vm, const std::string& from, const std::string& to, const std::string& movedPool) {
        moves.push_back({ std::move(vm), from, to });
        auto& poolState = this->states.at(movedPool);
        poolState.shortageSince.reset();
        poolState.surplusSince.reset();
    };
    for (const auto& [adjustment, sample] : adjustments) {
        if (adjustment != Adjustment::TakeVm)
            continue;
        if (spareSample->servingVms.size() > minSpareVms + takenVms)
            add(spareSample->servingVms[takenVms++], spare->first, sample->pool, sample->pool);
        else
            ++unmetShortages;
    }
    // An idle VM in the spare pool absorbs no peaks, so a pool gives up a VM only while the spare pool lacks VMs.
    std::size_t missingSpareVms = unmetShortages
        + (spareSample->servingVms.size() < minSpareVms ? minSpareVms - spareSample->servingVms.size() : 0);
    for (const auto& [adjustment, sample] : adjustments) {
        if (adjustment != Adjustment::GiveVm || missingSpareVms == 0)
            continue;
        --missingSpareVms;
        add(sample->servingVms.front(), sample->pool, spare->first, sample->pool);
    }
    return moves;
}

} // namespace waxwinglug

// Decides which VMs move between pools.
#include <waxwinglug/pool-sizer.h>

#include <algorithm>
#include <cmath>

namespace waxwinglug {
namespace {

    // Bounds keep a document with extreme weights from switching moves off or from following every peak.
    constexpr double leastFactor = 0.5;
    constexpr double mostFactor = 3;

    Duration scaled(Duration time, double factor)
    {
        return Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    }

} // namespace

PoolSizerSettings applyWeights(PoolSizerSettings settings, const Weights& weights)
{
    const double mean = (weights.bufferCost + weights.rollOutTime + weights.moves + weights.shareError) / 4;
    if (mean <= 0)
        return settings;
    const double movesFactor = std::clamp(weights.moves / mean, leastFactor, mostFactor);
    settings.moveDelay = scaled(settings.moveDelay, movesFactor);
    settings.minSurplusVms *= std::max(1.0, movesFactor);
    // A fifth of the range between full and empty is the most that the weights shift the target.
    constexpr double mostShift = 0.1;
    const double pull = (weights.bufferCost - weights.shareError) / mean;
    settings.targetUtilization += std::clamp(pull * mostShift, -mostShift, mostShift);
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
        // One sample may lie in a peak, so the trend starts where the pool neither needs nor gives a VM.
        state.smoothedDemandSlots
            = this->settings.targetUtilization * sample.slotsPerVm * static_cast<double>(sample.servingVms.size());
        state.sampledAt = now;
    } else {
        // Exponential smoothing that does not depend on how often samples come.
        const auto passed = static_cast<double>((now - state.sampledAt).count());
        const double weight = 1 - std::exp(-passed / static_cast<double>(this->settings.trendTimeConstant.count()));
        state.smoothedDemandSlots += weight * (sample.demandSlots - state.smoothedDemandSlots);
    }
    state.sampledAt = now;

    const double needed = state.smoothedDemandSlots / (this->settings.targetUtilization * sample.slotsPerVm);
    const auto have = static_cast<double>(sample.servingVms.size());
    const bool isShort = needed > have;
    const bool isAmple
        = needed + this->settings.minSurplusVms<have&& static_cast<int>(sample.servingVms.size())> pool.minVms;
    state.shortageSince = isShort ? state.shortageSince.value_or(now) : std::optional<TimePoint>();
    state.surplusSince = isAmple ? state.surplusSince.value_or(now) : std::optional<TimePoint>();
    if (isShort && now - *state.shortageSince >= this->settings.moveDelay)
        return Adjustment::TakeVm;
    if (isAmple && now - *state.surplusSince >= this->settings.moveDelay)
        return Adjustment::GiveVm;
    return Adjustment::None;
}

std::vector<PoolMove> PoolSizer::update(TimePoint now, const Config& config, const std::vector<PoolSample>& samples)
{
    const auto spare
        = std::find_if(config.pools.begin(), config.pools.end(), [](const auto& item) { return item.second.spare; });
    std::vector<PoolMove> moves;
    if (spare == config.pools.end())
        return moves;
    const PoolSample* reserve = nullptr;
    std::vector<std::pair<Adjustment, const PoolSample*>> adjustments;
    for (const auto& sample : samples) {
        const auto pool = config.pools.find(sample.pool);
        if (pool == config.pools.end())
            continue;
        const auto adjustment = this->updateTrend(now, pool->second, sample);
        if (sample.pool == spare->first)
            reserve = &sample;
        else if (adjustment != Adjustment::None)
            adjustments.emplace_back(adjustment, &sample);
    }
    if (!reserve)
        return moves;
    // The spare pool keeps what its own trend and its lower bound need.
    const auto& state = this->states.at(spare->first);
    const double own = std::ceil(state.smoothedDemandSlots / (this->settings.targetUtilization * reserve->slotsPerVm));
    const auto keep = std::max(static_cast<std::size_t>(spare->second.minVms), static_cast<std::size_t>(own));
    std::size_t taken = 0;
    std::size_t unmet = 0;
    const auto add = [&](std::string vm, const std::string& from, const std::string& to, const std::string& asked) {
        moves.push_back({ std::move(vm), from, to });
        auto& moved = this->states.at(asked);
        moved.shortageSince.reset();
        moved.surplusSince.reset();
    };
    for (const auto& [adjustment, sample] : adjustments) {
        if (adjustment != Adjustment::TakeVm)
            continue;
        if (reserve->servingVms.size() > keep + taken)
            add(reserve->servingVms[taken++], spare->first, sample->pool, sample->pool);
        else
            ++unmet;
    }
    // A VM that idles in the spare pool absorbs no peak, so a pool gives one only when the spare pool lacks it.
    std::size_t lacking = unmet + (reserve->servingVms.size() < keep ? keep - reserve->servingVms.size() : 0);
    for (const auto& [adjustment, sample] : adjustments) {
        if (adjustment != Adjustment::GiveVm || lacking == 0)
            continue;
        --lacking;
        add(sample->servingVms.front(), sample->pool, spare->first, sample->pool);
    }
    return moves;
}

} // namespace waxwinglug

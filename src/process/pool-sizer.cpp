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

SizerSettings weighted(SizerSettings settings, const Weights& weights)
{
    const double mean = (weights.bufferCost + weights.rollOutTime + weights.moves + weights.shareError) / 4;
    if (mean <= 0)
        return settings;
    const double movesFactor = std::clamp(weights.moves / mean, leastFactor, mostFactor);
    settings.hold = scaled(settings.hold, movesFactor);
    settings.surplus *= std::max(1.0, movesFactor);
    // A fifth of the range between full and empty is the most that the weights shift the target.
    constexpr double mostShift = 0.1;
    const double pull = (weights.bufferCost - weights.shareError) / mean;
    settings.targetUse += std::clamp(pull * mostShift, -mostShift, mostShift);
    return settings;
}

std::optional<double> PoolSizer::trendOf(std::string_view pool) const
{
    const auto found = this->states.find(pool);
    return found == this->states.end() ? std::nullopt : std::optional(found->second.trend);
}

PoolSizer::Wish PoolSizer::follow(TimePoint now, const Pool& pool, const PoolSample& sample)
{
    auto [at, isNew] = this->states.try_emplace(pool.name);
    auto& state = at->second;
    if (isNew) {
        // One sample may lie in a peak, so the trend starts where the pool neither needs nor gives a VM.
        state.trend = this->settings.targetUse * sample.slotsPerVm * static_cast<double>(sample.vms.size());
        state.sampledAt = now;
    } else {
        // Exponential smoothing that does not depend on how often samples come.
        const auto passed = static_cast<double>((now - state.sampledAt).count());
        const double weight = 1 - std::exp(-passed / static_cast<double>(this->settings.trend.count()));
        state.trend += weight * (sample.demand - state.trend);
    }
    state.sampledAt = now;

    const double needed = state.trend / (this->settings.targetUse * sample.slotsPerVm);
    const auto have = static_cast<double>(sample.vms.size());
    const bool isShort = needed > have;
    const bool isAmple = needed + this->settings.surplus<have&& static_cast<int>(sample.vms.size())> pool.minVms;
    state.shortSince = isShort ? state.shortSince.value_or(now) : std::optional<TimePoint>();
    state.ampleSince = isAmple ? state.ampleSince.value_or(now) : std::optional<TimePoint>();
    if (isShort && now - *state.shortSince >= this->settings.hold)
        return Wish::Take;
    if (isAmple && now - *state.ampleSince >= this->settings.hold)
        return Wish::Give;
    return Wish::None;
}

std::vector<PoolMove> PoolSizer::update(TimePoint now, const Config& config, const std::vector<PoolSample>& samples)
{
    const auto spare
        = std::find_if(config.pools.begin(), config.pools.end(), [](const auto& item) { return item.second.isSpare; });
    std::vector<PoolMove> moves;
    if (spare == config.pools.end())
        return moves;
    const PoolSample* reserve = nullptr;
    std::vector<std::pair<Wish, const PoolSample*>> wishes;
    for (const auto& sample : samples) {
        const auto pool = config.pools.find(sample.pool);
        if (pool == config.pools.end())
            continue;
        const auto wish = this->follow(now, pool->second, sample);
        if (sample.pool == spare->first)
            reserve = &sample;
        else if (wish != Wish::None)
            wishes.emplace_back(wish, &sample);
    }
    if (!reserve)
        return moves;
    // The spare pool keeps what its own trend and its lower bound need.
    const auto& state = this->states.at(spare->first);
    const double own = std::ceil(state.trend / (this->settings.targetUse * reserve->slotsPerVm));
    const auto keep = std::max(static_cast<std::size_t>(spare->second.minVms), static_cast<std::size_t>(own));
    std::size_t taken = 0;
    std::size_t unmet = 0;
    const auto add = [&](std::string vm, const std::string& from, const std::string& to, const std::string& asked) {
        moves.push_back({ std::move(vm), from, to });
        auto& moved = this->states.at(asked);
        moved.shortSince.reset();
        moved.ampleSince.reset();
    };
    for (const auto& [wish, sample] : wishes) {
        if (wish != Wish::Take)
            continue;
        if (reserve->vms.size() > keep + taken)
            add(reserve->vms[taken++], spare->first, sample->pool, sample->pool);
        else
            ++unmet;
    }
    // A VM that idles in the spare pool absorbs no peak, so a pool gives one only when the spare pool lacks it.
    std::size_t lacking = unmet + (reserve->vms.size() < keep ? keep - reserve->vms.size() : 0);
    for (const auto& [wish, sample] : wishes) {
        if (wish != Wish::Give || lacking == 0)
            continue;
        --lacking;
        add(sample->vms.front(), sample->pool, spare->first, sample->pool);
    }
    return moves;
}

} // namespace waxwinglug

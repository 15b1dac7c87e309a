// Weighted fair queueing over teams.
#include <waxwinglug/fair-queue.h>

#include <algorithm>
#include <limits>

namespace waxwinglug {

FairQueue::FairQueue(const FairQueueSettings& queueSettings)
    : settings(queueSettings)
{
}

void FairQueue::setTeam(TeamIndex index, double weight)
{
    while (this->teams.size() <= index)
        this->teams.emplace_back();
    auto& team = this->teams[index];
    const auto bounded = std::max(weight, minWeight);
    if (team.weight == 0)
        team.virtualTime = this->queueVirtualTime;
    else
        // Keeps the team's distance from the queue in slot time, so that a new weight does not turn earlier usage into
        // credit or debt.
        team.virtualTime = this->queueVirtualTime + (team.virtualTime - this->queueVirtualTime) * team.weight / bounded;
    if (!team.items.empty())
        this->weightWaiting += bounded - team.weight;
    team.weight = bounded;
}

void FairQueue::push(FairItem& item)
{
    auto& team = this->teams[item.team];
    if (team.items.empty()) {
        team.virtualTime = std::max(team.virtualTime, this->queueVirtualTime);
        this->weightWaiting += team.weight;
    }
    // Items mostly arrive in the order in which they are served, so the hint makes the insertion O(1) amortised.
    team.items.insert(team.items.end(), item);
    team.runTimeWaiting += item.estimate;
    this->runTimeWaiting += item.estimate;
    ++this->itemCount;
}

void FairQueue::unlink(Team& team, FairItem& item)
{
    team.items.erase(team.items.iterator_to(item));
    team.runTimeWaiting -= item.estimate;
    this->runTimeWaiting -= item.estimate;
    --this->itemCount;
    if (team.items.empty())
        this->weightWaiting -= team.weight;
    if (this->itemCount == 0)
        this->weightWaiting = 0; // clears the accumulated rounding error
}

void FairQueue::remove(FairItem& item) { this->unlink(this->teams[item.team], item); }

double FairQueue::charge(Team& team, double slotMilliseconds)
{
    const auto before = team.virtualTime;
    const auto maxVirtualTime = std::max(before, this->queueVirtualTime + this->settings.maxAheadMs);
    team.virtualTime = std::min(before + slotMilliseconds / team.weight, maxVirtualTime);
    return (team.virtualTime - before) * team.weight;
}

void FairQueue::correctCharge(const FairItem& item, Duration actual)
{
    this->charge(this->teams[item.team], static_cast<double>(actual.count()) - item.chargedMs);
}

void FairQueue::chargeRemote(TeamIndex index, double slotMilliseconds)
{
    this->charge(this->teams[index], slotMilliseconds);
}

double FairQueue::boost(const Team& team, TimePoint now) const
{
    const auto due = team.items.begin()->due;
    if (due - now >= this->settings.rampTime || due == TimePoint::max())
        return 0;
    const auto remaining
        = std::chrono::duration<double>(due - now) / std::chrono::duration<double>(this->settings.rampTime);
    return this->settings.maxBoostMs * std::clamp(1 - remaining, 0.0, 1.0);
}

FairItem* FairQueue::popNext(TimePoint now, const std::function<bool(TeamIndex)>& mayStart)
{
    Team* best = nullptr;
    auto bestKey = std::numeric_limits<double>::infinity();
    auto minVirtualTime = std::numeric_limits<double>::infinity();
    for (TeamIndex index = 0; index < this->teams.size(); ++index) {
        ++this->pickSteps;
        auto& team = this->teams[index];
        if (team.items.empty())
            continue;
        if (!mayStart(index)) {
            team.virtualTime = std::max(team.virtualTime, this->queueVirtualTime);
            continue;
        }
        minVirtualTime = std::min(minVirtualTime, team.virtualTime);
        const auto key = team.virtualTime - this->boost(team, now);
        if (key < bestKey) {
            bestKey = key;
            best = &team;
        }
    }
    if (!best)
        return nullptr;
    this->queueVirtualTime = std::max(this->queueVirtualTime, minVirtualTime);
    auto& item = *best->items.begin();
    this->unlink(*best, item);
    item.chargedMs = this->charge(*best, static_cast<double>(item.estimate.count()));
    return &item;
}

TimePoint FairQueue::earliestDue() const
{
    auto earliest = TimePoint::max();
    for (const auto& team : this->teams) {
        if (!team.items.empty())
            earliest = std::min(earliest, team.items.begin()->due);
    }
    return earliest;
}

} // namespace waxwinglug

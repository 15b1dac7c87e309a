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
        team.virtualTime = this->queueTime;
    else
        // The lead is kept in slot time, so a changed weight does not turn earlier usage into credit or debt.
        team.virtualTime = this->queueTime + (team.virtualTime - this->queueTime) * team.weight / bounded;
    if (!team.items.empty())
        this->weightWaiting += bounded - team.weight;
    team.weight = bounded;
}

void FairQueue::push(FairItem& item)
{
    auto& team = this->teams[item.team];
    if (team.items.empty()) {
        team.virtualTime = std::max(team.virtualTime, this->queueTime);
        this->weightWaiting += team.weight;
    }
    // Items mostly arrive in order of departure, so the hint makes the insertion O(1) amortised.
    team.items.insert(team.items.end(), item);
    team.work += item.estimate;
    this->work += item.estimate;
    ++this->waitingCount;
}

void FairQueue::unlink(Team& team, FairItem& item)
{
    team.items.erase(team.items.iterator_to(item));
    team.work -= item.estimate;
    this->work -= item.estimate;
    --this->waitingCount;
    if (team.items.empty())
        this->weightWaiting -= team.weight;
    if (this->waitingCount == 0)
        this->weightWaiting = 0; // drops what rounding left over
}

void FairQueue::remove(FairItem& item) { this->unlink(this->teams[item.team], item); }

double FairQueue::charge(Team& team, double slotMilliseconds)
{
    const auto before = team.virtualTime;
    const auto highest = std::max(before, this->queueTime + this->settings.maxLead);
    team.virtualTime = std::min(before + slotMilliseconds / team.weight, highest);
    return (team.virtualTime - before) * team.weight;
}

void FairQueue::correct(const FairItem& item, Duration actual)
{
    this->charge(this->teams[item.team], static_cast<double>(actual.count()) - item.charged);
}

void FairQueue::chargeRemote(TeamIndex index, double slotMilliseconds)
{
    this->charge(this->teams[index], slotMilliseconds);
}

double FairQueue::boost(const Team& team, TimePoint now) const
{
    const auto due = team.items.begin()->due;
    if (due - now >= this->settings.riseTime || due == TimePoint::max())
        return 0;
    const auto left = std::chrono::duration<double>(due - now) / std::chrono::duration<double>(this->settings.riseTime);
    return this->settings.maxBoost * std::clamp(1 - left, 0.0, 1.0);
}

FairItem* FairQueue::pick(TimePoint now, const std::function<bool(TeamIndex)>& mayStart)
{
    Team* best = nullptr;
    auto bestKey = std::numeric_limits<double>::infinity();
    auto least = std::numeric_limits<double>::infinity();
    for (TeamIndex index = 0; index < this->teams.size(); ++index) {
        ++this->stepCount;
        auto& team = this->teams[index];
        if (team.items.empty())
            continue;
        if (!mayStart(index)) {
            team.virtualTime = std::max(team.virtualTime, this->queueTime);
            continue;
        }
        least = std::min(least, team.virtualTime);
        const auto key = team.virtualTime - this->boost(team, now);
        if (key < bestKey) {
            bestKey = key;
            best = &team;
        }
    }
    if (!best)
        return nullptr;
    this->queueTime = std::max(this->queueTime, least);
    auto& item = *best->items.begin();
    this->unlink(*best, item);
    item.charged = this->charge(*best, static_cast<double>(item.estimate.count()));
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

// Weighted fair queueing over teams within one class of work.
//
// Each team has a virtual time: the slot time charged to it, divided by its weight. The waiting team with the smallest
// virtual time is served next. A start is charged with an estimate, and the charge is corrected with the actual run
// time, because declared run times are wrong by large factors. Usage on other nodes is charged too, so that shares hold
// fleet-wide. The queue links items that its caller owns and allocates nothing outside setTeam().
#pragma once

#include <waxwinglug/base.h>

#include <boost/intrusive/set.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace waxwinglug {

using TeamIndex = std::uint32_t;

// A waiting request. The queue links it by address, so its owner must not move it while it is queued.
struct FairItem : boost::intrusive::set_base_hook<> {
    TeamIndex team = 0;
    // Due time, or TimePoint::max(). Items of a team are served in order of `due`, then of `sequence`.
    TimePoint due = TimePoint::max();
    std::uint64_t sequence = 0;
    // Estimated run time, which the team is charged with at the start.
    Duration estimate { 0 };
    // Slot milliseconds actually charged at the start, which `maxAheadMs` may have reduced; written by popNext().
    double chargedMs = 0;
    // Orders by `due`, then by `sequence`, so that the first item of the tree is the next to be served.
    bool operator<(const FairItem& other) const
    {
        return this->due != other.due ? this->due < other.due : this->sequence < other.sequence;
    }
};

struct FairQueueSettings {
    // Limit on how far a team's virtual time may be ahead of the queue's, in slot milliseconds at weight 1. Usage
    // beyond it is not charged, so that a team that used otherwise idle capacity is not blocked for long.
    double maxAheadMs = 80'000;
    // Limit on the preference of a team whose due time is near, in the same unit. The limit keeps a team that always
    // declares near due times from starving the others.
    double maxBoostMs = 20'000;
    // The preference grows linearly over this time before an item is due.
    Duration rampTime { std::chrono::hours(2) };
};

class FairQueue {
public:
    explicit FairQueue(const FairQueueSettings& settings);
    FairQueue(const FairQueue&) = delete;
    FairQueue& operator=(const FairQueue&) = delete;

    /// Adds a team or changes its weight. Weights below `minWeight` are raised to it, so that a team without a share
    /// still makes progress.
    void setTeam(TeamIndex team, double weight);

    void push(FairItem& item);
    /// O(1) amortised. The item must be in the queue.
    void remove(FairItem& item);
    /// Removes the next item among the teams for which `mayStart` returns true and charges its team. Returns nullptr if
    /// no such team has waiting items. O(number of teams).
    FairItem* popNext(TimePoint now, const std::function<bool(TeamIndex)>& mayStart);
    /// Replaces the charge made at the start by the actual run time.
    void correctCharge(const FairItem& item, Duration actual);
    /// Charges slot milliseconds that the team used on other nodes.
    void chargeRemote(TeamIndex team, double slotMilliseconds);

    bool empty() const { return this->itemCount == 0; }
    std::size_t waitingCount() const { return this->itemCount; }
    std::size_t waitingCount(TeamIndex team) const { return this->teams[team].items.size(); }
    double weight(TeamIndex team) const { return this->teams[team].weight; }
    /// Sum of the weights of the teams that have waiting items.
    double waitingWeight() const { return this->weightWaiting; }
    /// Sum of the estimates of all waiting items.
    Duration waitingRunTime() const { return this->runTimeWaiting; }
    Duration waitingRunTime(TeamIndex team) const { return this->teams[team].runTimeWaiting; }
    /// Earliest due time of all waiting items; TimePoint::max() if no item has a due time.
    TimePoint earliestDue() const;
    double virtualTime(TeamIndex team) const { return this->teams[team].virtualTime; }
    /// Number of teams examined by popNext() since construction, for tests that bound its cost.
    std::uint64_t stepCount() const { return this->pickSteps; }

    static constexpr double minWeight = 0.1;

private:
    using Items = boost::intrusive::set<FairItem>;

    struct Team {
        Items items;
        double weight = 0; // 0: not set yet
        double virtualTime = 0;
        Duration runTimeWaiting { 0 };
    };

    // Returns the slot milliseconds actually charged, which `maxAheadMs` may have reduced.
    double charge(Team& team, double slotMilliseconds);
    void unlink(Team& team, FairItem& item);
    double boost(const Team& team, TimePoint now) const;

    FairQueueSettings settings;
    std::vector<Team> teams;
    // Smallest virtual time of the waiting teams that may start; monotonic. A team that was idle, or blocked by its
    // upper limit, restarts from here and so accumulates no credit.
    double queueVirtualTime = 0;
    std::size_t itemCount = 0;
    double weightWaiting = 0;
    Duration runTimeWaiting { 0 };
    std::uint64_t pickSteps = 0;
};

} // namespace waxwinglug

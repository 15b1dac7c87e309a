// Weighted fair queueing over teams within one class of work.
//
// Each team has a virtual time: the slot time it was charged, divided by its weight. The waiting team with the least
// virtual time goes next. A start is charged with an estimate, and the charge is corrected with the actual run time,
// because declared run times are wrong by large factors. Usage on other nodes is charged too, so that shares hold
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

// A waiting request or job. Its owner keeps it at one address while it is in a queue.
struct FairItem : boost::intrusive::set_base_hook<> {
    TeamIndex team = 0;
    // Items of a team leave in the order of `due`, then of `sequence`.
    TimePoint due = TimePoint::max();
    std::uint64_t sequence = 0;
    // What the start is charged with.
    Duration estimate { 0 };
    // What the start was charged with in fact, in slot milliseconds; written by pick().
    double chargedMs = 0;
    // Earliest `due` on top, so that the tree order is the order of departure.
    bool operator<(const FairItem& other) const
    {
        return this->due != other.due ? this->due < other.due : this->sequence < other.sequence;
    }
};

struct FairQueueSettings {
    // How far a team's virtual time may lie ahead of the queue's, in slot milliseconds at weight 1. Usage of capacity
    // that nobody else wanted is forgotten beyond this, so that it never blocks a team for long.
    double maxAheadMs = 80'000;
    // How far a waiting team may be preferred because its due time is near, in the same unit. Bounded, so that a team
    // that always names near due times cannot stall the others.
    double maxBoostMs = 20'000;
    // The preference rises over this time before an item is due.
    Duration rampTime { std::chrono::hours(2) };
};

class FairQueue {
public:
    explicit FairQueue(const FairQueueSettings& settings);
    FairQueue(const FairQueue&) = delete;
    FairQueue& operator=(const FairQueue&) = delete;

    /// Adds a team or changes its weight. Weights below `minWeight` are raised to it: a team without a share still
    /// makes progress.
    void setTeam(TeamIndex team, double weight);

    void push(FairItem& item);
    /// O(1) amortised. The item must be in the queue.
    void remove(FairItem& item);
    /// Removes and charges the next item of the teams that `mayStart` admits. Nullptr: no such team waits.
    /// Takes at most one step per team.
    FairItem* popNext(TimePoint now, const std::function<bool(TeamIndex)>& mayStart);
    /// Replaces the estimate that was charged at the start by the actual run time.
    void correctCharge(const FairItem& item, Duration actual);
    /// Charges slot milliseconds that the team used at other nodes.
    void chargeRemote(TeamIndex team, double slotMilliseconds);

    bool empty() const { return this->itemCount == 0; }
    std::size_t waitingCount() const { return this->itemCount; }
    std::size_t waitingCount(TeamIndex team) const { return this->teams[team].items.size(); }
    double weight(TeamIndex team) const { return this->teams[team].weight; }
    /// Sum of the weights of the teams that wait.
    double waitingWeight() const { return this->weightWaiting; }
    /// Sum of the estimates of all waiting items.
    Duration waitingRunTime() const { return this->runTimeWaiting; }
    Duration waitingRunTime(TeamIndex team) const { return this->teams[team].runTimeWaiting; }
    /// The earliest due time of all waiting items; TimePoint::max() if none has one.
    TimePoint earliestDue() const;
    double virtualTime(TeamIndex team) const { return this->teams[team].virtualTime; }
    /// Steps taken by pick() since the start, for tests that bound the effort.
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

    // Returns what was charged, which the lead limit may have reduced.
    double charge(Team& team, double slotMilliseconds);
    void unlink(Team& team, FairItem& item);
    double boost(const Team& team, TimePoint now) const;

    FairQueueSettings settings;
    std::vector<Team> teams;
    // Least virtual time of the waiting teams that may start; never falls. A team that was idle or held back by its
    // limit starts from here, so neither collects credit.
    double queueVirtualTime = 0;
    std::size_t itemCount = 0;
    double weightWaiting = 0;
    Duration runTimeWaiting { 0 };
    std::uint64_t pickSteps = 0;
};

} // namespace waxwinglug

// Moves machines between pools: follows the demand of each service, orders moves, and tracks them until the machine has
// arrived. Runs on the leader and does no I/O.
#pragma once

#include "job/machine-list.h"
#include "job/pool-balancer.h"
#include "job/scheduler.h"

#include <waxwinglug/fleet-platform.h>

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>

namespace waxwinglug {

struct PoolMoverHooks {
    std::function<void(const std::string& machine, const std::string& pool)> orderMove;
    // The platform can take another order now.
    std::function<bool()> mayOrder;
    std::function<void()> requestMachineList;
    // The machine is cordoned for maintenance or down for it.
    std::function<bool(const std::string& machine)> isInMaintenance;
    LogHook log;
};

class PoolMover {
public:
    // During `initialQuietPeriod` a new leader moves only machines whose server has run long enough to show that the
    // previous leader ordered nothing for them recently.
    // The caller keeps `list` up to date; it must outlive this object.
    PoolMover(JobScheduler& scheduler, const MachineList& list, PoolRules rules, Duration initialQuietPeriod,
        Clock clock, PoolMoverHooks hooks);

    std::map<std::string, int> initialSizes() const { return this->balancer.initialSizes(); }
    void setInitialSizes(const std::map<std::string, int>& sizes) { this->balancer.setInitialSizes(sizes); }
    void orderAnswered(const std::string& machine, const std::string& pool, MachineOrderStatus status);
    void tick(const FleetConfig& config);
    bool isMoving(const std::string& machine) const { return this->moves.contains(machine); }

private:
    struct Move {
        std::string targetPool;
        std::string previousServer; // id of the server on the machine before the move; empty: none
        bool isAccepted = false;
        bool isUnconfirmed = false; // an order had no answer, so the platform may have carried it out
        TimePoint changedAt; // when the latest order was sent or accepted
        TimePoint repeatAt;
    };

    bool hasNoRecentMove(const detail::Server* server) const;
    void followMoves();
    void startMoves(const FleetConfig& config);
    void order(const std::string& machine, Move& move);

    JobScheduler& scheduler;
    const MachineList& machineList;
    const Duration initialQuietPeriod;
    const Clock clock;
    const PoolMoverHooks hooks;
    const TimePoint startedAt;
    PoolBalancer balancer;
    TimePoint listRequestedAt;
    std::map<std::string, Move> moves;
    // Pairs of machine and pool that the platform has rejected.
    std::set<std::pair<std::string, std::string>> rejectedMoves;
    bool isFenced = false; // a later leader orders moves
};

} // namespace waxwinglug
